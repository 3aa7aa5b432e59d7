// Package decision writes the structured log of what a router decided and came
// to believe. Writing never blocks a request: lines go through a bounded ring
// to one writer, and those that don't fit are counted and told.
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
)

// Log writes decisions. Its methods are safe for concurrent use.
type Log struct {
	logger  zerolog.Logger
	ring    io.Closer
	dropped atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	second  int64
	written int
	left    int
}

// New returns a log that writes to out and names the VM in each line.
func New(out io.Writer, vm string) *Log {
	l := &Log{}
	writer := diode.NewWriter(out, ring, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	l.ring = writer
	l.logger = zerolog.New(writer).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// Change starts a line about a change of what the router believes.
func (l *Log) Change() *zerolog.Event { return l.logger.Info() }

// Problem starts a line about a failure.
func (l *Log) Problem(err error) *zerolog.Event { return l.logger.Warn().Err(err) }

// Request starts a line about a request that was refused, failed, late or
// repeated.
func (l *Log) Request() *zerolog.Event {
	event := l.logger.Info()
	if missed := l.dropped.Swap(0); missed > 0 {
		l.logger.Warn().Int64("lines", missed).Msg("log lines dropped")
	}
	return event
}

// Routine starts a line about an ordinary success, or returns nil, which takes
// fields as well, when there were enough of them in this second.
func (l *Log) Routine(now time.Time) *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.written = second, 0
	}
	if l.written >= routine {
		l.left++
		return nil
	}
	l.written++
	event := l.logger.Info()
	if l.left > 0 {
		event = event.Int("omitted", l.left)
		l.left = 0
	}
	return event
}

// Close writes what waits and ends the log.
func (l *Log) Close() error { return l.ring.Close() }

// Standard returns a logger of the standard library that writes to the log.
func (l *Log) Standard() *log.Logger {
	return log.New(l.logger.With().Str("level", "warn").Logger(), "", 0)
}
