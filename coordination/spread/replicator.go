package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipetally.example/coordination/revision"
)

// Replicator keeps this router's settings up to date and passes revisions on to
// other routers. All methods are safe for concurrent use. It implements
// membership.Delegate.
type Replicator struct {
	config Config

	// installMu is held while settings are put in force. It is acquired before
	// mu.
	installMu sync.Mutex

	// mu guards all fields below. It is not held during calls to other
	// processes or callbacks.
	mu         sync.Mutex
	membership Membership
	snapshot   *revision.Snapshot
	entryLog   entryLog
	installs   []timedRevision
	confirmed  map[string]confirmedRevision

	// caughtUp says that the settings in force were at some time at least as
	// new as any that a peer had announced.
	caughtUp bool

	// newestKnownAt is the last time at which the revision in force was known
	// to be the newest. pending holds a newer revision that is not in force yet
	// and the time at which it was the newest; that time becomes newestKnownAt
	// once the revision is in force.
	newestKnownAt time.Time
	pending       timedRevision

	// newestAnnounced is the announcement with the highest revision that a peer
	// has made.
	newestAnnounced Announcement
	stats           Stats

	// pullNeeded and pushNeeded wake the loops that pull and push.
	pullNeeded chan struct{}
	pushNeeded chan struct{}
}

// timedRevision is a revision and the time at which it was the newest or was
// put in force.
type timedRevision struct {
	revision uint64
	at       time.Time
}

// Stats counts what a replicator did since it started.
type Stats struct {
	Reads    uint64
	Failures uint64
	Pushes   uint64
	Pulls    uint64
	Installs uint64
}

// New returns a replicator without settings. SetMembership must be called
// before Run.
func New(config Config) *Replicator {
	config.setDefaults()
	return &Replicator{
		config:     config,
		snapshot:   &revision.Snapshot{},
		entryLog:   entryLog{limit: config.EntryLogBytes},
		confirmed:  make(map[string]confirmedRevision),
		pullNeeded: make(chan struct{}, 1),
		pushNeeded: make(chan struct{}, 1),
	}
}

// SetMembership sets the membership whose probes carry the replicator's hints.
func (r *Replicator) SetMembership(m Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership = m
}

// Run polls, pulls and pushes until the context ends.
func (r *Replicator) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { r.pollLoop(ctx) })
	group.Go(func() { r.pullLoop(ctx) })
	group.Go(func() { r.pushLoop(ctx) })
	group.Wait()
	return nil
}

// Snapshot returns the settings in force. Its revision is zero before there are
// any.
func (r *Replicator) Snapshot() *revision.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// Stats returns the counters since the start.
func (r *Replicator) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Standing evaluates the freshness rule now. A router takes new requests only
// if it is not Stopped. The call is cheap enough to be made for each request.
func (r *Replicator) Standing() Standing {
	rule, evidence := r.freshnessInputs()
	return rule.Standing(evidence)
}

// AcceptsChanges reports whether this router may accept changes from operators.
func (r *Replicator) AcceptsChanges() bool {
	rule, evidence := r.freshnessInputs()
	return rule.HasMajority(evidence)
}

// Ready reports whether callers may be served: settings from the table or from
// peers are in force, they were at some time as new as any that a peer had
// announced, and the router is not Stopped.
func (r *Replicator) Ready() bool {
	r.mu.Lock()
	if r.snapshot.Revision > 0 && r.newestAnnounced.Revision <= r.snapshot.Revision {
		r.caughtUp = true
	}
	caughtUp := r.caughtUp
	r.mu.Unlock()
	return caughtUp && r.Standing() != Stopped
}

// freshnessInputs returns the freshness rule and the evidence to evaluate it
// on.
func (r *Replicator) freshnessInputs() (FreshnessRule, Evidence) {
	r.mu.Lock()
	members, known := r.membership, r.newestKnownAt
	r.mu.Unlock()
	reachability := members.Reachability()
	return FreshnessRuleFor(reachability.Expected), Evidence{Now: time.Now(), Known: known, Reachability: reachability}
}

// Refresh reads the newest revision from the table at once, without waiting for
// the next poll. It is called after a revision was committed, for example by an
// operator's command that this router executed.
func (r *Replicator) Refresh(ctx context.Context) {
	r.readTable(ctx)
}

// pollLoop reads the table's head at intervals.
func (r *Replicator) pollLoop(ctx context.Context) {
	for {
		r.readTable(ctx)
		// Routers that can't be reached from here may still be polling.
		size := max(len(r.membership.View().Live()), r.membership.Reachability().Expected)
		wait := r.config.pollInterval(size)
		wait += time.Duration((rand.Float64() - 0.5) * float64(wait) / 2)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// readTable reads the table's head and, if that is newer than the settings in
// force, the delta to it.
func (r *Replicator) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	sentAt := time.Now()
	head, err := r.config.Source.Head(ctx)
	r.updateStats(func(s *Stats) { s.Reads++ })
	if err != nil {
		r.updateStats(func(s *Stats) { s.Failures++ })
		return
	}
	r.observeNewest(timedRevision{revision: head, at: sentAt})
	installed := r.Snapshot().Revision
	if head <= installed {
		return
	}
	delta, err := r.config.Source.Since(ctx, installed)
	r.updateStats(func(s *Stats) { s.Reads++ })
	if err != nil {
		r.updateStats(func(s *Stats) { s.Failures++ })
		return
	}
	// A failed installation is retried at the next poll.
	_ = r.Apply(ctx, delta)
}

// observeNewest records that a revision was the newest at a time.
func (r *Replicator) observeNewest(newest timedRevision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest.revision > r.snapshot.Revision {
		if newest.revision > r.pending.revision || newest.at.After(r.pending.at) {
			r.pending = timedRevision{revision: max(newest.revision, r.pending.revision), at: newest.at}
		}
		return
	}
	if newest.at.After(r.newestKnownAt) {
		r.newestKnownAt = newest.at
	}
}

// updateStats updates the counters under the lock.
func (r *Replicator) updateStats(f func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.stats)
}
