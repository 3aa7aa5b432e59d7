package fault

import (
	"fmt"
	"net/http"
)

// RunCounter returns how often a service ran calls with an idempotency key.
type RunCounter func(service, key string) int

// Audit compares histories with what services ran and returns the violations: a
// response that ended as if complete but does not match its request, and for calls
// that run at most once: a call that ran more than once, one that was reported as
// not run but ran, one that completed but did not run exactly once, and two
// different responses to one idempotency key.
func Audit(histories []History, countRuns RunCounter) []string {
	var found []string
	for i := range histories {
		h := &histories[i]
		for _, violation := range append(checkResponses(h), checkRuns(h, countRuns)...) {
			found = append(found, fmt.Sprintf("%s: %s; attempts:%s", h.RequestID, violation, h.Summary()))
		}
	}
	return found
}

// checkResponses checks the responses that ended as if complete.
func checkResponses(h *History) []string {
	var found []string
	response := ""
	for i := range h.Attempts {
		attempt := &h.Attempts[i]
		if attempt.Mismatched {
			found = append(found, "a response that ended as if complete does not match the request")
		}
		if !attempt.Completed || attempt.Response == "" {
			continue
		}
		if response != "" && response != attempt.Response && AtMostOnce(h.Stream.Class) {
			found = append(found, "two different responses to one idempotency key")
		}
		response = attempt.Response
	}
	return found
}

// checkRuns checks how often a service ran an at-most-once call.
func checkRuns(h *History, countRuns RunCounter) []string {
	if h.Stream.Service == "" || !AtMostOnce(h.Stream.Class) {
		return nil
	}
	var found []string
	runs := countRuns(h.Stream.Service, h.RequestID)
	if runs > 1 {
		found = append(found, fmt.Sprintf("ran %d times", runs))
	}
	allRefused := true
	for i := range h.Attempts {
		if h.Attempts[i].Completed && runs != 1 {
			found = append(found, fmt.Sprintf("completed and ran %d times", runs))
		}
		allRefused = allRefused && h.Attempts[i].RunState == "no"
	}
	if allRefused && runs > 0 {
		found = append(found, "reported as not run by every attempt and ran")
	}
	if h.Last().RunState == "no" && runs > 0 && !mayHaveRunBefore(h) {
		found = append(found, "reported as not run by the last attempt and ran")
	}
	return found
}

// mayHaveRunBefore reports whether an attempt before the last one was not reported
// as not run, so that it may have run the call.
func mayHaveRunBefore(h *History) bool {
	for i := range h.Attempts[:len(h.Attempts)-1] {
		if h.Attempts[i].RunState != "no" {
			return true
		}
	}
	return false
}

// AtMostOnce reports whether calls of a class run at most once.
func AtMostOnce(class string) bool {
	return class == "grant" || class == "booking"
}

// Summary lists the outcome of each attempt, with a space before each.
func (h *History) Summary() string {
	summary := ""
	for i := range h.Attempts {
		attempt := &h.Attempts[i]
		switch {
		case attempt.Completed:
			summary += " completed"
		case attempt.ErrorCode != "":
			summary += fmt.Sprintf(" %s/%s", attempt.ErrorCode, attempt.RunState)
		case attempt.Err != nil:
			summary += fmt.Sprintf(" error(%v)", attempt.Err)
		default:
			summary += " " + http.StatusText(attempt.Status)
		}
	}
	return summary
}

// Incomplete returns a summary of each history whose last attempt received no
// complete response.
func Incomplete(histories []History) []string {
	var found []string
	for i := range histories {
		if !histories[i].Completed() {
			found = append(found, histories[i].RequestID+":"+histories[i].Summary())
		}
	}
	return found
}
