package feed

import "time"

// offsetWindow is the time after which observations of the clocks are dropped,
// at the latest after twice this time. Clocks that drift apart by a hundred
// microseconds a second differ by milliseconds in it.
const offsetWindow = time.Minute

// clockOffset maps the table's clock to the local one. A response to a call
// that was sent at local time l and carries the table's time s proves that the
// table's time s is not before l. The largest l-s over recent calls is therefore
// a lower bound of the difference of the clocks, and the delay of slow responses
// can only make the copy look older than it is.
type clockOffset struct {
	// current is the largest difference in the window that began at
	// windowStart, and previous the one in the window before.
	current     time.Duration
	previous    time.Duration
	known       bool
	hasPrevious bool
	windowStart time.Duration
}

// observe takes the times of one call and returns the local time up to which
// its response is known to be current.
func (o *clockOffset) observe(sent, received, tableClock time.Duration) time.Duration {
	if o.known && received-o.windowStart >= offsetWindow {
		o.previous, o.hasPrevious = o.current, received-o.windowStart < 2*offsetWindow
		o.known = false
	}
	difference := sent - tableClock
	if !o.known {
		o.known, o.current, o.windowStart = true, difference, received
	}
	o.current = max(o.current, difference)
	return min(o.local(tableClock), received)
}

// local returns the local time that a time of the table's clock is known not to
// precede. It must be called after observe.
func (o *clockOffset) local(tableClock time.Duration) time.Duration {
	if o.hasPrevious {
		return tableClock + max(o.current, o.previous)
	}
	return tableClock + o.current
}
