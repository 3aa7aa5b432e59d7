package feed

import "time"

// clockOffset maps the table's clock to the local one. A response to a call
// that was sent at local time l and carries the table's time s proves that the
// table's time s is not before l. The largest l-s over all calls is therefore a
// lower bound of the difference of the clocks, and the delay of slow responses
// can only make the copy look older than it is.
type clockOffset struct {
	known bool
	value time.Duration
}

// observe takes the times of one call and returns the local time up to which
// its response is known to be current.
func (o *clockOffset) observe(sent, received, tableClock time.Duration) time.Duration {
	if value := sent - tableClock; !o.known || value > o.value {
		o.known, o.value = true, value
	}
	return min(tableClock+o.value, received)
}
