package quarantine

import (
	"slices"
	"time"
)

// crashTimes holds when the last maxCrashTimes engines crashed, in order.
type crashTimes struct {
	engines []uint64
	times   []time.Time
}

// add records a crash, unless the engine is known to have crashed.
func (c *crashTimes) add(engine uint64, now time.Time) {
	if slices.Contains(c.engines, engine) {
		return
	}
	if len(c.engines) == maxCrashTimes {
		c.engines, c.times = slices.Delete(c.engines, 0, 1), slices.Delete(c.times, 0, 1)
	}
	c.engines, c.times = append(c.engines, engine), append(c.times, now)
}

// around returns the number of engines that crashed at most massTime before or after a
// time.
func (c *crashTimes) around(at time.Time) int {
	n := 0
	for _, t := range slices.Backward(c.times) {
		switch {
		case t.Sub(at) > massTime:
		case at.Sub(t) > massTime:
			return n
		default:
			n++
		}
	}
	return n
}
