package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, or its removal.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// maxPage is the largest number of rows in a response, as PROTOCOL.md has it.
const maxPage = 500

// store is a stand-in for the platform's store.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	ver     int64
	low     int64
	era     int64
	changed chan struct{}

	// mode is the answer to calls: ok, busy or silent.
	mode string
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]row), changed: make(chan struct{}), mode: "ok"}
}

func rowName(table, key string) string { return table + "\x00" + key }

// put writes a row, as an operator, a runner or a router does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: data})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Removed: true})
}

// apply does the work of put and remove. The caller holds s.mu.
func (s *store) apply(r row) {
	s.ver++
	r.Ver = s.ver
	s.history = append(s.history, r)
	if r.Removed {
		delete(s.rows, rowName(r.Table, r.Key))
	} else {
		s.rows[rowName(r.Table, r.Key)] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setMode changes how calls are answered.
func (s *store) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup is a copy of the store.
type backup struct {
	rows     map[string]row
	history  []row
	ver, low int64
}

func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{maps.Clone(s.rows), slices.Clone(s.history), s.ver, s.low}
}

// restore begins a new era with a copy.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.ver, s.low = maps.Clone(b.rows), slices.Clone(b.history), b.ver, b.low
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers calls at a listener.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	_ = (&http.Server{Handler: mux}).Serve(l)
}

// admit answers a call that is not served, and reports whether it is.
func (s *store) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode, era := s.mode, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	switch mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case "silent":
		<-r.Context().Done()
		return false
	}
	return true
}

type answer struct {
	Rows      []row   `json:"rows"`
	Truncated bool    `json:"truncated"`
	Ver       int64   `json:"ver"`
	NowMS     float64 `json:"now-ms"`
}

func (s *store) now() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	a := answer{Rows: []row{}, Ver: s.ver, NowMS: s.now()}
	for _, each := range s.rows {
		if each.Table == q.Get("table") && each.Key >= q.Get("from") && (q.Get("to") == "" || each.Key < q.Get("to")) {
			a.Rows = append(a.Rows, each)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > maxPage {
		a.Rows, a.Truncated = a.Rows[:maxPage], true
	}
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("start-revision"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for waited := false; ; {
		s.mu.Lock()
		changed := s.changed
		gone := s.mode != "ok" || s.era != era
		a := answer{Rows: []row{}, Ver: s.ver, NowMS: s.now()}
		lost := after < s.low || after > s.ver
		for _, each := range s.history {
			if each.Table == q.Get("table") && each.Ver > after {
				a.Rows = append(a.Rows, each)
			}
		}
		s.mu.Unlock()
		switch {
		case gone: // Its connection breaks when the store goes away.
			panic(http.ErrAbortHandler)
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Rows) > 0 || waited:
			_ = json.NewEncoder(w).Encode(a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	var body struct {
		Expected []row `json:"expected-revision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.rows[rowName(e.Table, e.Key)].Ver != e.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range body.Puts {
		s.apply(row{Table: p.Table, Key: p.Key, Value: p.Value})
	}
	for _, p := range body.Remove {
		s.apply(row{Table: p.Table, Key: p.Key, Removed: true})
	}
	_ = json.NewEncoder(w).Encode(answer{Ver: s.ver, NowMS: s.now()})
}
