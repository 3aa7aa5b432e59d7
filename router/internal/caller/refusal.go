package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"snipetally.example/router/internal/schedule"
)

// Run tells a caller whether a backend server ran the request.
type Run string

// Values of Run.
const (
	// RunNo means that no byte of the request can have reached a backend
	// server, or that the server itself reported that it did not run the
	// request.
	RunNo Run = "no"

	// RunYes means that a backend server ran at least a part of the request.
	RunYes Run = "yes"

	// RunUnknown means that neither is certain.
	RunUnknown Run = "unknown"
)

// Code identifies the cause of a refusal. The set is closed and documented for
// operators.
type Code string

// Codes of refusals, each named after its value.
const (
	CodeKey       Code = "key"
	CodeSyntax    Code = "syntax"
	CodeType      Code = "type"
	CodeLarge     Code = "large"
	CodeSlow      Code = "slow"
	CodePath      Code = "path"
	CodeMethod    Code = "method"
	CodeModel     Code = "model"
	CodeService   Code = "service"
	CodeClass     Code = "class"
	CodeLimit     Code = "limit"
	CodeOverload  Code = "overload"
	CodeServer    Code = "server"
	CodeExpired   Code = "expired"
	CodeCanceled  Code = "canceled"
	CodeClosing   Code = "closing"
	CodeStarting  Code = "starting"
	CodeIsolated  Code = "isolated"
	CodeTable     Code = "table"
	CodeDifferent Code = "different"
	CodeRunning   Code = "running"
	CodeOld       Code = "old"
	CodeRefused   Code = "refused"
	CodeFailed    Code = "failed"
	CodeCut       Code = "cut"
	CodeLost      Code = "lost"
)

// Codes returns every code, in the order of the constants.
func Codes() []Code {
	return []Code{
		CodeKey, CodeSyntax, CodeType, CodeLarge,
		CodeSlow, CodePath, CodeMethod, CodeModel,
		CodeService, CodeClass, CodeLimit, CodeOverload,
		CodeServer, CodeExpired, CodeCanceled, CodeClosing,
		CodeStarting, CodeIsolated, CodeTable, CodeDifferent,
		CodeRunning, CodeOld, CodeRefused, CodeFailed,
		CodeCut, CodeLost,
	}
}

// Refusal is an error response from the router itself instead of a backend
// server's response.
type Refusal struct {
	Status  int
	Code    Code
	Run     Run
	Message string

	// RetryAfter is the delay after which the caller may retry, or zero if a
	// retry makes no sense.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// newRefusal returns a refusal of a request that was not run.
func newRefusal(status int, code Code, text string) *Refusal {
	return &Refusal{Status: status, Code: code, Run: RunNo, Message: text}
}

// beforeKeyLookup returns the refusal to send when the request's idempotency
// key was not looked up. An earlier call with the same key may have run, so
// RunNo becomes RunUnknown.
func (r *Refusal) beforeKeyLookup(request *http.Request) *Refusal {
	if request.Header.Get(IdempotencyHeader) == "" || r.Run != RunNo {
		return r
	}
	adjusted := *r
	adjusted.Run = RunUnknown
	return &adjusted
}

// errorBody is the error object of the completions API, with the additional
// field run.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    Code    `json:"code"`
	Run     Run     `json:"run"`
}

// encode returns the refusal as the JSON error object of the completions API.
func (r *Refusal) encode() []byte {
	kind := "server_error"
	if r.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	if r.Status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	body, err := json.Marshal(errorBody{Error: errorObject{Message: r.Message, Type: kind, Code: r.Code, Run: r.Run}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"failed","run":"unknown"}}`)
	}
	return body
}

// write sends the refusal as the complete response.
func (r *Refusal) write(w http.ResponseWriter) {
	body := r.encode()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

// schedulerRefusal maps a refusal by the scheduler to the caller's.
func schedulerRefusal(refusal *schedule.Refusal) *Refusal {
	r := &Refusal{Run: RunNo, RetryAfter: refusal.RetryAfter}
	switch refusal.Reason {
	case schedule.Limited:
		r.Status, r.Code, r.Message = http.StatusTooManyRequests, CodeLimit, "the team has used up its limit"
	case schedule.NoServer:
		r.Status, r.Code, r.Message = http.StatusServiceUnavailable, CodeServer, "no backend server can take the request"
	case schedule.Expired:
		r.Status, r.Code, r.Message = http.StatusServiceUnavailable, CodeExpired, "the request waited past its deadline"
	case schedule.Canceled:
		r.Status, r.Code, r.Message = http.StatusServiceUnavailable, CodeCanceled, "the caller went away"
	default:
		r.Status, r.Code, r.Message = http.StatusServiceUnavailable, CodeOverload, "the request would miss its target"
	}
	return r
}
