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

	// epochHeader carries a number that changes when the engine loses the
	// state of its attempts.
	epochHeader = "Epoch"

	maxBodyBytes = 64 << 20
)

// routes returns the handler of the engine protocol.
func (e *Engine) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", e.listModels).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{attempt}", e.getAttempt).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{attempt}", e.cancelAttempt).Methods(http.MethodDelete)
	r.HandleFunc("/v1/requests/{attempt}", e.setPriority).Methods(http.MethodPatch)
	r.HandleFunc("/v1/requests/{attempt}/stream", e.resumeStream).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{attempt}/export", e.exportRequest).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{attempt}/import", e.importRequest).Methods(http.MethodPost)
	r.HandleFunc("/load", e.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/events", e.listCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.applyOrder).Methods(http.MethodPost)
	r.HandleFunc("/orders", e.getOrderState).Methods(http.MethodGet)
	return r
}

// handleCompletion runs a completion request and sends its response.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		e.writeError(w, http.StatusBadRequest, "body", "can't read the body")
		return
	}
	j, err := newJob(body, strings.Contains(r.URL.Path, "/chat/"))
	if err != nil {
		e.writeError(w, http.StatusBadRequest, "json", err.Error())
		return
	}
	j.attempt = r.Header.Get(attemptHeader)
	j.priority, _ = strconv.Atoi(r.Header.Get(priorityHeader))
	if !e.submit(w, j) {
		return
	}
	e.addReader(j)
	defer e.removeReader(j)
	if j.request.Stream {
		e.streamEvents(w, r, j, 0)
		return
	}
	e.writeFullResponse(w, r, j)
}

// newJob decodes the body of a completion request.
func newJob(body []byte, chat bool) (*job, error) {
	j := &job{body: body, chat: chat}
	if err := json.Unmarshal(body, &j.request); err != nil {
		return nil, err
	}
	j.prompt = j.request.promptText()
	j.outputLength, j.finishReason = j.request.outputLength()
	return j, nil
}

// submit queues a job, or writes an error response and returns false.
func (e *Engine) submit(w http.ResponseWriter, j *job) bool {
	e.mu.Lock()
	status, code := e.checkAdmission(j)
	if status == 0 {
		e.enqueue(j)
	}
	e.mu.Unlock()
	if j.attempt != "" {
		w.Header().Set(attemptHeader, j.attempt)
	}
	if status != 0 {
		e.writeError(w, status, code, "the request was not run")
		return false
	}
	return true
}

// checkAdmission counts the arrival of a job and returns a zero status if it may
// be queued, or else the status and code of the error. It assigns an attempt id
// to jobs that have none. The caller holds e.mu.
func (e *Engine) checkAdmission(j *job) (status int, code string) {
	if j.attempt == "" {
		j.attempt = "local-" + strconv.FormatUint(e.sequence+1, 10)
	}
	if e.records[j.attempt] == nil {
		e.records[j.attempt] = &Record{Attempt: j.attempt, Model: j.request.Model, Priority: j.priority}
	}
	j.record = e.records[j.attempt]
	j.record.Arrivals++
	switch {
	case e.refusedAttempts[j.attempt]:
		return http.StatusConflict, "refused"
	case e.jobs[j.attempt] != nil:
		return http.StatusConflict, "repeated"
	case !e.orderState.servesModel(j.request.Model):
		return http.StatusNotFound, "model_not_found"
	}
	return 0, ""
}

// attemptStatus is the body of the response to a status query.
type attemptStatus struct {
	Attempt      string `json:"attempt"`
	State        State  `json:"state"`
	OutputTokens int    `json:"tokens"`
	FinishReason string `json:"finish"`
}

// getAttempt returns the state of an attempt. An attempt that has not arrived yet
// is reported as absent and refused from then on.
func (e *Engine) getAttempt(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	status := attemptStatus{Attempt: attempt, State: StateAbsent}
	e.mu.Lock()
	if j := e.jobs[attempt]; j != nil {
		status.State = j.state
		status.OutputTokens = j.outputTokens
		if j.state == StateDone {
			status.FinishReason = j.finishReason
		}
	} else {
		e.refusedAttempts[attempt] = true
	}
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	e.writeJSON(w, status)
}

// cancelAttempt cancels an attempt. One that has not arrived yet is refused from
// then on.
func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	attempt := mux.Vars(r)["attempt"]
	e.mu.Lock()
	if j := e.jobs[attempt]; j != nil {
		j.cancel()
	} else {
		e.refusedAttempts[attempt] = true
	}
	e.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	e.writeJSON(w, struct{}{})
}

// setPriority changes the priority of an attempt.
func (e *Engine) setPriority(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Priority int `json:"priority"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		e.writeError(w, http.StatusBadRequest, "json", err.Error())
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
		e.writeError(w, http.StatusNotFound, "absent", "no such attempt")
		return
	}
	e.writeJSON(w, struct{}{})
}

// writeJSON sends status 200 with v as its JSON body.
func (e *Engine) writeJSON(w http.ResponseWriter, v any) {
	e.writeBody(w, http.StatusOK, encodeJSON(v))
}

// writeError sends an error in the format of the OpenAI API.
func (e *Engine) writeError(w http.ResponseWriter, status int, code, text string) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	e.writeBody(w, status, encodeJSON(struct {
		Error detail `json:"error"`
	}{detail{Message: text, Type: "invalid_request_error", Code: code}}))
}

// writeBody sends a response with an encoded JSON body.
func (e *Engine) writeBody(w http.ResponseWriter, status int, body []byte) {
	e.setEpochHeader(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// setEpochHeader sets the epoch header, which all responses carry.
func (e *Engine) setEpochHeader(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(epochHeader, strconv.FormatUint(e.epoch, 10))
}
