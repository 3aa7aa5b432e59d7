// Package decision writes the structured log of a router's decisions and state
// changes. Writing never blocks a request: lines go through a bounded queue to
// one writer, and those that don't fit are dropped and counted.
//
// In each second there are at most maxSuccessLines lines about ordinary
// successes, maxRequestLines about other requests, and one for each kind of
// repeated failure. All other lines are about changes of the router's state and
// about failures that do not repeat, and are not limited.
//
// Durations are logged in milliseconds, the default of zerolog.
package decision

import (
	"io"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxSuccessLines is the largest number of lines about ordinary successes
	// in a second; further ones are omitted and counted.
	maxSuccessLines = 20

	// maxRequestLines is the largest number of lines in a second about requests
	// that were refused, failed, late or repeated. It is several times what a
	// VM of half a core gets under overload.
	maxRequestLines = 200

	// maxRepeatKeys bounds the number of kinds of repeated failures that are
	// tracked.
	maxRepeatKeys = 64

	// mergeInterval is the time in which repeated failures of one kind are
	// merged.
	mergeInterval = time.Second
)

// Log writes decisions. Its methods are safe for concurrent use.
type Log struct {
	logger          zerolog.Logger
	writer          io.Closer
	unreportedDrops atomic.Int64
	droppedLines    atomic.Int64

	// mu guards the fields below.
	mu        sync.Mutex
	successes lineLimit
	requests  lineLimit
	repeats   map[string]*repeat
}

// lineLimit bounds the number of lines in each second.
type lineLimit struct {
	perSecond int
	second    int64
	written   int

	// omitted is the number of lines omitted since the last one written.
	omitted int
}

// repeat counts the repeated failures of one kind that the next line reports.
type repeat struct {
	next  time.Time
	count int
}

// New returns a log that writes to out and adds the name of the VM to each
// line.
func New(out io.Writer, vm string) *Log {
	l := &Log{
		successes: lineLimit{perSecond: maxSuccessLines},
		requests:  lineLimit{perSecond: maxRequestLines},
		repeats:   make(map[string]*repeat),
	}
	queue := newLineQueue(out, func() {
		l.unreportedDrops.Add(1)
		l.droppedLines.Add(1)
	})
	l.writer = queue
	l.logger = zerolog.New(queue).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// StateChange starts a line about a change of the router's state.
func (l *Log) StateChange() *zerolog.Event { return l.logger.Info() }

// Failure starts a line about a failure.
func (l *Log) Failure(err error) *zerolog.Event { return l.logger.Warn().Err(err) }

// RepeatedFailure starts a line about a failure that may occur many times in a
// row. It returns nil, which accepts fields as well, if a line with the same
// key was written less than mergeInterval ago. The next line holds the number of
// failures that were merged into it in the key merged.
func (l *Log) RepeatedFailure(now time.Time, key string, err error) *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.repeats[key]
	if !ok {
		if len(l.repeats) >= maxRepeatKeys {
			clear(l.repeats) // Some failures are then logged once more than needed.
		}
		r = &repeat{}
		l.repeats[key] = r
	}
	if now.Before(r.next) {
		r.count++
		return nil
	}
	event := l.Failure(err)
	if r.count > 0 {
		event = event.Int("merged", r.count)
	}
	r.next, r.count = now.Add(mergeInterval), 0
	return event
}

// Request starts a line about a request that was refused, failed, late or
// repeated, or returns nil if the limit of this second is reached. err may be
// nil. If lines were dropped since the last call, it first writes a line that
// holds their number in the key lines.
func (l *Log) Request(now time.Time, err error) *zerolog.Event {
	if dropped := l.unreportedDrops.Swap(0); dropped > 0 {
		l.logger.Warn().Int64("lines", dropped).Msg("log lines dropped")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return l.requests.take(now, l.logger.Warn().Err(err))
	}
	return l.requests.take(now, l.logger.Info())
}

// Success starts a line about an ordinary success, or returns nil if the limit
// of this second is reached.
func (l *Log) Success(now time.Time) *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successes.take(now, l.logger.Info())
}

// take returns the event, with the number of lines omitted before it in the key
// omitted, or nil if the limit of the second is reached.
func (l *lineLimit) take(now time.Time, event *zerolog.Event) *zerolog.Event {
	if second := now.Unix(); second != l.second {
		l.second, l.written = second, 0
	}
	if l.written >= l.perSecond {
		l.omitted++
		return event.Discard()
	}
	l.written++
	if l.omitted > 0 {
		event = event.Int("omitted", l.omitted)
		l.omitted = 0
	}
	return event
}

// DroppedLines returns the number of lines dropped because the queue was full.
func (l *Log) DroppedLines() int64 { return l.droppedLines.Load() }

// Close writes the lines that are waiting and closes the log.
func (l *Log) Close() error { return l.writer.Close() }

// StdLogger returns a logger of the standard library that writes to the log.
func (l *Log) StdLogger() *log.Logger {
	return log.New(l.logger.With().Str("level", "warn").Logger(), "", 0)
}
