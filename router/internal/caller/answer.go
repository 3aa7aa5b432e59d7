package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"snipetally.example/coordination/record"
	"snipetally.example/router/internal/attempt"
)

// answer relays a backend server's answer to a caller. It implements
// attempt.Sink.
type answer struct {
	w       http.ResponseWriter
	ctl     *http.ResponseController
	wait    time.Duration
	inbound *inbound

	// moved is when the write deadline was set last.
	moved time.Time
}

// deadlineSteps is the number of steps in which the write deadline is moved
// while a stream goes on. A caller has at least the time of the write bound less
// one step.
const deadlineSteps = 16

func newAnswer(w http.ResponseWriter, v *inbound, wait time.Duration) *answer {
	return &answer{w: w, ctl: http.NewResponseController(w), wait: wait, inbound: v}
}

// Begin implements attempt.Sink.
func (a *answer) Begin(head attempt.Head) error {
	a.inbound.begun = true
	header := a.w.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	a.extend()
	a.w.WriteHeader(head.Status)
	return nil
}

// Event implements attempt.Sink.
func (a *answer) Event(e attempt.Event) error {
	if _, err := a.w.Write(e.Raw); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// extend gives the caller the time of the write bound from now on. The deadline
// is not moved for each token, but when a step of the bound has passed.
func (a *answer) extend() {
	now := time.Now()
	if now.Sub(a.moved) < a.wait/deadlineSteps {
		return
	}
	a.moved = now
	_ = a.ctl.SetWriteDeadline(now.Add(a.wait))
}

// Flush implements attempt.Sink. The caller has the time of the write bound to
// take what was written since the last flush.
func (a *answer) Flush() error {
	a.extend()
	if err := a.ctl.Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// replay sends a whole answer that was kept.
func (a *answer) replay(kept *record.Response) {
	a.inbound.begun = true
	header := a.w.Header()
	for _, field := range kept.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set("Content-Length", strconv.Itoa(len(kept.Body)))
	_ = a.ctl.SetWriteDeadline(time.Now().Add(a.wait))
	a.w.WriteHeader(kept.Status)
	_, _ = a.w.Write(kept.Body)
}

// cut ends a stream that broke off with an error event and without the end
// marker.
func (a *answer) cut(refused *Refusal) {
	event := append([]byte("data: "), refused.encode()...)
	_ = a.Event(attempt.Event{Raw: append(event, '\n', '\n')})
	_ = a.Flush()
}
