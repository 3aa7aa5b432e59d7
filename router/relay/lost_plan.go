package relay

import (
	"sync"
	"time"
)

const (
	// planListenTime is how long a router that starts listens for the versions of other
	// routers, and maxPlanListenTime how long if it hears none. Each router sends its version
	// several times in the former.
	planListenTime    = 300 * time.Millisecond
	maxPlanListenTime = 1500 * time.Millisecond

	// planProofMargin is by how much the proof that the plan is current has to be later than
	// the time at which a newer version was heard of. It covers the error of the clocks.
	planProofMargin = 100 * time.Millisecond
)

// planWitness knows the versions of the plan that other routers have in force. A store that
// comes back from an older copy may hold an older version than one that was in force before. A
// router that has run since then never returns to the older one; one that starts later can only
// hear of it from the others. The zero planWitness is ready for use.
type planWitness struct {
	// mu guards the fields below. It is a leaf.
	mu sync.Mutex

	// heard is the newest version that other routers were heard to have in force, and heardAt
	// is when it was first heard. lost is the newest version that the store turned out to
	// have lost.
	heard   int64
	heardAt time.Duration
	lost    int64

	// listeningSince is when the router first had a plan, or zero. settled says that it has
	// listened to the others long enough since then.
	listeningSince time.Duration
	settled        bool
}

// planInUse is what a router knows of its own plan: its version and up to which time it
// is proved that the table had no newer one.
type planInUse struct {
	version int64
	asOf    time.Duration
}

// hear records a version that another router has in force.
func (w *planWitness) hear(now time.Duration, version int64, own planInUse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.heard {
		return
	}
	w.recordLoss(own)
	w.heard, w.heardAt = version, now
}

// recordLoss records that the store has lost the version that was heard, if it was asked since
// then and has an older one. The caller holds w.mu.
func (w *planWitness) recordLoss(own planInUse) {
	if own.version < w.heard && own.asOf > w.heardAt+planProofMargin {
		w.lost = max(w.lost, w.heard)
	}
}

// isOutdated reports whether the store has lost a newer version than the router's own, and
// returns the newest version that the router heard of.
func (w *planWitness) isOutdated(own planInUse) (newest int64, outdated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLoss(own)
	return w.heard, own.version < w.lost
}

// listen begins to listen to the others. Later calls have no effect.
func (w *planWitness) listen(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listeningSince == 0 {
		w.listeningSince = now
	}
}

// isSettled reports whether the router has listened to the others long enough since its start to
// know a version that the store has lost.
func (w *planWitness) isSettled(now time.Duration, own planInUse) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.settled {
		return true
	}
	listened := now - w.listeningSince
	switch {
	case w.heard > own.version:
	case w.heard > 0:
		w.settled = listened > planListenTime
	default:
		w.settled = listened > maxPlanListenTime
	}
	return w.settled
}

// hearPlanInForce records a version of the plan that another router has in force.
func (r *relay) hearPlanInForce(version int64) {
	own, _ := r.planInUse()
	r.witness.hear(r.options.clock(), version, own)
}

// planInForce returns the version of the plan in force, or zero.
func (r *relay) planInForce() int64 {
	if index := r.index.Load(); index != nil {
		return index.plan.Version
	}
	return 0
}

// planInUse returns what the router knows of its plan, and false without one.
func (r *relay) planInUse() (planInUse, bool) {
	asOf, ok := r.options.planAsOf()
	version := r.planInForce()
	return planInUse{version: version, asOf: asOf}, ok && version > 0
}

// planOutdated reports whether the store has lost a newer plan than the router's own, which
// was in force. What the older one says is no longer true.
func (r *relay) planOutdated() bool {
	own, ok := r.planInUse()
	if !ok {
		return false
	}
	newest, outdated := r.witness.isOutdated(own)
	if r.planLost.CompareAndSwap(!outdated, outdated) {
		r.options.log.StateChange().Int64("version", own.version).Int64("newest", newest).Bool("lost", outdated).
			Msg("newer plan lost by the store")
	}
	return outdated
}

// mayMissRevocations reports whether a router that started a moment ago can't yet know
// whether the store has lost a plan that revokes keys. A store in its first era has lost none.
func (r *relay) mayMissRevocations() bool {
	if !r.options.listensForPlans || r.bounds.Load().MaxRevocationDelay == 0 || r.options.storeEra() == 0 {
		return false
	}
	own, ok := r.planInUse()
	return !ok || !r.witness.isSettled(r.options.clock(), own)
}
