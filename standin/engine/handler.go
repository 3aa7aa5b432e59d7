package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
)

const (
	attemptHeader  = "Attempt"
	priorityHeader = "Priority"

	// epochHeader carries a number that changes when the engine has forgotten
	// which attempts it ran.
	epochHeader = "Epoch"

	maxBody = 64 << 20
)

// routes returns the handler of all calls.
func (e *Engine) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", e.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{attempt}", e.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{attempt}", e.drop).Methods(http.MethodDelete)
	r.HandleFunc("/v1/requests/{attempt}", e.reorder).Methods(http.MethodPatch)
	r.HandleFunc("/v1/requests/{attempt}/stream", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{attempt}/export", e.export).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{attempt}/import", e.restore).Methods(http.MethodPost)
	r.HandleFunc("/load", e.load).Methods(http.MethodGet)
	r.HandleFunc("/events", e.cacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.order).Methods(http.MethodPost)
	r.HandleFunc("/orders", e.inEffect).Methods(http.MethodGet)
	return r
}

// complete runs a request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		e.refuse(w, http.StatusBadRequest, "body", "can't read the body")
		return
	}
	j, err := newJob(body, strings.Contains(r.URL.Path, "/chat/"))
	if err != nil {
		e.refuse(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	j.attempt = r.Header.Get(attemptHeader)
	j.priority, _ = strconv.Atoi(r.Header.Get(priorityHeader))
	if !e.accept(w, j) {
		return
	}
	e.attach(j)
	defer e.detach(j)
	if j.request.Stream {
		e.stream(w, r, j, 0)
		return
	}
	e.whole(w, r, j)
}

// newJob reads the body of a completion.
func newJob(body []byte, chat bool) (*job, error) {
	j := &job{body: body, chat: chat}
	if err := json.Unmarshal(body, &j.request); err != nil {
		return nil, err
	}
	j.prompt = j.request.prompt()
	j.length, j.finish = j.request.length()
	return j, nil
}

// accept puts a job into the queue, or answers why not.
func (e *Engine) accept(w http.ResponseWriter, j *job) bool {
	e.mu.Lock()
	status, code := e.admission(j)
	if status == 0 {
		e.enqueue(j)
	}
	e.mu.Unlock()
	if j.attempt != "" {
		w.Header().Set(attemptHeader, j.attempt)
	}
	if status != 0 {
		e.refuse(w, status, code, "the request was not run")
		return false
	}
	return true
}

// admission returns a zero status if the job may be queued. The caller holds
// e.mu.
func (e *Engine) admission(j *job) (status int, code string) {
	if j.attempt == "" {
		j.attempt = "local-" + strconv.FormatUint(e.sequence+1, 10)
	}
	if e.records[j.attempt] == nil {
		e.records[j.attempt] = &Record{Attempt: j.attempt, Model: j.request.Model, Priority: j.priority}
	}
	j.record = e.records[j.attempt]
	j.record.Arrivals++
	switch {
	case e.refused[j.attempt]:
		return http.StatusConflict, "refused"
	case e.jobs[j.attempt] != nil:
		return http.StatusConflict, "repeated"
	case !e.orders.loaded(j.request.Model):
		return http.StatusNotFound, "model_not_found"
	}
	return 0, ""
}

// statusAnswer is the state of an attempt.
type statusAnswer struct {
	Attempt string `json:"attempt"`
	State   State  `json:"state"`
	Tokens  int    `json:"tokens"`
	Finish  string `json:"finish"`
}

// status answers where an attempt stands. One that has not arrived is refused
// from then on.
func (e *Engine) status(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	answer := statusAnswer{Attempt: attempt, State: StateAbsent}
	e.mu.Lock()
	if j := e.jobs[attempt]; j != nil {
		answer.State = j.state
		answer.Tokens = j.tokens
		if j.state == StateDone {
			answer.Finish = j.finish
		}
	} else {
		e.refused[attempt] = true
	}
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	e.reply(w, answer)
}

// drop cancels an attempt.
func (e *Engine) drop(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	e.mu.Lock()
	if j := e.jobs[attempt]; j != nil {
		j.cancel()
	} else {
		e.refused[attempt] = true
	}
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	e.reply(w, struct{}{})
}

// reorder changes the priority of an attempt.
func (e *Engine) reorder(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Priority int `json:"priority"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		e.refuse(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	attempt := mux.Vars(r)["attempt"]
	e.mu.Lock()
	j := e.jobs[attempt]
	if j != nil {
		j.priority = change.Priority
		j.record.Priority = change.Priority
	}
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	if j == nil {
		e.refuse(w, http.StatusNotFound, "absent", "no such attempt")
		return
	}
	e.reply(w, struct{}{})
}

// reply answers 200 with a JSON body.
func (e *Engine) reply(w http.ResponseWriter, v any) {
	e.send(w, http.StatusOK, encode(v))
}

// refuse answers an error in the shape of the OpenAI protocol.
func (e *Engine) refuse(w http.ResponseWriter, status int, code, text string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	e.send(w, status, encode(struct {
		Error detail `json:"error"`
	}{detail{Message: text, Type: "invalid_request_error", Code: code}}))
}

// send writes a JSON answer.
func (e *Engine) send(w http.ResponseWriter, status int, body []byte) {
	e.mark(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// mark sets the header that all answers carry.
func (e *Engine) mark(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(epochHeader, strconv.FormatUint(e.epoch, 10))
}
