package feed

import "time"

// evidence is what a follower knows about how current its copy is. Its user
// guards it by a mutex.
type evidence struct {
	offset clockOffset

	// loaded says that there was a response, and that the fields below are set.
	// The copy is complete up to revision of era.
	loaded   bool
	era      int64
	revision int64

	// proof is the newest proof that holds for the copy, and asOf the local time
	// up to which the copy is proved to be current.
	proof Proof
	asOf  time.Duration

	// missed is the newest revision reported by others that changed the table
	// and is missing from the copy, or zero, and missedAt when it was first
	// reported. refuted is the newest such revision that the table turned out
	// not to have.
	missed   int64
	missedAt time.Duration
	refuted  int64

	// heardEra is a later era that others reported, or zero, and heardEraAt when they
	// first did. refutedEra is the latest such era that the store turned out not to have
	// reached.
	heardEra   int64
	heardEraAt time.Duration
	refutedEra int64
}

// beginEra drops what is known about revisions and clocks of the era before. The copy is
// as current as it was.
func (e *evidence) beginEra(era int64) {
	*e = evidence{loaded: e.loaded, asOf: e.asOf, era: era, refutedEra: e.refutedEra}
}

// recordResponse records a response to a call that was sent at a local time. covered
// holds the era, revision and clock of the response, up to which the copy is then
// complete, and as Changed the newest revision of a change in it, or zero. full says that
// the response was a read of the whole table.
func (e *evidence) recordResponse(sent, now time.Duration, covered Proof, full bool) {
	if covered.Era != e.era {
		e.beginEra(covered.Era)
	}
	revision, changed, clock := covered.Covered, covered.Changed, covered.Clock
	local := e.offset.observe(sent, now, clock)
	switch {
	case full:
		e.revision, e.refuted = revision, 0
		e.proof = covered
	case changed > 0:
		e.proof.Changed, e.proof.Covered = changed, changed
	}
	e.loaded = true
	e.revision = max(e.revision, revision)
	e.proof.Clock = max(e.proof.Clock, clock)
	e.asOf = max(e.asOf, local)
	if e.missed <= e.revision {
		e.missed = 0
	}
}

// refuteMissed records that the response to a call that was sent at a local time
// has been applied. If the missed change or a later era was reported before, the table
// does not have it.
func (e *evidence) refuteMissed(sent time.Duration) {
	if e.heardEra > 0 && sent >= e.heardEraAt {
		e.refutedEra, e.heardEra = max(e.refutedEra, e.heardEra), 0
	}
	if e.missed > 0 && sent >= e.missedAt {
		e.refuted, e.missed = max(e.refuted, e.missed), 0
	}
}

// use records a proof from elsewhere and reports whether the copy turned out to
// be outdated.
func (e *evidence) use(p Proof, now time.Duration) (outdated bool) {
	switch {
	case !e.loaded || p.IsZero():
		return false
	case p.Era > e.era:
		return e.recordHeardEra(p.Era, now)
	case p.Era < e.era:
		return false // Its revisions have been given out again since.
	}
	if p.Changed > e.revision {
		return e.recordMissed(p.Changed, now)
	}
	local := e.offset.local(p.Clock)
	if p.Covered > e.revision || local > now {
		return false // Not about this copy, or from another life of the store's clock.
	}
	if p.Clock > e.proof.Clock {
		changed := max(e.proof.Changed, p.Changed)
		e.proof = Proof{Era: e.era, Changed: changed, Covered: max(changed, min(e.proof.Covered, p.Covered)), Clock: p.Clock}
		e.asOf = max(e.asOf, local)
	}
	return false
}

// recordMissed records a change that the copy lacks and reports whether it was
// not known before.
func (e *evidence) recordMissed(changed int64, now time.Duration) bool {
	if changed <= e.refuted || changed <= e.missed {
		return false
	}
	if e.missed == 0 {
		e.missedAt = now
	}
	e.missed = changed
	return true
}

// recordHeardEra records that others have seen a later era, and reports whether that was
// not known before. Only the store itself can tell.
func (e *evidence) recordHeardEra(era int64, now time.Duration) bool {
	if era <= e.refutedEra || era <= e.heardEra {
		return false
	}
	if e.heardEra == 0 {
		e.heardEraAt = now
	}
	e.heardEra = era
	return true
}
