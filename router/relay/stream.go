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
	"snipetally.example/router/internal/inbound"
	"snipetally.example/router/internal/placement"
)

// maxEventBytes bounds the size of an event, in bytes.
const maxEventBytes = 1 << 20

// relayStream forwards events as they arrive. Only complete events are sent to
// the caller, so that another server can resume after the last one.
func (p *proxiedRequest) relayStream(response *hop.Response, reservation *placement.Reservation, watch *watchdog) (attemptResult, error) {
	body := watchedReader{response: response, watch: watch}
	pending := p.newBuffer(inbound.Responses, maxEventBytes, freeResponseBytes)
	defer pending.release()
	var events eventScanner
	for {
		err := pending.readFrom(body)
		if complete := events.scan(pending.data); complete > 0 {
			p.recordStart(reservation)
			longest := p.longestGap
			if err := p.forward(response, pending.data[:complete]); err != nil {
				return callerGone, err
			}
			if reservation != nil && p.longestGap > max(longest, p.class.TargetGap) {
				p.gapBacklog = reservation.QueuedTokens()
			}
			pending.discard(complete)
			events.discard()
		}
		if err != nil {
			return p.finishStream(response, pending.data, err)
		}
	}
}

// finishStream classifies the end of a stream.
func (p *proxiedRequest) finishStream(response *hop.Response, rest []byte, err error) (attemptResult, error) {
	switch {
	case !errors.Is(err, io.EOF):
		return incomplete, err
	case len(bytes.TrimSpace(rest)) > 0:
		return incomplete, errTruncated
	case !response.SelfDelimiting && !p.started && p.lastEventID == "":
		return incomplete, errTruncated // Nothing tells its end from that of the server.
	case !response.SelfDelimiting && !p.ranToEnd():
		return incomplete, errRunStopped
	}
	if err := p.writeHead(response.Status, response.Header); err != nil {
		return callerGone, err
	}
	return answered, nil
}

// forward writes complete events to the caller, except for those that it
// already has.
func (p *proxiedRequest) forward(response *hop.Response, events []byte) error {
	if err := p.writeHead(response.Status, response.Header); err != nil {
		return err
	}
	for len(events) > 0 {
		event := firstEvent(events)
		events = events[len(event):]
		id := eventID(event)
		if p.alreadySent(id) {
			continue
		}
		if _, err := p.writer.Write(event); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		if id != "" {
			p.lastEventID = id
		}
	}
	if err := http.NewResponseController(p.writer).Flush(); err != nil {
		return fmt.Errorf("flush events: %w", err)
	}
	p.recordEvent(time.Now())
	p.relay.streams.recordEvent(p)
	return nil
}

// recordEvent records that events were sent to the caller.
func (p *proxiedRequest) recordEvent(now time.Time) {
	if !p.lastEventAt.IsZero() {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// alreadySent reports whether the caller has the event from an earlier server.
func (p *proxiedRequest) alreadySent(id string) bool {
	if (p.executions == 0 && p.kvCopy.Handle == "") || id == "" || p.lastEventID == "" {
		return false
	}
	current, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false // IDs that are not integers can't be compared.
	}
	last, err := strconv.ParseInt(p.lastEventID, 10, 64)
	return err == nil && current <= last
}
