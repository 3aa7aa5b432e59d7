package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, or its removal.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// rowName is the name of a row, with the version that it must have.
type rowName struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version int64  `json:"ver"`
	Value   []byte `json:"value"`
}

// store is a stand-in for the platform's store. It follows "The platform's metadata store" of
// PROTOCOL.md, with the header Store-Era of the news.
type store struct {
	start    time.Time
	listener net.Listener

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	era     int64
	down    bool
	changed chan struct{}
}

// startStore starts a store at an address.
func startStore(address string) *store {
	s := &store{start: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	var err error
	if s.listener, err = net.Listen("tcp4", address); err != nil {
		cannotRun("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	go func() { _ = http.Serve(s.listener, mux) }()
	return s
}

// address returns the address of the store.
func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row, as the operator and the runners do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Version: s.version})
	s.wake()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Version: s.version, Removed: true})
	s.wake()
}

// apply takes over a row. The caller holds s.mu.
func (s *store) apply(r row) {
	name := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Removed {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
}

// wake wakes the calls that wait for changes. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes a response with the header of the era.
func (s *store) answer(w http.ResponseWriter, era int64, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// nowMS returns the store's steady clock.
func (s *store) nowMS() int64 { return 10_000 + time.Since(s.start).Milliseconds() }

// get answers rows-get.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	found := []row{}
	for _, each := range s.rows {
		if each.Table != q.Get("table") || each.Part != q.Get("part") || each.Key < q.Get("from") || q.Get("to") != "" && each.Key >= q.Get("to") {
			continue
		}
		found = append(found, each)
	}
	version, now, era, down := s.version, s.nowMS(), s.era, s.down
	s.mu.Unlock()
	if down {
		s.answer(w, era, http.StatusServiceUnavailable, nil)
		return
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > limit
	if truncated {
		found = found[:limit]
	}
	s.answer(w, era, http.StatusOK, map[string]any{"rows": found, "truncated": truncated, "ver": version, "now-ms": now})
}

// feed answers rows-feed.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("start-revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, each := range s.history {
			if each.Table == q.Get("table") && each.Version > after {
				rows = append(rows, each)
			}
		}
		version, now, era, down, changed := s.version, s.nowMS(), s.era, s.down, s.changed
		s.mu.Unlock()
		switch {
		case down:
			s.answer(w, era, http.StatusServiceUnavailable, nil)
			return
		case after > version:
			s.answer(w, era, http.StatusGone, nil)
			return
		case len(rows) > 0 || wait == 0:
			s.answer(w, era, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now-ms": now})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// transact answers rows-tx.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []rowName `json:"expected-revision"`
		Puts     []rowName `json:"puts"`
		Removals []rowName `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.answer(w, s.era, http.StatusServiceUnavailable, nil)
		return
	}
	for _, e := range body.Expected {
		if s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key].Version != e.Version {
			s.answer(w, s.era, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.version, "now-ms": s.nowMS()})
			return
		}
	}
	for _, e := range append(body.Puts, body.Removals...) {
		if e.Table == "op" || e.Table == "servers" {
			s.answer(w, s.era, http.StatusForbidden, nil)
			return
		}
	}
	s.version++
	for _, p := range body.Puts {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version})
	}
	for _, p := range body.Removals {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Removed: true})
	}
	s.wake()
	s.answer(w, s.era, http.StatusOK, map[string]any{"ver": s.version, "now-ms": s.nowMS()})
}

// copyOf returns a copy of what the store holds, from which it can come back.
func (s *store) copyOf() (rows map[string]row, history []row, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = map[string]row{}
	for name, r := range s.rows {
		rows[name] = r
	}
	return rows, append([]row(nil), s.history...), s.version
}

// restore lets the store come back from a copy, in a new era.
func (s *store) restore(rows map[string]row, history []row, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version = rows, history, version
	s.era++
	s.wake()
}
