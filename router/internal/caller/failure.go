package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/schedule"
)

// retryAfter is when a caller may come back after a failure that passes.
const retryAfter = time.Second

// failure returns the refusal for the last attempt of a request that got no
// whole answer. Ran says whether any of its attempts ran.
func failure(outcome attempt.Outcome, ran attempt.Run) *Refusal {
	r := &Refusal{Status: http.StatusBadGateway, Run: runOf(ran), RetryAfter: retryAfter}
	switch outcome.Reason {
	case attempt.Refused:
		r.Status, r.Code, r.RetryAfter = outcome.Status, CodeRefused, 0
		r.Message = refusalText(outcome.ErrorBody)
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

// refusalText returns the message of a backend server's error.
func refusalText(body []byte) string {
	var form struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &form) != nil || form.Error.Message == "" {
		return "the backend server refused the request"
	}
	return form.Error.Message
}

// gateRefusal maps an error of the gate to an answer.
func gateRefusal(err error) *Refusal {
	if refused, ok := errors.AsType[*schedule.Refusal](err); ok {
		return refusalOf(refused)
	}
	return refuse(http.StatusServiceUnavailable, CodeServer, "no backend server can take the request")
}
