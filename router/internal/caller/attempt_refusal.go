package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/schedule"
)

// defaultRetryAfter is the delay that a caller is told to wait after a
// temporary failure.
const defaultRetryAfter = time.Second

// attemptRefusal returns the refusal for a request without a complete response.
// outcome is that of its last attempt, and ran says whether any of its attempts
// ran.
func attemptRefusal(outcome attempt.Outcome, ran attempt.Run) *Refusal {
	r := &Refusal{Status: http.StatusBadGateway, Run: callerRun(ran), RetryAfter: defaultRetryAfter}
	switch outcome.Reason {
	case attempt.Refused:
		r.Status, r.Code, r.RetryAfter = outcome.Status, CodeRefused, 0
		r.Message = backendErrorMessage(outcome.ErrorBody)
	case attempt.Failed:
		r.Code, r.Message = CodeFailed, "the backend server failed"
	case attempt.Unreachable:
		r.Status, r.Code = http.StatusServiceUnavailable, CodeServer
		r.Message = "the backend server did not take the request"
	case attempt.Canceled:
		r.Status, r.Code, r.Message, r.RetryAfter = http.StatusServiceUnavailable, CodeCanceled, "the caller went away", 0
	default:
		r.Code, r.Message = CodeLost, "the backend server's answer was lost"
		if outcome.ResponseStarted {
			r.Code, r.Message = CodeCut, "the backend server's answer broke off"
		}
	}
	return r
}

// backendErrorMessage returns the message in a backend server's error response.
func backendErrorMessage(body []byte) string {
	var parsed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &parsed) != nil || parsed.Error.Message == "" {
		return "the backend server refused the request"
	}
	return parsed.Error.Message
}

// gateRefusal maps an error of the gate to a refusal.
func gateRefusal(err error) *Refusal {
	if refusal, ok := errors.AsType[*schedule.Refusal](err); ok {
		return schedulerRefusal(refusal)
	}
	return newRefusal(http.StatusServiceUnavailable, CodeServer, "no backend server can take the request")
}
