package quarantine

import "time"

// credits counts the sound starts of requests with each part, and the sound ends of each
// request, up to maxCredit, in the last one to two generations.
type credits struct {
	current  map[Key]int
	previous map[Key]int
	since    time.Time
}

// newCredits returns empty credits.
func newCredits(now time.Time) credits {
	return credits{current: make(map[Key]int), since: now}
}

// add counts a sound start or end.
func (c *credits) add(now time.Time, key Key) {
	if len(c.current) >= maxCredits || now.Sub(c.since) > creditTime {
		c.previous, c.current, c.since = c.current, make(map[Key]int, len(c.current)), now
	}
	if n := c.current[key]; n < maxCredit {
		c.current[key] = n + 1
	}
}

// of returns the credit of a part or request.
func (c *credits) of(key Key) int { return min(c.current[key]+c.previous[key], maxCredit) }
