package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// HandleExchange handles a probe and returns the reply. It returns
// ErrWrongTarget if the probe is for another member.
func (n *Node) HandleExchange(_ context.Context, request Message) (Message, error) {
	now := time.Now()
	n.mu.Lock()
	if request.Target != "" && request.Target != n.self.Name {
		name := n.self.Name
		n.mu.Unlock()
		return Message{}, fmt.Errorf("answer for %s as %s: %w", request.Target, name, ErrWrongTarget)
	}
	var corrections []Member
	if request.From.Name != n.self.Name {
		n.extendSuspicionLocked(request.From, now)
		corrections = n.mergeUpdatesLocked(append([]Member{request.From}, request.Updates...), now)
	}
	reply := n.replyLocked(request, corrections, now)
	n.mu.Unlock()
	if n.config.Delegate != nil {
		n.config.Delegate.ReceiveProbe(request.From, request.Extra)
		reply.Extra = n.config.Delegate.Payload()
	}
	n.deliverEvents()
	return reply, nil
}

// HandleRelay probes target on behalf of another member.
func (n *Node) HandleRelay(ctx context.Context, target Target) error {
	// The member that asks could not reach the target.
	member := Member{Name: target.Name, Address: target.Address, State: Suspect}
	n.mu.Lock()
	if rec, ok := n.registry.records[target.Name]; ok {
		member.Region = rec.member.Region
	}
	timeout := n.probeTimeoutLocked(member)
	n.mu.Unlock()
	if err := n.exchange(ctx, member, timeout, false, false); err != nil {
		return fmt.Errorf("relay to %s: %w", target.Name, err)
	}
	return nil
}

// exchange sends a probe and merges the reply.
func (n *Node) exchange(ctx context.Context, target Member, timeout time.Duration, sync, full bool) error {
	return n.send(ctx, target, n.request(target, sync, full), timeout)
}

// send sends a message and merges the reply.
func (n *Node) send(ctx context.Context, target Member, message Message, timeout time.Duration) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.config.Transport.Exchange(ctx, target.Address, message)
	if err != nil {
		return fmt.Errorf("probe %s: %w", target.Address, err)
	}
	if target.Name != "" && reply.From.Name != target.Name {
		return fmt.Errorf("probe %s: %w", target.Name, ErrWrongTarget)
	}
	n.mergeReply(message, reply, sent)
	if n.config.Delegate != nil {
		n.config.Delegate.ReceiveReply(reply.From, reply.Extra, sent)
	}
	n.deliverEvents()
	return nil
}

// request builds a probe.
func (n *Node) request(target Member, sync, full bool) Message {
	var extra []byte
	if n.config.Delegate != nil {
		extra = n.config.Delegate.Payload()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	sum, hashes := n.summaryLocked()
	message := Message{From: n.self, Target: target.Name, Summary: sum, Full: full, Extra: extra}
	if rec, ok := n.registry.records[target.Name]; ok && rec.member.State > Leaving {
		// The target learns in which state it is recorded, so that it can
		// refute that.
		message.Updates = append(message.Updates, rec.member.compact())
	}
	if target.State != Suspect {
		// Updates sent to a member that may not respond would likely be lost.
		message.Updates = append(message.Updates, n.takeBroadcastsLocked(UpdateBytes)...)
	}
	if sync && !full {
		message.Buckets = hashes[:]
		message.Full = n.missingDetails
		n.stats.Syncs++
	}
	return message
}

// mergeReply merges the reply to a probe that was sent at the given time.
func (n *Node) mergeReply(request, reply Message, sent time.Time) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.From.Name == n.self.Name {
		return
	}
	if sent.After(n.lastContact) {
		n.lastContact = sent
	}
	delete(n.unverifiedDeaths, reply.From.Name)
	n.extendSuspicionLocked(reply.From, now)
	if rec, ok := n.registry.records[reply.From.Name]; ok {
		rec.recentDelay = max(rec.recentDelay*7/8, now.Sub(sent))
	}
	if len(reply.Buckets) > 0 && request.Full {
		n.missingDetails = false
	}
	n.mergeUpdatesLocked(append([]Member{reply.From}, reply.Updates...), now)
	sum, _ := n.summaryLocked()
	n.viewsDiffer = reply.Summary != sum
	if len(reply.Buckets) > 0 && len(request.Buckets) > 0 {
		n.planRepairLocked(reply)
	}
}

// probe checks one member, first directly and then also through others, and
// suspects it if no one reaches it. A late direct reply still counts.
func (n *Node) probe(ctx context.Context, target Member, sync bool) {
	n.mu.Lock()
	n.stats.Probes++
	pauseCount := n.pauseCount
	timeout := n.probeTimeoutLocked(target)
	n.mu.Unlock()
	lateTimeout := max(maxProbeTimeout, timeout)
	start := time.Now()
	direct := make(chan error, 1)
	go func() { direct <- n.exchange(ctx, target, lateTimeout, sync, false) }()
	received, directErr := awaitError(direct, timeout)
	if !received || directErr != nil {
		// Others have already tried to reach a member that is suspected.
		reached, responded := target.State == Suspect, true
		if !reached {
			reached, responded = n.relay(ctx, target, timeout+n.config.probeTimeout(0, true))
		}
		if !received {
			received, directErr = awaitError(direct, 0)
		}
		if !reached && ctx.Err() == nil && (!received || directErr != nil) {
			paused := elapsed(start, time.Now()) > 3*timeout+n.config.ProbeInterval
			n.probeFailed(target, pauseCount, paused, responded)
		}
	}
	if !received {
		directErr = <-direct
	}
	if directErr == nil {
		n.improveHealth()
	}
}

// maxProbeTimeout bounds the time for a late reply, and with it how slow a
// member may be before it is suspected.
const maxProbeTimeout = 3 * time.Second

// probeTimeoutLocked returns how long to wait for the direct reply of a member.
// A member that was slow recently gets more time.
func (n *Node) probeTimeoutLocked(m Member) time.Duration {
	timeout := n.config.probeTimeout(n.health, n.crossRegionLocked(m.Region))
	if rec, ok := n.registry.records[m.Name]; ok {
		timeout = max(timeout, min(rec.recentDelay*3/2, maxProbeTimeout))
	}
	return timeout
}

// awaitError receives from c, and reports false if nothing arrived before the
// timeout.
func awaitError(c <-chan error, timeout time.Duration) (received bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-c:
		return true, err
	case <-timer.C:
		return false, nil
	}
}

// probeFailed suspects a member that no one reached. The failure means nothing
// if this process was paused meanwhile. If not even the relays responded, it
// counts as a sign that this process itself is slow.
func (n *Node) probeFailed(target Member, pauseCount uint64, paused, responded bool) {
	n.mu.Lock()
	defer n.deliverEvents()
	defer n.mu.Unlock()
	n.stats.Failures++
	if paused || n.pauseCount != pauseCount {
		return
	}
	if !responded && n.registry.live > relayCount {
		n.health = min(n.health+1, maxHealth)
	}
	n.suspectLocked(target)
}

// relay asks other members to probe the target. It reports whether one of them
// reached it, and whether any of them responded at all.
func (n *Node) relay(ctx context.Context, target Member, timeout time.Duration) (reached, responded bool) {
	n.mu.Lock()
	relays := n.sampleLocked(relayCount, target.Name)
	n.stats.Relays += uint64(len(relays))
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct{ reached, responded bool }
	results := make([]result, len(relays))
	var group sync.WaitGroup
	for i, relay := range relays {
		group.Go(func() {
			err := n.config.Transport.Relay(ctx, relay.Address, Target{Name: target.Name, Address: target.Address})
			results[i] = result{reached: err == nil, responded: err == nil || ctx.Err() == nil}
		})
	}
	group.Wait()
	for _, r := range results {
		reached = reached || r.reached
		responded = responded || r.responded
	}
	return reached, responded
}

// improveHealth lowers the number of signs that this process is slow.
func (n *Node) improveHealth() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.health = max(n.health-1, 0)
}

// suspectLocked marks a member as suspect, unless its record has changed since
// the probe was sent.
func (n *Node) suspectLocked(target Member) {
	rec, ok := n.registry.records[target.Name]
	if !ok || rec.member.Incarnation != target.Incarnation || rec.member.Round != target.Round {
		return
	}
	if rec.member.State != Alive && rec.member.State != Leaving {
		return
	}
	now := time.Now()
	before := rec.member.State
	rec.deadline = now.Add(n.suspicionTimeoutLocked(rec.member))
	rec.consulted = false
	rec.restarted = false
	n.registry.setState(rec, Suspect, now)
	n.broadcasts.Put(rec.member.Name, struct{}{})
	n.recordChangeLocked(rec, before, now)
}

// extendSuspicionLocked restarts the suspicion timeout of a suspect that sent a
// message itself.
func (n *Node) extendSuspicionLocked(m Member, now time.Time) {
	if rec, ok := n.registry.suspects[m.Name]; ok && rec.member.Incarnation == m.Incarnation {
		rec.deadline = now.Add(n.suspicionTimeoutLocked(rec.member))
		rec.consulted = false
	}
}

// restartSuspicionsLocked restarts the suspicion timeouts of a region, once for
// each suspect. It is called when a member of the region that was recorded as
// dead has refuted that: the connection to the region was cut and has healed,
// and the other suspects there need time to refute as well.
func (n *Node) restartSuspicionsLocked(region string, now time.Time) {
	for _, rec := range n.registry.suspects {
		if rec.restarted || rec.member.Region != region {
			continue
		}
		rec.deadline = now.Add(n.suspicionTimeoutLocked(rec.member))
		rec.consulted = false
		rec.restarted = true
	}
}

// nextMemberLocked returns the member to probe next. Members are probed in
// turn, in an order that is reshuffled for every round.
func (n *Node) nextMemberLocked() (Member, bool) {
	for range 2 {
		for len(n.probeQueue) > 0 {
			name := n.probeQueue[len(n.probeQueue)-1]
			n.probeQueue = n.probeQueue[:len(n.probeQueue)-1]
			if rec, ok := n.registry.records[name]; ok && rec.member.State.Live() {
				return rec.member, true
			}
		}
		for name, rec := range n.registry.records {
			if rec.member.State.Live() {
				n.probeQueue = append(n.probeQueue, name)
			}
		}
		rand.Shuffle(len(n.probeQueue), func(i, j int) { n.probeQueue[i], n.probeQueue[j] = n.probeQueue[j], n.probeQueue[i] })
	}
	return Member{}, false
}

// nextDoubtfulLocked returns a member that others claim to be dead, or else a
// random suspect.
func (n *Node) nextDoubtfulLocked() (Member, bool) {
	for name, claim := range n.unverifiedDeaths {
		delete(n.unverifiedDeaths, name)
		// A claim that was refuted in the meantime needs no probe.
		if rec, ok := n.registry.records[name]; ok && rec.member.State.Live() && claim.supersedes(rec.member) {
			return rec.member, true
		}
	}
	skip := rand.IntN(max(len(n.registry.suspects), 1))
	for _, rec := range n.registry.suspects {
		if skip == 0 {
			return rec.member, true
		}
		skip--
	}
	return Member{}, false
}
