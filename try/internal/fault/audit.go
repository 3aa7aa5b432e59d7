package fault

import (
	"fmt"
	"net/http"
)

// RunCounter returns how often a service ran calls with an idempotency key.
type RunCounter func(service, key string) int

// Audit holds histories against what services ran and returns the violations:
// an answer that is not the request's own whole one, a call that runs at most
// once and ran twice, one that was told not run and ran, one that was answered
// and did not run once, and two tries of one key that were answered differently.
func Audit(histories []History, runs RunCounter) []string {
	var found []string
	for i := range histories {
		h := &histories[i]
		for _, problem := range append(answers(h), calls(h, runs)...) {
			found = append(found, fmt.Sprintf("%s: %s; told %s", h.RequestID, problem, h.Summary()))
		}
	}
	return found
}

// answers checks what was given as whole.
func answers(h *History) []string {
	var found []string
	answer := ""
	for i := range h.Attempts {
		try := &h.Attempts[i]
		if try.Mismatched {
			found = append(found, "an answer given as whole is not the request's own")
		}
		if !try.Completed || try.Response == "" {
			continue
		}
		if answer != "" && answer != try.Response && AtMostOnce(h.Stream.Class) {
			found = append(found, "two different answers to one key")
		}
		answer = try.Response
	}
	return found
}

// calls checks the runs of a call of a service.
func calls(h *History, runs RunCounter) []string {
	if h.Stream.Service == "" || !AtMostOnce(h.Stream.Class) {
		return nil
	}
	var found []string
	ran := runs(h.Stream.Service, h.RequestID)
	if ran > 1 {
		found = append(found, fmt.Sprintf("ran %d times", ran))
	}
	refused := true
	for i := range h.Attempts {
		if h.Attempts[i].Completed && ran != 1 {
			found = append(found, fmt.Sprintf("answered and ran %d times", ran))
		}
		refused = refused && h.Attempts[i].RunState == "no"
	}
	if refused && ran > 0 {
		found = append(found, "told not run and ran")
	}
	if h.Last().RunState == "no" && ran > 0 && !earlier(h) {
		found = append(found, "told not run at last and ran")
	}
	return found
}

// earlier reports whether a try before the last one was told other than that it
// did not run, so that the key may have run before.
func earlier(h *History) bool {
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

// Summary tells the tries of a request in short.
func (h *History) Summary() string {
	text := ""
	for i := range h.Attempts {
		try := &h.Attempts[i]
		switch {
		case try.Completed:
			text += " whole"
		case try.ErrorCode != "":
			text += fmt.Sprintf(" %s/%s", try.ErrorCode, try.RunState)
		case try.Err != nil:
			text += fmt.Sprintf(" error(%v)", try.Err)
		default:
			text += " " + http.StatusText(try.Status)
		}
	}
	return text
}

// Incomplete returns the histories that did not end with a whole answer, in
// short.
func Incomplete(histories []History) []string {
	var found []string
	for i := range histories {
		if !histories[i].Completed() {
			found = append(found, histories[i].RequestID+":"+histories[i].Summary())
		}
	}
	return found
}
