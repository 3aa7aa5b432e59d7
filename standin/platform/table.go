// Package platform implements fakes of the platform's table service, object store
// and VM list over HTTP. It imports the standard library, gorilla/mux,
// juju/errors, package pause and package table with its in-memory implementation.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"snipetally.example/coordination/pause"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

// Fault is a way in which a request to the table service fails.
type Fault uint8

// The faults that can be injected.
const (
	// FaultUnavailable responds with status 503 without applying the request.
	FaultUnavailable Fault = iota

	// FaultRequestLost closes the connection before the request is applied.
	FaultRequestLost

	// FaultResponseLost closes the connection after the request was applied.
	FaultResponseLost
)

// TableService is a fake of the platform's table service. It implements
// http.Handler.
type TableService struct {
	table   *memory.Table
	handler http.Handler

	// mu guards the fields below.
	mu          sync.Mutex
	delay       time.Duration
	unavailable bool
	faults      []Fault
	reads       int
	commits     int
}

// NewTableService returns a table service with an empty table.
func NewTableService() *TableService {
	t := &TableService{table: memory.New()}
	r := mux.NewRouter()
	r.HandleFunc("/read", t.read).Methods(http.MethodPost)
	r.HandleFunc("/list", t.list).Methods(http.MethodPost)
	r.HandleFunc("/commit", t.commit).Methods(http.MethodPost)
	t.handler = r
	return t
}

// Table returns the underlying table, which bypasses the HTTP service and its
// faults.
func (t *TableService) Table() table.Table { return t.table }

// SetDelay delays the handling of each request by delay.
func (t *TableService) SetDelay(delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = delay
}

// SetUnavailable makes requests fail with status 503 until it is called with
// false.
func (t *TableService) SetUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = unavailable
}

// Inject appends faults to the queue, from which each of the next requests takes
// one. Requests that fail because of SetUnavailable take none.
func (t *TableService) Inject(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// Counts returns the number of successful reads, including lists, and of
// processed commits, including those that failed.
func (t *TableService) Counts() (reads, commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.commits
}

// ServeHTTP implements http.Handler.
func (t *TableService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	delay, unavailable, faults := t.delay, t.unavailable, t.faults
	if len(faults) > 0 && !unavailable {
		t.faults = faults[1:]
	}
	t.mu.Unlock()
	if delay > 0 && !pause.For(r.Context(), delay) {
		return
	}
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if len(faults) == 0 {
		t.handler.ServeHTTP(w, r)
		return
	}
	switch faults[0] {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultRequestLost:
		panic(http.ErrAbortHandler)
	case FaultResponseLost:
		t.handler.ServeHTTP(discardResponse{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discardResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardResponse) WriteHeader(int) {}

// rowBody is the encoded form of table.Row.
type rowBody struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// rowsBody is the body of the response to a read or list request.
type rowsBody struct {
	Rows []rowBody `json:"rows"`
}

// checkBody is the encoded form of table.Check.
type checkBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// writeBody is the encoded form of table.Write.
type writeBody struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Remove bool   `json:"remove"`
}

// commitBody is the encoded form of table.Transaction.
type commitBody struct {
	Checks []checkBody `json:"checks"`
	Writes []writeBody `json:"writes"`
}

// read returns the rows with the given keys.
func (t *TableService) read(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Keys []string `json:"keys"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	rows, err := t.table.Read(r.Context(), body.Keys...)
	t.writeRows(w, rows, err)
}

// list returns the rows of a key range.
func (t *TableService) list(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	rows, err := t.table.List(r.Context(), table.Range{Prefix: body.Prefix, After: body.After, Limit: body.Limit})
	t.writeRows(w, rows, err)
}

// writeRows sends rows, or status 503 if err is not nil.
func (t *TableService) writeRows(w http.ResponseWriter, rows []table.Row, err error) {
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
	writeJSON(w, http.StatusOK, body)
}

// commit applies a transaction. A failed check results in status 409.
func (t *TableService) commit(w http.ResponseWriter, r *http.Request) {
	var body commitBody
	if !decodeJSON(w, r, &body) {
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
		writeJSON(w, http.StatusConflict, struct{}{})
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// decodeJSON decodes the JSON body of r into v, or sends status 400 and returns
// false.
func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON sends a response with v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
