// Package guard wraps a table.Table to contain failures of the table service:
// each call has a deadline, a circuit breaker stops calls to a failing table,
// and calls are rate limited. It imports package table, the error library, the
// rate limiter of golang.org/x/time and the standard library.
package guard

import (
	"cmp"
	"time"

	"snipetally.example/coordination/table"
)

const (
	defaultTimeout         = 2 * time.Second
	defaultRateLimitWait   = 2 * time.Second
	defaultFailures        = 5
	defaultOpenDuration    = time.Second
	defaultMaxOpenDuration = 15 * time.Second
	defaultJitter          = 0.3
)

// RateLimit limits the calls of one kind to a mean number per second and to a
// number that may be made at once. A zero PerSecond means no limit.
type RateLimit struct {
	PerSecond float64
	Burst     int
}

// Config configures a Guard. Zero fields take defaults, apart from RateLimits.
type Config struct {
	// Timeout bounds a call to the inner table, by kind. The wait for the rate
	// limit does not count.
	Timeout [table.NumKinds]time.Duration

	// RateLimits are the rate limits, by kind.
	RateLimits [table.NumKinds]RateLimit

	// RateLimitWait bounds how long a call waits for its rate limit.
	RateLimitWait time.Duration

	// Failures is the number of consecutive failures that opens the breaker.
	Failures int

	// OpenDuration is the time from the opening of the breaker to the first probe.
	// It doubles with each failed probe, up to MaxOpenDuration.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration

	// Jitter is the largest fraction by which the time to a probe is randomly
	// lengthened or shortened, so that many processes do not probe together. It
	// lies between 0 and 1.
	Jitter float64
}

// withDefaults returns the config with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	for kind := range c.Timeout {
		c.Timeout[kind] = cmp.Or(c.Timeout[kind], defaultTimeout)
	}
	c.RateLimitWait = cmp.Or(c.RateLimitWait, defaultRateLimitWait)
	c.Failures = cmp.Or(c.Failures, defaultFailures)
	c.OpenDuration = cmp.Or(c.OpenDuration, defaultOpenDuration)
	c.MaxOpenDuration = cmp.Or(c.MaxOpenDuration, defaultMaxOpenDuration)
	c.Jitter = cmp.Or(c.Jitter, defaultJitter)
	return c
}

// Calls counts the calls of one kind. Refused calls did not reach the inner
// table, because the breaker was open, the rate limit was exceeded or the
// context had ended. Made counts the others, and the remaining fields split
// them by outcome.
type Calls struct {
	Made        uint64
	Refused     uint64
	Succeeded   uint64
	Conflicts   uint64
	Unavailable uint64
	Uncertain   uint64
}

// Statistics describes a Guard at one moment. Opened is the number of times
// that the breaker opened.
//
// Answered is the time of the last success and Failed that of the last failure,
// as the breaker counts them: a failed check of a commit is a success. Each is
// zero if there was none.
type Statistics struct {
	Calls    [table.NumKinds]Calls
	State    State
	Opened   uint64
	Answered time.Time
	Failed   time.Time
}
