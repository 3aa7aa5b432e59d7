package sharedrate

import "time"

const (
	// minBurst is the least number of permits that may be given at the same moment.
	// burstTime is the time for whose permits there is room beside them.
	minBurst  = 2
	burstTime = 100 * time.Millisecond

	// maxPassedOver is the number of permits that go to earlier levels while a later one
	// waits. The next one is for any level.
	maxPassedOver = 4

	// trialInterval is how long a limit may go unconfirmed. Then one request is let
	// through although the limit is lower, as only a response tells whether it still holds.
	trialInterval = 2500 * time.Millisecond
)

// bucket is the token bucket of a rate at its home. It belongs to the exchange's mutex.
//
// The first level needs one token, and the last one a bucket that is full up to minBurst:
// when tokens are short, they go to early levels. A later level that was kept back gets
// one of maxPassedOver permits all the same.
type bucket struct {
	tokens    float64
	updatedAt time.Duration

	// permittedAt is when the last permit was given.
	permittedAt time.Duration

	// waiting says that a later level was kept back only for its level, and passedOver
	// counts the permits given to others since.
	waiting    bool
	passedOver int
}

// newBucket returns an empty bucket.
func newBucket(now time.Duration) *bucket { return &bucket{updatedAt: now, permittedAt: now} }

// take takes a token at a rate per second, or up to want of them, and returns their number.
// confirmedAt is when the limit was last known to hold. If there is no token, it returns
// how long the level has to wait for one.
func (b *bucket) take(now time.Duration, perSecond float64, level Level, want int, confirmedAt time.Duration) (permits int, wait time.Duration) {
	b.fill(now, perSecond)
	needed := 1 + float64(level)*(minBurst-1)
	if b.waiting && b.passedOver >= maxPassedOver {
		needed = 1
	}
	trialAt := max(b.permittedAt, confirmedAt) + trialInterval
	switch {
	case b.tokens >= needed:
		permits = 1 + b.batch(perSecond, needed, want)
		b.tokens -= float64(permits)
		b.countPermit(level)
	case now >= trialAt:
		permits = 1
		b.tokens = max(b.tokens-1, 0)
	default:
		b.waiting = b.waiting || b.tokens >= 1
		return 0, min(timeFor(needed-b.tokens, perSecond), trialAt-now)
	}
	b.permittedAt = now
	return permits, 0
}

// batch returns the number of tokens that may be taken beside the first one: at most those
// of burstTime.
func (b *bucket) batch(perSecond, needed float64, want int) int {
	most := min(perSecond*burstTime.Seconds(), b.tokens-needed, float64(want-1))
	return max(int(most), 0)
}

// countPermit keeps account of the levels that were passed over.
func (b *bucket) countPermit(level Level) {
	if level > 0 && b.passedOver >= maxPassedOver {
		b.waiting, b.passedOver = false, 0
		return
	}
	if b.waiting {
		b.passedOver++
	}
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Duration, perSecond float64) {
	burst := minBurst + perSecond*burstTime.Seconds()
	b.tokens = min(b.tokens+max((now-b.updatedAt).Seconds(), 0)*perSecond, burst)
	b.updatedAt = max(now, b.updatedAt)
}

// timeFor returns how long a number of tokens takes at a rate, at most maxWait.
func timeFor(tokens, perSecond float64) time.Duration {
	if tokens >= perSecond*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(tokens / perSecond * float64(time.Second))
}
