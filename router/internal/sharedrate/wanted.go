package sharedrate

import "time"

const (
	// demandInterval is the interval in which the requests for a rate are counted.
	demandInterval = 100 * time.Millisecond

	// scarceInterval is how long a router does not ask that got fewer permits together
	// than it asked for. Until then some more have come up.
	scarceInterval = demandInterval / 2

	// askingInterval is how long it does not ask again while the answer is due.
	askingInterval = 5 * time.Millisecond
)

// wanted is what this router needs of a rate: where requests are frequent, permits for
// those of an interval are asked for together. It belongs to the exchange's mutex.
type wanted struct {
	// from is when the interval began, count the number of requests in it and last that in
	// the one before.
	from  time.Duration
	count int
	last  int

	// spare is the number of permits left of the last answer, which can be used until
	// expires. asking says that more than one permit was asked for and the answer is due.
	spare   int
	expires time.Duration
	asking  bool

	// denial is the last one, and deniedAt when it was received.
	denial   Denial
	deniedAt time.Duration
}

// record counts a request.
func (w *wanted) record(now time.Duration) {
	if elapsed := now - w.from; elapsed >= demandInterval {
		w.last = w.count
		if elapsed >= 2*demandInterval {
			w.last = 0
		}
		w.from, w.count = now, 0
	}
	w.count++
}

// take uses a spare permit, and reports whether there was one.
func (w *wanted) take(now time.Duration) bool {
	if w.spare == 0 || now >= w.expires {
		return false
	}
	w.spare--
	return true
}

// denied returns the denial that still holds for a level, and whether there is one.
func (w *wanted) denied(now time.Duration, level Level) (Denial, bool) {
	if w.asking {
		return Denial{Wait: askingInterval}, true
	}
	left := w.denial.Wait - (now - w.deniedAt)
	if left <= 0 || level < w.denial.Level {
		return Denial{}, false
	}
	return Denial{Wait: left, Level: w.denial.Level, Unreachable: w.denial.Unreachable}, true
}

// permitsToAsk returns the number of permits to ask for now.
func (w *wanted) permitsToAsk() int {
	if w.last <= 1 {
		return 1
	}
	w.asking = true
	return w.last
}

// receive takes over an answer: the denial if it is one, and the permits but the first,
// which can be used until a time. asked is the number that was asked for.
func (w *wanted) receive(now time.Duration, permits, asked int, expires time.Duration, denial Denial) {
	if asked > 1 {
		w.asking = false
	}
	if asked > 1 && permits < asked {
		denial.Wait = max(denial.Wait, scarceInterval)
	}
	if denial.Wait > 0 {
		w.denial, w.deniedAt = denial, now
	}
	if permits > 1 {
		w.spare, w.expires = permits-1, expires
	}
}
