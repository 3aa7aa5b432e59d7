// Package guard wraps a table so that trouble of the table service stays
// bounded: each call has a deadline, a breaker stops calls to a table that
// fails, and calls are kept within a budget a second. It imports package table,
// the rate limiter of golang.org/x/time and the standard library.
package guard

import (
	"time"

	"snipetally.example/coordination/table"
)

const (
	defaultTimeout  = 2 * time.Second
	defaultWait     = 2 * time.Second
	defaultFailures = 5
	defaultOpen     = time.Second
	defaultLongest  = 15 * time.Second
	defaultJitter   = 0.3
)

// RateLimit is the budget of one kind of call: the mean number of calls a second
// and the number that may be made at once. A zero Second lifts the limit.
type RateLimit struct {
	PerSecond float64
	Burst     int
}

// Settings configure a Guard. Zero fields take defaults, apart from Rates.
type Settings struct {
	// Timeout bounds a call, by kind. It starts when the call leaves.
	Timeout [table.NumKinds]time.Duration

	// RateLimits are the budgets, by kind.
	RateLimits [table.NumKinds]RateLimit

	// RateLimitWait bounds how long a call waits for its budget.
	RateLimitWait time.Duration

	// Failures is the number of consecutive failures that opens the breaker.
	Failures int

	// OpenDuration is the time from the opening to the first probe. It doubles with
	// each failed probe, up to Longest.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration

	// Jitter is the fraction by which Open is varied up and down, so that many
	// processes do not probe together. It lies between 0 and 1.
	Jitter float64
}

// withDefaults fills in zero fields.
func (s Settings) withDefaults() Settings {
	for kind := range s.Timeout {
		if s.Timeout[kind] == 0 {
			s.Timeout[kind] = defaultTimeout
		}
	}
	if s.RateLimitWait == 0 {
		s.RateLimitWait = defaultWait
	}
	if s.Failures == 0 {
		s.Failures = defaultFailures
	}
	if s.OpenDuration == 0 {
		s.OpenDuration = defaultOpen
	}
	if s.MaxOpenDuration == 0 {
		s.MaxOpenDuration = defaultLongest
	}
	if s.Jitter == 0 {
		s.Jitter = defaultJitter
	}
	return s
}

// Calls counts the calls of one kind. Refused calls never left: the breaker
// was open or the budget was spent. Made is the rest, split by outcome.
type Calls struct {
	Made        uint64
	Refused     uint64
	Succeeded   uint64
	Conflicts   uint64
	Unavailable uint64
	Uncertain   uint64
}

// Statistics describes a Guard at one moment. Opened counts how often the
// breaker opened.
//
// Answered is when a call was answered last, and Failed when one failed last.
// Both are zero if that has not happened.
type Statistics struct {
	Calls    [table.NumKinds]Calls
	State    State
	Opened   uint64
	Answered time.Time
	Failed   time.Time
}
