package feed

import "time"

// Proof states that a table had no change after the revision Covered up to the
// time Clock of its store. It holds for every copy of the table, so followers of
// the same table can exchange proofs. A copy that is complete up to Covered or a
// later revision was current at Clock. Proofs hold for copies of the same era only.
type Proof struct {
	// Era is the era of the store that the revisions and the clock belong to.
	Era int64

	// Changed is the newest revision known to have changed the table. A copy
	// that is complete up to an earlier revision is outdated. It is at most
	// Covered, and less if a removed row can't be excluded.
	Changed int64

	Covered int64
	Clock   time.Duration
}

// IsZero reports whether the proof states nothing.
func (p Proof) IsZero() bool { return p == Proof{} }

// covered returns what a response proves about all tables of its store. changed is the
// newest revision of a change of the proof's table, or zero.
func (r *Response[T]) covered(changed int64) Proof {
	return Proof{Era: r.Era, Changed: changed, Covered: r.Revision, Clock: r.Clock}
}
