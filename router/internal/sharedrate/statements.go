package sharedrate

import (
	"maps"
	"time"
)

// statements holds the newest statement on each rate. It belongs to the exchange's mutex.
type statements map[Key]Statement

// news is what is new in a statement: that the limit began or ended, and that the server
// leaves.
type news struct{ limit, leaving bool }

// any reports whether anything is new.
func (n news) any() bool { return n.limit || n.leaving }

// apply takes over what is new in a statement: the limit if it is newer than the known one, and
// that the server leaves in any case.
func (s statements) apply(key Key, next Statement) news {
	known, ok := s[key]
	if !ok && !next.Limited && !next.Leaving {
		return news{} // Nothing is the same as no limit.
	}
	if !ok && len(s) >= maxStatements {
		s.dropOldest()
	}
	merged := known
	if !ok || next.At > known.At {
		merged = next
	}
	merged.Leaving = known.Leaving || next.Leaving
	s[key] = merged
	return news{limit: known.Limited != merged.Limited, leaving: !known.Leaving && merged.Leaving}
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
