// Package platform holds small stand-ins for the platform's table service and
// VM list over HTTP. It imports the standard library, gorilla/mux and package
// table with its in-memory form.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

// Fault is what happens to a call of the table service.
type Fault uint8

// The outcomes that can be injected.
const (
	// FaultUnavailable answers 503. Nothing takes effect.
	FaultUnavailable Fault = iota

	// FaultRequestLost breaks the connection before the call takes effect.
	FaultRequestLost

	// FaultResponseLost breaks the connection after the call took effect.
	FaultResponseLost
)

// TableService is the table service. It implements http.Handler.
type TableService struct {
	table   *memory.Table
	handler http.Handler

	// mu guards the fields below.
	mu       sync.Mutex
	delay    time.Duration
	down     bool
	outcomes []Fault
	reads    int
	commits  int
}

// NewTableService returns an empty table service.
func NewTableService() *TableService {
	t := &TableService{table: memory.New()}
	r := mux.NewRouter()
	r.HandleFunc("/read", t.read).Methods(http.MethodPost)
	r.HandleFunc("/list", t.list).Methods(http.MethodPost)
	r.HandleFunc("/commit", t.commit).Methods(http.MethodPost)
	t.handler = r
	return t
}

// Table returns the table itself, without the HTTP service and its faults.
func (t *TableService) Table() table.Table { return t.table }

// SetDelay makes each call wait for d first.
func (t *TableService) SetDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// SetUnavailable makes each call answer 503 until it is called with false.
func (t *TableService) SetUnavailable(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Inject gives the next calls the outcomes, one each.
func (t *TableService) Inject(outcomes ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, outcomes...)
}

// Counts returns the number of reads, lists included, and of commits that
// were taken.
func (t *TableService) Counts() (reads, commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.commits
}

// ServeHTTP implements http.Handler.
func (t *TableService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	delay, down, outcomes := t.delay, t.down, t.outcomes
	if len(outcomes) > 0 && !down {
		t.outcomes = outcomes[1:]
	}
	t.mu.Unlock()
	if !wait(r, delay) {
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if len(outcomes) == 0 {
		t.handler.ServeHTTP(w, r)
		return
	}
	switch outcomes[0] {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultRequestLost:
		panic(http.ErrAbortHandler)
	case FaultResponseLost:
		t.handler.ServeHTTP(discard{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
}

// wait waits for d and reports whether the caller is still there.
func wait(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discard is a response that nobody gets.
type discard struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}

// rowBody is a row on the wire.
type rowBody struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// rowsBody is a list of rows on the wire.
type rowsBody struct {
	Rows []rowBody `json:"rows"`
}

// checkBody is a check on the wire.
type checkBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// writeBody is a write on the wire.
type writeBody struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Remove bool   `json:"remove"`
}

// commitBody is a transaction on the wire.
type commitBody struct {
	Checks []checkBody `json:"checks"`
	Writes []writeBody `json:"writes"`
}

// read answers rows by their keys.
func (t *TableService) read(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Keys []string `json:"keys"`
	}
	if !decode(w, r, &body) {
		return
	}
	rows, err := t.table.Read(r.Context(), body.Keys...)
	t.answer(w, rows, err)
}

// list answers rows by a prefix of their keys.
func (t *TableService) list(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	if !decode(w, r, &body) {
		return
	}
	rows, err := t.table.List(r.Context(), table.Range{Prefix: body.Prefix, After: body.After, Limit: body.Limit})
	t.answer(w, rows, err)
}

// answer sends rows.
func (t *TableService) answer(w http.ResponseWriter, rows []table.Row, err error) {
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	t.reads++
	t.mu.Unlock()
	body := rowsBody{Rows: make([]rowBody, 0, len(rows))}
	for _, row := range rows {
		body.Rows = append(body.Rows, rowBody{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	send(w, http.StatusOK, body)
}

// commit applies a transaction.
func (t *TableService) commit(w http.ResponseWriter, r *http.Request) {
	var body commitBody
	if !decode(w, r, &body) {
		return
	}
	var tx table.Transaction
	for _, c := range body.Checks {
		tx.Checks = append(tx.Checks, table.Check{Key: c.Key, Version: c.Version})
	}
	for _, write := range body.Writes {
		tx.Writes = append(tx.Writes, table.Write{Key: write.Key, Value: write.Value, Remove: write.Remove})
	}
	err := t.table.Commit(r.Context(), tx)
	t.mu.Lock()
	t.commits++
	t.mu.Unlock()
	switch {
	case errors.Is(err, table.ErrConflict):
		send(w, http.StatusConflict, struct{}{})
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		send(w, http.StatusOK, struct{}{})
	}
}

// decode reads a JSON body, or answers 400.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// send writes a JSON answer.
func send(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
