package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/placement"
)

const (
	// streamBuffer is the number of bytes that are read from a stream at once.
	streamBuffer = 2 << 10

	// longestEvent bounds an event, in bytes.
	longestEvent = 1 << 20
)

// idField begins the line of an event that holds its number.
var idField = []byte("id:")

// relayStream passes events on as they come. Only whole events reach the
// caller, so that another server can go on after the last one.
func (x *exchange) relayStream(answer *hop.Response, ticket *placement.Reservation, watch *watchdog) (result, error) {
	pending := make([]byte, 0, streamBuffer)
	for {
		if len(pending) == cap(pending) {
			if len(pending) >= longestEvent {
				return broken, fmt.Errorf("%w: event over %d bytes", errCut, longestEvent)
			}
			pending = append(pending, make([]byte, len(pending))...)[:len(pending)]
		}
		n, err := answer.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		if whole := wholeEvents(pending); whole > 0 {
			ticket.RecordFirstEvent(time.Now())
			watch.progress()
			if err := x.forward(answer, pending[:whole]); err != nil {
				return gone, err
			}
			pending = pending[:copy(pending, pending[whole:])]
		}
		if err != nil {
			return x.streamEnded(answer, pending, err)
		}
	}
}

// streamEnded classes the end of a stream.
func (x *exchange) streamEnded(answer *hop.Response, rest []byte, err error) (result, error) {
	switch {
	case !errors.Is(err, io.EOF):
		return broken, err
	case len(bytes.TrimSpace(rest)) > 0:
		return broken, errCut
	}
	if err := x.begin(answer.Status, answer.Header); err != nil {
		return gone, err
	}
	return answered, nil
}

// forward writes whole events to the caller. Events that the caller has already
// are left out.
func (x *exchange) forward(answer *hop.Response, events []byte) error {
	if err := x.begin(answer.Status, answer.Header); err != nil {
		return err
	}
	for len(events) > 0 {
		length := firstEvent(events)
		event := events[:length]
		events = events[length:]
		id := eventID(event)
		if x.resumedPast(id) {
			continue
		}
		if _, err := x.writer.Write(event); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		if id != "" {
			x.last = id
		}
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return fmt.Errorf("flush events: %w", err)
	}
	x.markEvent(time.Now())
	x.relay.streams.progress(x)
	return nil
}

// markEvent notes that events went to the caller.
func (x *exchange) markEvent(now time.Time) {
	if !x.eventAt.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.eventAt))
	}
	x.eventAt = now
}

// resumedPast reports whether the caller has the event from an earlier server.
func (x *exchange) resumedPast(id string) bool {
	if (x.runs == 0 && x.copy.Handle == "") || id == "" || x.last == "" {
		return false
	}
	now, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false // Numbers that are no integers can't be compared.
	}
	last, err := strconv.ParseInt(x.last, 10, 64)
	return err == nil && now <= last
}

// wholeEvents returns the length of the events that came wholly.
func wholeEvents(b []byte) int {
	whole := 0
	for {
		n := firstEvent(b[whole:])
		if n == 0 {
			return whole
		}
		whole += n
	}
}

// firstEvent returns the length of the first event with the blank line that
// ends it, or zero if it has not come wholly.
func firstEvent(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		blank := n == 0 || (n == 1 && b[at] == '\r')
		at += n + 1
		if blank {
			return at
		}
	}
}

// eventID returns the number of an event, or nothing.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
