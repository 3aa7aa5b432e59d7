package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipetally.example/coordination/membership"
)

// HandlePush handles an announcement of a peer.
func (r *Replicator) HandlePush(_ context.Context, a Announcement) error {
	r.mu.Lock()
	r.recordConfirmedLocked(membership.Member{Name: a.Name, Incarnation: a.Incarnation}, a.Revision, time.Now())
	r.mu.Unlock()
	r.observeAnnouncement(a)
	return nil
}

// observeAnnouncement wakes the pull loop if a peer has a newer revision.
func (r *Replicator) observeAnnouncement(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Revision <= r.snapshot.Revision || a.Revision < r.newestAnnounced.Revision {
		return
	}
	r.newestAnnounced = a
	wake(r.pullNeeded)
}

// pullLoop pulls the revisions that peers announce.
func (r *Replicator) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pullNeeded:
		}
		r.catchUp(ctx)
	}
}

// catchUp pulls until the newest announced revision is in force. If the pull
// from the peer that announced it fails, a full snapshot is pulled from other
// members that have confirmed a newer revision. What is still missing after
// that arrives with the next push, probe or poll.
func (r *Replicator) catchUp(ctx context.Context) {
	const maxFailures = 4
	after := uint64(0)
	full := false
	for failures := 0; failures < maxFailures && ctx.Err() == nil; {
		address, behind := r.pullAddress(failures)
		if !behind {
			return
		}
		after = r.Snapshot().Revision
		if full {
			after = 0
		}
		if r.pull(ctx, address, after) != nil || r.Snapshot().Revision <= after {
			failures++
			full = true
		}
	}
}

// pull makes one pull and applies the delta.
func (r *Replicator) pull(ctx context.Context, address string, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	r.updateStats(func(s *Stats) { s.Pulls++ })
	delta, err := r.config.Transport.Pull(ctx, address, after)
	if err != nil {
		return err
	}
	return r.Apply(ctx, delta)
}

// pullAddress returns the address to pull from, and whether this router is
// behind. After a failure it picks a random live member that has confirmed a
// newer revision.
func (r *Replicator) pullAddress(failures int) (string, bool) {
	view := r.membership.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	installed := r.snapshot.Revision
	if r.newestAnnounced.Revision <= installed {
		return "", false
	}
	address, seen := r.newestAnnounced.Address, 0
	if failures == 0 {
		return address, true
	}
	for _, m := range view.Live() {
		confirmed, ok := r.confirmed[m.Name]
		if !ok || confirmed.incarnation != m.Incarnation || confirmed.revision <= installed || m.Name == r.config.Self.Name {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			address = m.Address
		}
	}
	return address, true
}

// pushLoop announces each new revision to a few routers.
func (r *Replicator) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pushNeeded:
		}
		r.push(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.config.PushInterval):
		}
	}
}

// push announces the revision in force to members that are not known to have
// it.
func (r *Replicator) push(ctx context.Context) {
	a := r.config.Self
	a.Revision = r.Snapshot().Revision
	a.Incarnation = r.membership.View().Self.Incarnation
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range r.pushTargets(a.Revision) {
		r.updateStats(func(s *Stats) { s.Pushes++ })
		group.Go(func() { _ = r.config.Transport.Push(ctx, m.Address, a) })
	}
	group.Wait()
}

// pushTargets picks up to Fanout random live members that are not known to have
// a revision.
func (r *Replicator) pushTargets(revision uint64) []membership.Member {
	view := r.membership.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []membership.Member
	seen := 0
	for _, m := range view.Live() {
		confirmed := r.confirmed[m.Name]
		if m.Name == r.config.Self.Name || confirmed.incarnation == m.Incarnation && confirmed.revision >= revision {
			continue
		}
		seen++
		if len(targets) < r.config.Fanout {
			targets = append(targets, m)
			continue
		}
		if i := rand.IntN(seen); i < r.config.Fanout {
			targets[i] = m
		}
	}
	return targets
}
