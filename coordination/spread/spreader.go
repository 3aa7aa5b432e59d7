package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipetally.example/coordination/revision"
)

// Replicator is this router's part in carrying revisions. All methods are safe
// for concurrent use. It is the carrier of the membership's probes.
type Replicator struct {
	config Config

	// applyMu is held while settings are put in force. It is taken before mu.
	applyMu sync.Mutex

	// mu guards everything below. No call to another process and no callback
	// is made while it is held.
	mu       sync.Mutex
	group    Membership
	snapshot *revision.Snapshot
	log      entryLog
	installs []stamp
	levels   map[string]level

	// settled says that the newest settings told of were in force once.
	settled bool

	// known is when the newest revision was known last. pending is such a time
	// that counts once the revision is in force.
	known   time.Time
	pending stamp

	// told is the highest revision that a peer told of, and by whom.
	told  Announcement
	stats Stats

	// wanted and changed wake the loops that pull and push.
	wanted  chan struct{}
	changed chan struct{}
}

// stamp is a revision and a time.
type stamp struct {
	revision uint64
	at       time.Time
}

// Stats counts what a spreader did since it started.
type Stats struct {
	Reads    uint64
	Failures uint64
	Pushes   uint64
	Pulls    uint64
	Installs uint64
}

// New returns a spreader without settings. Attach must be called before Run.
func New(config Config) *Replicator {
	config.fill()
	return &Replicator{
		config:   config,
		snapshot: &revision.Snapshot{},
		log:      entryLog{limit: config.EntryLogBytes},
		levels:   make(map[string]level),
		wanted:   make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
	}
}

// SetMembership gives the spreader the membership, whose carrier it is.
func (s *Replicator) SetMembership(group Membership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group = group
}

// Run polls, pulls and pushes until the context ends.
func (s *Replicator) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.poll(ctx) })
	group.Go(func() { s.pull(ctx) })
	group.Go(func() { s.push(ctx) })
	group.Wait()
	return nil
}

// Snapshot returns the settings in force. Its revision is zero before there
// are any.
func (s *Replicator) Snapshot() *revision.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Stats returns the counts so far.
func (s *Replicator) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Standing applies the rule of freshness now. A router takes new work only if
// it is not stopped. It is cheap enough to be called for each request.
func (s *Replicator) Standing() Standing {
	rule, evidence := s.evidence()
	return rule.Standing(evidence)
}

// Accepts reports whether this router should take changes from operators.
func (s *Replicator) Accepts() bool {
	rule, evidence := s.evidence()
	return rule.HasMajority(evidence)
}

// Ready reports whether callers may be served: settings from the table or from
// peers are in force, with none newer told of when they first were, and the
// router is not stopped.
func (s *Replicator) Ready() bool {
	s.mu.Lock()
	if s.snapshot.Revision > 0 && s.told.Revision <= s.snapshot.Revision {
		s.settled = true
	}
	settled := s.settled
	s.mu.Unlock()
	return settled && s.Standing() != Stopped
}

// evidence returns the rule and what it judges.
func (s *Replicator) evidence() (FreshnessRule, Evidence) {
	s.mu.Lock()
	group, known := s.group, s.known
	s.mu.Unlock()
	reach := group.Reach()
	return FreshnessRuleFor(reach.Expected), Evidence{Now: time.Now(), Known: known, Reachability: reach}
}

// Learn tells the spreader that a revision was committed, for example by an
// operator's command that this router carried out. It is read from the table
// at once.
func (s *Replicator) Learn(ctx context.Context) {
	s.look(ctx)
}

// poll reads the table's head at intervals.
func (s *Replicator) poll(ctx context.Context) {
	for {
		s.look(ctx)
		// The routers that cannot be reached may poll all the same.
		size := max(len(s.group.Members().Live()), s.group.Reach().Expected)
		wait := s.config.interval(size)
		wait += time.Duration((rand.Float64() - 0.5) * float64(wait) / 2)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// look reads the table's head, and what is newer than the settings in force.
func (s *Replicator) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	sent := time.Now()
	head, err := s.config.Source.Head(ctx)
	s.count(func(c *Stats) { c.Reads++ })
	if err != nil {
		s.count(func(c *Stats) { c.Failures++ })
		return
	}
	s.confirm(stamp{revision: head, at: sent})
	after := s.Snapshot().Revision
	if head <= after {
		return
	}
	delta, err := s.config.Source.Since(ctx, after)
	s.count(func(c *Stats) { c.Reads++ })
	if err != nil {
		s.count(func(c *Stats) { c.Failures++ })
		return
	}
	// A failed installation is tried again at the next poll.
	_ = s.Apply(ctx, delta)
}

// confirm notes that revision was the newest at a time.
func (s *Replicator) confirm(newest stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest.revision > s.snapshot.Revision {
		if newest.revision > s.pending.revision || newest.at.After(s.pending.at) {
			s.pending = stamp{revision: max(newest.revision, s.pending.revision), at: newest.at}
		}
		return
	}
	if newest.at.After(s.known) {
		s.known = newest.at
	}
}

// count changes the counts.
func (s *Replicator) count(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}
