// Package decision writes the structured log of what a router decided and came
// to believe. Writing never blocks a request: lines go through a bounded ring
// to one writer, and those that don't fit are counted and told.
//
// In each second there are at most routine lines about ordinary successes,
// requestLines about other requests, and one about each matter that repeats
// itself; beside those only changes of what the router believes.
package decision

import (
	"io"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// ring is the number of lines that wait for the writer at most.
	ring = 1024

	// routine is the number of lines about ordinary successes in a second;
	// further ones are left out and counted.
	routine = 20

	// requestLines is the number of lines in a second about requests that were
	// refused, failed, late or repeated. It is several times what a VM of half
	// a core gets in a rush.
	requestLines = 200

	// matters bounds the matters whose lines are merged.
	matters = 64

	// mergeSpan is the time in which lines about one matter are merged.
	mergeSpan = time.Second
)

// Log writes decisions. Its methods are safe for concurrent use.
type Log struct {
	logger  zerolog.Logger
	ring    io.Closer
	dropped atomic.Int64
	lost    atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	routine  allowance
	requests allowance
	merged   map[string]*merged
}

// allowance is a number of lines for each second.
type allowance struct {
	perSecond int
	second    int64
	written   int

	// omitted is the number of lines that were left out since the last one.
	omitted int
}

// merged counts lines about one matter that are told with the next one.
type merged struct {
	next  time.Time
	count int
}

// New returns a log that writes to out and names the VM in each line.
func New(out io.Writer, vm string) *Log {
	l := &Log{
		routine:  allowance{perSecond: routine},
		requests: allowance{perSecond: requestLines},
		merged:   make(map[string]*merged),
	}
	writer := diode.NewWriter(out, ring, 0, func(missed int) {
		l.dropped.Add(int64(missed))
		l.lost.Add(int64(missed))
	})
	l.ring = writer
	l.logger = zerolog.New(writer).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// StateChange starts a line about a change of what the router believes.
func (l *Log) StateChange() *zerolog.Event { return l.logger.Info() }

// Failure starts a line about a failure.
func (l *Log) Failure(err error) *zerolog.Event { return l.logger.Warn().Err(err) }

// RepeatedFailure starts a line about a failure that may come again and again, or
// returns nil, which takes fields as well, if there was one about the same
// matter just before. The next line tells how many were merged into it.
func (l *Log) RepeatedFailure(now time.Time, matter string, err error) *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.merged[matter]
	if !ok {
		if len(l.merged) >= matters {
			clear(l.merged) // Tells some matters once more than needed.
		}
		m = &merged{}
		l.merged[matter] = m
	}
	if now.Before(m.next) {
		m.count++
		return nil
	}
	event := l.Failure(err)
	if m.count > 0 {
		event = event.Int("merged", m.count)
	}
	m.next, m.count = now.Add(mergeSpan), 0
	return event
}

// Request starts a line about a request that was refused, failed, late or
// repeated, or returns nil when there were enough of them in this second. err
// may be nil.
func (l *Log) Request(now time.Time, err error) *zerolog.Event {
	if missed := l.dropped.Swap(0); missed > 0 {
		l.logger.Warn().Int64("lines", missed).Msg("log lines dropped")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return l.requests.take(now, l.logger.Warn().Err(err))
	}
	return l.requests.take(now, l.logger.Info())
}

// Success starts a line about an ordinary success, or returns nil when there
// were enough of them in this second.
func (l *Log) Success(now time.Time) *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.routine.take(now, l.logger.Info())
}

// take returns the event with the number of those that were left out before, or
// nil if the second has had its lines.
func (a *allowance) take(now time.Time, event *zerolog.Event) *zerolog.Event {
	if second := now.Unix(); second != a.second {
		a.second, a.written = second, 0
	}
	if a.written >= a.perSecond {
		a.omitted++
		return event.Discard()
	}
	a.written++
	if a.omitted > 0 {
		event = event.Int("omitted", a.omitted)
		a.omitted = 0
	}
	return event
}

// DroppedLines returns the number of lines that found no room in the ring.
func (l *Log) DroppedLines() int64 { return l.lost.Load() }

// Close writes what waits and ends the log.
func (l *Log) Close() error { return l.ring.Close() }

// StdLogger returns a logger of the standard library that writes to the log.
func (l *Log) StdLogger() *log.Logger {
	return log.New(l.logger.With().Str("level", "warn").Logger(), "", 0)
}
