package limit

import "time"

// bucket is a token bucket whose rate is passed to each refill, since a
// router's share of a limit changes. Its level may become negative: a cost that
// becomes known late is taken in full, and has to be refilled before the next
// use.
type bucket struct {
	level float64
	at    time.Time

	// startFull means that the next refill with a rate fills the bucket.
	startFull bool
}

// newBucket returns a full bucket.
func newBucket(now time.Time) bucket {
	return bucket{at: now, startFull: true}
}

// refill adds units at the given rate per second since the last call and
// returns the time until the bucket holds need units, or zero if it already
// does. A rate of zero means no limit.
func (b *bucket) refill(now time.Time, rate, need float64) time.Duration {
	if rate <= 0 {
		b.at = now
		b.level = 0
		b.startFull = true
		return 0
	}
	capacity := max(rate*Burst.Seconds(), need)
	if b.startFull {
		b.startFull = false
		b.level = capacity
	}
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), capacity)
	b.at = now
	if b.level >= need {
		return 0
	}
	return time.Duration((need - b.level) / rate * float64(time.Second))
}

// take removes units from the bucket; a negative number returns them.
func (b *bucket) take(units float64) {
	b.level -= units
}
