package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"snipetally.example/coordination/record"
	"snipetally.example/router/internal/attempt"
)

// responseSink streams a backend server's response to a caller. It implements
// attempt.Sink.
type responseSink struct {
	w            http.ResponseWriter
	ctl          *http.ResponseController
	writeTimeout time.Duration
	inbound      *inbound

	// deadlineSet is when the write deadline was last set.
	deadlineSet time.Time
}

// deadlineSteps divides the write timeout into the steps in which
// extendDeadline moves the write deadline, so that it is not set for every
// token. A caller always has at least the write timeout less one step.
const deadlineSteps = 16

func newResponseSink(w http.ResponseWriter, in *inbound, writeTimeout time.Duration) *responseSink {
	return &responseSink{w: w, ctl: http.NewResponseController(w), writeTimeout: writeTimeout, inbound: in}
}

// Begin implements attempt.Sink.
func (s *responseSink) Begin(head attempt.Head) error {
	s.inbound.responseStarted = true
	header := s.w.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	s.extendDeadline()
	s.w.WriteHeader(head.Status)
	return nil
}

// Event implements attempt.Sink.
func (s *responseSink) Event(e attempt.Event) error {
	if _, err := s.w.Write(e.Raw); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

// extendDeadline sets the write deadline to the write timeout from now. It does
// nothing until one step has passed since the last change.
func (s *responseSink) extendDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSet) < s.writeTimeout/deadlineSteps {
		return
	}
	s.deadlineSet = now
	_ = s.ctl.SetWriteDeadline(now.Add(s.writeTimeout))
}

// Flush implements attempt.Sink. The caller has the write timeout to accept
// what was written since the last flush.
func (s *responseSink) Flush() error {
	s.extendDeadline()
	if err := s.ctl.Flush(); err != nil {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

// replay sends a recorded response in full.
func (s *responseSink) replay(response *record.Response) {
	s.inbound.responseStarted = true
	header := s.w.Header()
	for _, field := range response.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	_ = s.ctl.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	s.w.WriteHeader(response.Status)
	_, _ = s.w.Write(response.Body)
}

// writeErrorEvent ends an interrupted stream with an error event and without
// the end marker.
func (s *responseSink) writeErrorEvent(refusal *Refusal) {
	event := append([]byte("data: "), refusal.encode()...)
	_ = s.Event(attempt.Event{Raw: append(event, '\n', '\n')})
	_ = s.Flush()
}
