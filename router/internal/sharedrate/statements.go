package sharedrate

import (
	"maps"
	"time"
)

// statements holds the newest statement on each rate. It belongs to the exchange's mutex.
type statements map[Key]Statement

// apply takes over a statement if it is newer than the known one. It reports whether the
// limit began or ended by it.
func (s statements) apply(key Key, next Statement) (changed bool) {
	known, ok := s[key]
	if ok && next.At <= known.At {
		return false
	}
	if !ok && !next.Limited {
		return false // Nothing is the same as no limit.
	}
	if !ok && len(s) >= maxStatements {
		s.dropOldest()
	}
	s[key] = next
	return known.Limited != next.Limited
}

// dropOldest drops the statement that was not repeated for the longest time.
func (s statements) dropOldest() {
	var oldest Key
	first := true
	for key, each := range s {
		if first || each.At < s[oldest].At {
			oldest, first = key, false
		}
	}
	delete(s, oldest)
}

// dropExpired drops the statements that nobody repeats.
func (s statements) dropExpired(now time.Duration) {
	maps.DeleteFunc(s, func(_ Key, each Statement) bool { return now-each.At > statementTTL })
}
