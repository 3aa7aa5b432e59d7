package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, or its removal in a feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store, as far as routers use it: rows, a feed of
// changes, and a return from an older copy. Its methods are safe for concurrent use.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	era     int64
	away    bool
	changed chan struct{}
}

// newStore returns an empty store.
func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

// notify wakes up the calls that wait for a change. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row and reports whether the store has acknowledged it. It does not while it is away.
func (s *store) put(table, key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(row{Table: table, Key: key, Value: data})
}

// write applies a change, unless the store is away.
func (s *store) write(r row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.version++
	r.Version = s.version
	s.history = append(s.history, r)
	name := r.Table + "/" + r.Key
	if r.Removed {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.notify()
	return true
}

// storeCopy is a copy of the store, as a drill brings it back.
type storeCopy struct {
	rows    map[string]row
	history []row
	version int64
}

// copy returns a copy of the store as it is now.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{rows: make(map[string]row), history: append([]row(nil), s.history...), version: s.version}
	for k, v := range s.rows {
		c.rows[k] = v
	}
	return c
}

// setAway makes the store unavailable, or available again: calls get 503, which says
// that nothing was done.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// restore brings back a copy in a new era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version = c.rows, c.history, c.version
	s.era++
	s.away = false
	s.notify()
}

// door is an address at which one router reaches the store.
type door struct {
	store   *store
	address string

	// mu guards the fields below. silent holds back all answers. address of a server's
	// entry is replaced by rewrite, unless that is nil.
	mu      sync.Mutex
	silent  bool
	rewrite func(address string) string
}

// open opens a door.
func (s *store) open(rewrite func(string) string) *door {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	d := &door{store: s, address: listener.Addr().String(), rewrite: rewrite}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", d.get)
	mux.HandleFunc("GET /v1/rows-feed", d.feed)
	mux.HandleFunc("POST /v1/rows-tx", d.tx)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return d
}

// setSilent makes the store give this router no answers, or answers again.
func (d *door) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// body is the body of an answer.
type body struct {
	Rows      []row   `json:"rows"`
	Truncated bool    `json:"truncated"`
	Version   int64   `json:"ver"`
	NowMS     float64 `json:"now-ms"`
}

// answer writes an answer. The caller does not hold the store's mutex.
func (d *door) answer(w http.ResponseWriter, r *http.Request, status int, era int64, b body) {
	d.mu.Lock()
	silent, rewrite := d.silent, d.rewrite
	d.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if rewrite != nil {
		for i, row := range b.Rows {
			b.Rows[i] = rewriteEntry(row, rewrite)
		}
	}
	if b.Rows == nil {
		b.Rows = []row{}
	}
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data)
}

// rewriteEntry replaces the address in the entry of a server by that of a link to it.
func rewriteEntry(r row, rewrite func(string) string) row {
	if r.Table != "servers" || r.Removed {
		return r
	}
	var entry map[string]any
	if json.Unmarshal(r.Value, &entry) != nil {
		return r
	}
	if address, ok := entry["address"].(string); ok {
		entry["address"] = rewrite(address)
		r.Value, _ = json.Marshal(entry)
	}
	return r
}

// now returns the store's steady clock in milliseconds. The caller holds s.mu.
func (s *store) now() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

// get answers with the rows of a table.
func (d *door) get(w http.ResponseWriter, r *http.Request) {
	s := d.store
	q := r.URL.Query()
	s.mu.Lock()
	status, era := http.StatusOK, s.era
	if s.away {
		status = http.StatusServiceUnavailable
	}
	b := body{Version: s.version, NowMS: s.now()}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") {
			b.Rows = append(b.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(b.Rows, func(i, j int) bool { return b.Rows[i].Key < b.Rows[j].Key })
	time.Sleep(storeTime)
	d.answer(w, r, status, era, b)
}

// storeTime is how long the store takes for an answer.
const storeTime = 4 * time.Millisecond

// feed answers with the changes of a table since a version.
func (d *door) feed(w http.ResponseWriter, r *http.Request) {
	s := d.store
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("start-revision"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	time.Sleep(storeTime)
	over := wait == 0
	for {
		s.mu.Lock()
		era, changed := s.era, s.changed
		b := body{Version: s.version, NowMS: s.now()}
		status := http.StatusOK
		switch {
		case s.away:
			status = http.StatusServiceUnavailable
		case since > s.version:
			status = http.StatusGone
		}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > since {
				b.Rows = append(b.Rows, row)
			}
		}
		s.mu.Unlock()
		if status != http.StatusOK || len(b.Rows) > 0 || over {
			d.answer(w, r, status, era, b)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// tx writes rows of the system's own.
func (d *door) tx(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Puts     []row `json:"puts"`
		Removals []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := d.store
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		d.answer(w, r, http.StatusServiceUnavailable, era, body{})
		return
	}
	for _, p := range call.Puts {
		s.write(p)
	}
	for _, p := range call.Removals {
		p.Removed = true
		s.write(p)
	}
	time.Sleep(storeTime)
	d.answer(w, r, http.StatusOK, era, body{})
}
