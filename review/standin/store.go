package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
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
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows in
// tables, conditional transactions, reads and a feed of changes.
type store struct {
	start   time.Time
	address string

	// mu guards the fields below.
	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	era     int64
	away    bool
	server  *http.Server
	changed chan struct{}
}

// storeCopy is a copy of a store at one moment.
type storeCopy struct {
	rows    map[string]row
	history []row
	version int64
	takenAt time.Time
}

// errAway means that the store can't be reached.
var errAway = fmt.Errorf("store is away")

// newStore returns a store that serves at an address.
func newStore(address string) (*store, error) {
	s := &store{start: time.Now(), address: address, rows: make(map[string]row), era: 1, changed: make(chan struct{}), away: true}
	return s, s.comeBack()
}

// goAway closes the listener and resets all connections. Calls fail until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	s.away = true
	server := s.server
	s.notify()
	s.mu.Unlock()
	_ = server.Close()
}

// comeBack serves again.
func (s *store) comeBack() error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", s.address); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /v1/rows-tx", s.serveTransaction)
	s.mu.Lock()
	s.away = false
	s.server = &http.Server{Handler: mux}
	server := s.server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// copy returns a copy of the store as it is now.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), history: append([]row(nil), s.history...), version: s.version, takenAt: time.Now()}
}

// restore replaces the content by a copy. What was written since is lost, its versions are given
// out again, and the era rises by one.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version = maps.Clone(c.rows), append([]row(nil), c.history...), c.version
	s.era++
	s.notify()
}

// put writes one row as the operator or a runner, and returns its version.
func (s *store) put(table, key string, value any) (version, era int64, err error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, 0, errAway
	}
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Version: s.version})
	s.notify()
	return s.version, s.era, nil
}

// removeRow removes a row.
func (s *store) removeRow(table, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	s.version++
	s.apply(row{Table: table, Key: key, Version: s.version, Removed: true})
	s.notify()
	return nil
}

// apply applies a change. The caller holds s.mu.
func (s *store) apply(r row) {
	name := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Removed {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
}

// notify wakes up the calls that wait for a change. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// response is the body of a response.
type response struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Version   int64 `json:"ver"`
	NowMS     int64 `json:"now-ms"`
}

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// respond writes a response.
func (s *store) respond(w http.ResponseWriter, status int, era int64, body response) {
	time.Sleep(storeLatency)
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body.NowMS = time.Since(s.start).Milliseconds()
	if body.Rows == nil {
		body.Rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(body)
}

// maxRows is the largest number of rows in a response.
const maxRows = 500

// serveGet responds with rows of a table.
func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	var rows []row
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	version, era := s.version, s.era
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	truncated := len(rows) > limit
	s.respond(w, http.StatusOK, era, response{Rows: rows[:min(len(rows), limit)], Truncated: truncated, Version: version})
}

// serveFeed responds with the changes of a table. A version that the store does not have gets 410.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	start, err := strconv.ParseInt(q.Get("start-revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		newest := make(map[string]row)
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > start {
				newest[row.Part+"\x00"+row.Key] = row
			}
		}
		version, era, changed, known := s.version, s.era, s.changed, start <= s.version
		s.mu.Unlock()
		if !known {
			s.respond(w, http.StatusGone, era, response{Version: version})
			return
		}
		if len(newest) > 0 || ctx.Err() != nil || waitMS == 0 {
			rows := make([]row, 0, len(newest))
			for _, row := range newest {
				rows = append(rows, row)
			}
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.respond(w, http.StatusOK, era, response{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return
			}
		}
	}
}

// serveTransaction applies all entries of a transaction or none.
func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected-revision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, version, era, current := s.transact(body.Expected, body.Puts, body.Remove)
	s.respond(w, status, era, response{Rows: current, Version: version})
}

// transact applies a transaction.
func (s *store) transact(expected, puts, remove []row) (status int, version, era int64, current []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	matches := true
	for _, e := range expected {
		now := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		matches = matches && now.Version == e.Version
		if now.Version != 0 {
			current = append(current, now)
		}
	}
	if !matches {
		return http.StatusPreconditionFailed, s.version, s.era, current
	}
	for _, p := range append(append([]row(nil), puts...), remove...) {
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, s.version, s.era, nil
		}
	}
	s.version++
	for _, p := range puts {
		p.Version, p.Removed = s.version, false
		s.apply(p)
	}
	for _, p := range remove {
		p.Version, p.Removed, p.Value = s.version, true, nil
		s.apply(p)
	}
	s.notify()
	return http.StatusOK, s.version, s.era, nil
}
