package feed

import "time"

// anchor maps the table's clock to the local one. An answer to a call that was
// sent at local time l with the table's time s proves that the table's time s
// is not before l. The largest l-s of all calls is therefore a lower bound for
// the difference of the clocks, and the delay of slow answers can only make the
// copy look older than it is.
type anchor struct {
	known  bool
	offset time.Duration
}

// observe takes the times of one call and returns the local time up to which
// its answer is known to be current.
func (a *anchor) observe(sent, received, table time.Duration) time.Duration {
	if offset := sent - table; !a.known || offset > a.offset {
		a.known, a.offset = true, offset
	}
	return min(table+a.offset, received)
}
