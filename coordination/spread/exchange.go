package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipetally.example/coordination/membership"
)

// HandlePush takes an announcement of a peer.
func (s *Replicator) HandlePush(_ context.Context, a Announcement) error {
	s.mu.Lock()
	s.raiseLocked(membership.Member{Name: a.Name, Incarnation: a.Incarnation}, a.Revision, time.Now())
	s.mu.Unlock()
	s.hear(a)
	return nil
}

// hear wakes the loop that pulls if a peer has something newer.
func (s *Replicator) hear(a Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Revision <= s.snapshot.Revision || a.Revision < s.told.Revision {
		return
	}
	s.told = a
	signal(s.wanted)
}

// pull fetches what peers told of.
func (s *Replicator) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wanted:
		}
		s.catchUp(ctx)
	}
}

// catchUp pulls until what was told of is in force. If the peer that told of
// it fails, others that have it are asked. What is missing in the end comes
// with the next push, probe or poll.
func (s *Replicator) catchUp(ctx context.Context) {
	const attempts = 4
	after := uint64(0)
	whole := false
	for failures := 0; failures < attempts && ctx.Err() == nil; {
		source, behind := s.target(failures)
		if !behind {
			return
		}
		after = s.Snapshot().Revision
		if whole {
			after = 0
		}
		if s.fetch(ctx, source, after) != nil || s.Snapshot().Revision <= after {
			failures++
			whole = true
		}
	}
}

// fetch pulls once and applies the answer.
func (s *Replicator) fetch(ctx context.Context, address string, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	s.count(func(c *Stats) { c.Pulls++ })
	delta, err := s.config.Transport.Pull(ctx, address, after)
	if err != nil {
		return err
	}
	return s.Apply(ctx, delta)
}

// target returns the address to pull from, and whether this router is behind.
// After a failure it is a random member that confirmed something newer.
func (s *Replicator) target(failures int) (string, bool) {
	view := s.group.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	mine := s.snapshot.Revision
	if s.told.Revision <= mine {
		return "", false
	}
	address, seen := s.told.Address, 0
	if failures == 0 {
		return address, true
	}
	for _, m := range view.Live() {
		lv, ok := s.levels[m.Name]
		if !ok || lv.incarnation != m.Incarnation || lv.revision <= mine || m.Name == s.config.Self.Name {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			address = m.Address
		}
	}
	return address, true
}

// push tells a few routers of each new revision.
func (s *Replicator) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		s.tell(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.config.PushInterval):
		}
	}
}

// tell pushes the revision in force to members that are not known to have it.
func (s *Replicator) tell(ctx context.Context) {
	a := s.config.Self
	a.Revision = s.Snapshot().Revision
	a.Incarnation = s.group.Members().Self.Incarnation
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range s.audience(a.Revision) {
		s.count(func(c *Stats) { c.Pushes++ })
		group.Go(func() { _ = s.config.Transport.Push(ctx, m.Address, a) })
	}
	group.Wait()
}

// audience draws members that are not known to have a revision.
func (s *Replicator) audience(revision uint64) []membership.Member {
	view := s.group.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	var drawn []membership.Member
	seen := 0
	for _, m := range view.Live() {
		lv := s.levels[m.Name]
		if m.Name == s.config.Self.Name || lv.incarnation == m.Incarnation && lv.revision >= revision {
			continue
		}
		seen++
		if len(drawn) < s.config.Fanout {
			drawn = append(drawn, m)
			continue
		}
		if i := rand.IntN(seen); i < s.config.Fanout {
			drawn[i] = m
		}
	}
	return drawn
}
