package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// HandleExchange answers a probe.
func (p *Node) HandleExchange(_ context.Context, request Message) (Message, error) {
	now := time.Now()
	p.mu.Lock()
	if request.Target != "" && request.Target != p.self.Name {
		name := p.self.Name
		p.mu.Unlock()
		return Message{}, fmt.Errorf("answer for %s as %s: %w", request.Target, name, ErrWrongTarget)
	}
	var better []Member
	if request.From.Name != p.self.Name {
		p.heardLocked(request.From, now)
		better = p.takeLocked(append([]Member{request.From}, request.Updates...), now)
	}
	answer := p.answerLocked(request, better, now)
	p.mu.Unlock()
	if p.config.Delegate != nil {
		p.config.Delegate.Ask(request.From, request.Extra)
		answer.Extra = p.config.Delegate.Load()
	}
	p.notify()
	return answer, nil
}

// HandleRelay probes target for another member.
func (p *Node) HandleRelay(ctx context.Context, target Target) error {
	// Whoever asks did not reach it.
	member := Member{Name: target.Name, Address: target.Address, State: Suspect}
	p.mu.Lock()
	if rec, ok := p.registry.records[target.Name]; ok {
		member.Region = rec.member.Region
	}
	timeout := p.timeoutLocked(member)
	p.mu.Unlock()
	if err := p.exchange(ctx, member, timeout, false, false); err != nil {
		return fmt.Errorf("relay to %s: %w", target.Name, err)
	}
	return nil
}

// exchange sends a probe and merges the answer.
func (p *Node) exchange(ctx context.Context, target Member, timeout time.Duration, sync, whole bool) error {
	return p.send(ctx, target, p.request(target, sync, whole), timeout)
}

// send sends a message and merges the answer.
func (p *Node) send(ctx context.Context, target Member, message Message, timeout time.Duration) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := p.config.Transport.Exchange(ctx, target.Address, message)
	if err != nil {
		return fmt.Errorf("probe %s: %w", target.Address, err)
	}
	if target.Name != "" && answer.From.Name != target.Name {
		return fmt.Errorf("probe %s: %w", target.Name, ErrWrongTarget)
	}
	p.answered(message, answer, sent)
	if p.config.Delegate != nil {
		p.config.Delegate.Answer(answer.From, answer.Extra, sent)
	}
	p.notify()
	return nil
}

// request builds a probe.
func (p *Node) request(target Member, sync, whole bool) Message {
	var extra []byte
	if p.config.Delegate != nil {
		extra = p.config.Delegate.Load()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, parts := p.summaryLocked()
	message := Message{From: p.self, Target: target.Name, Summary: sum, Full: whole, Extra: extra}
	if rec, ok := p.registry.records[target.Name]; ok && rec.member.State > Leaving {
		// The target learns what is held against it, and contradicts it.
		message.Updates = append(message.Updates, rec.member.brief())
	}
	if target.State != Suspect {
		// News for one who may not answer would likely be lost.
		message.Updates = append(message.Updates, p.newsLocked(UpdateBytes)...)
	}
	if sync && !whole {
		message.Buckets = parts[:]
		message.Full = p.blind
		p.stats.Syncs++
	}
	return message
}

// answered merges the answer to a probe that left at sent.
func (p *Node) answered(request, answer Message, sent time.Time) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer.From.Name == p.self.Name {
		return
	}
	if sent.After(p.reached) {
		p.reached = sent
	}
	delete(p.verify, answer.From.Name)
	p.heardLocked(answer.From, now)
	if rec, ok := p.registry.records[answer.From.Name]; ok {
		rec.delay = max(rec.delay*7/8, now.Sub(sent))
	}
	if len(answer.Buckets) > 0 && request.Full {
		p.blind = false
	}
	p.takeLocked(append([]Member{answer.From}, answer.Updates...), now)
	sum, _ := p.summaryLocked()
	p.differs = answer.Summary != sum
	if len(answer.Buckets) > 0 && len(request.Buckets) > 0 {
		p.oweLocked(answer)
	}
}

// probe checks one member, directly and then through others as well, and
// suspects it if nobody reaches it. An answer that is late still counts.
func (p *Node) probe(ctx context.Context, target Member, sync bool) {
	p.mu.Lock()
	p.stats.Probes++
	wake := p.wake
	timeout := p.timeoutLocked(target)
	p.mu.Unlock()
	patience := max(longest, timeout)
	began := time.Now()
	direct := make(chan error, 1)
	go func() { direct <- p.exchange(ctx, target, patience, sync, false) }()
	settled, first := awaitError(direct, timeout)
	if !settled || first != nil {
		// Others have tried to reach a suspect already.
		helped, answered := target.State == Suspect, true
		if !helped {
			helped, answered = p.relay(ctx, target, timeout+p.config.timeout(0, true))
		}
		if !settled {
			settled, first = awaitError(direct, 0)
		}
		if !helped && ctx.Err() == nil && (!settled || first != nil) {
			paused := elapsed(began, time.Now()) > 3*timeout+p.config.Period
			p.failed(target, wake, paused, answered)
		}
	}
	if !settled {
		first = <-direct
	}
	if first == nil {
		p.healthier()
	}
}

// longest bounds the time for a late answer, and with it how slow a member may
// be before it is suspected.
const longest = 3 * time.Second

// timeoutLocked returns the time for the direct answer of a member. A member
// that was slow lately gets more.
func (p *Node) timeoutLocked(m Member) time.Duration {
	timeout := p.config.timeout(p.health, p.farLocked(m.Region))
	if rec, ok := p.registry.records[m.Name]; ok {
		timeout = max(timeout, min(rec.delay*3/2, longest))
	}
	return timeout
}

// awaitError receives from c, and reports false if nothing came in time.
func awaitError(c <-chan error, limit time.Duration) (got bool, err error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-c:
		return true, err
	case <-timer.C:
		return false, nil
	}
}

// failed suspects a member that nobody reached. The silence says nothing if
// this process was paused meanwhile, and little if not even those who should
// help answered.
func (p *Node) failed(target Member, wake uint64, paused, answered bool) {
	p.mu.Lock()
	defer p.notify()
	defer p.mu.Unlock()
	p.stats.Failures++
	if paused || p.wake != wake {
		return
	}
	if !answered && p.registry.live > relays {
		p.health = min(p.health+1, maxHealth)
	}
	p.suspectLocked(target)
}

// relay asks others to probe the target. It reports whether one reached it,
// and whether any of them answered at all.
func (p *Node) relay(ctx context.Context, target Member, timeout time.Duration) (helped, answered bool) {
	p.mu.Lock()
	helpers := p.sampleLocked(relays, target.Name)
	p.stats.Relays += uint64(len(helpers))
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct{ helped, answered bool }
	results := make([]result, len(helpers))
	var group sync.WaitGroup
	for i, helper := range helpers {
		group.Go(func() {
			err := p.config.Transport.Relay(ctx, helper.Address, Target{Name: target.Name, Address: target.Address})
			results[i] = result{helped: err == nil, answered: err == nil || ctx.Err() == nil}
		})
	}
	group.Wait()
	for _, r := range results {
		helped = helped || r.helped
		answered = answered || r.answered
	}
	return helped, answered
}

// healthier lowers the count of signs that this process is slow.
func (p *Node) healthier() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health = max(p.health-1, 0)
}

// suspectLocked begins the suspicion of a member, unless it has changed since
// the probe left.
func (p *Node) suspectLocked(target Member) {
	rec, ok := p.registry.records[target.Name]
	if !ok || rec.member.Incarnation != target.Incarnation || rec.member.Round != target.Round {
		return
	}
	if rec.member.State != Alive && rec.member.State != Leaving {
		return
	}
	now := time.Now()
	before := rec.member.State
	rec.deadline = now.Add(p.suspicionLocked(rec.member))
	rec.consulted = false
	rec.renewed = false
	p.registry.setState(rec, Suspect, now)
	p.digest.Put(rec.member.Name, struct{}{})
	p.noteLocked(rec, before, now)
}

// heardLocked gives a suspect that was heard from its full time again.
func (p *Node) heardLocked(m Member, now time.Time) {
	if rec, ok := p.registry.suspects[m.Name]; ok && rec.member.Incarnation == m.Incarnation {
		rec.deadline = now.Add(p.suspicionLocked(rec.member))
		rec.consulted = false
	}
}

// renewLocked begins the suspicions of a region anew, once each, because a
// member of the region that was held dead has contradicted that: the way there
// was cut and has healed, and all others there need the time to contradict too.
func (p *Node) renewLocked(region string, now time.Time) {
	for _, rec := range p.registry.suspects {
		if rec.renewed || rec.member.Region != region {
			continue
		}
		rec.deadline = now.Add(p.suspicionLocked(rec.member))
		rec.consulted = false
		rec.renewed = true
	}
}

// nextLocked returns the member to probe next: each in turn, in an order that
// is shuffled anew for every round.
func (p *Node) nextLocked() (Member, bool) {
	for range 2 {
		for len(p.queue) > 0 {
			name := p.queue[len(p.queue)-1]
			p.queue = p.queue[:len(p.queue)-1]
			if rec, ok := p.registry.records[name]; ok && rec.member.State.Live() {
				return rec.member, true
			}
		}
		for name, rec := range p.registry.records {
			if rec.member.State.Live() {
				p.queue = append(p.queue, name)
			}
		}
		rand.Shuffle(len(p.queue), func(i, j int) { p.queue[i], p.queue[j] = p.queue[j], p.queue[i] })
	}
	return Member{}, false
}

// doubtLocked returns a member that is suspected here or held dead by others.
func (p *Node) doubtLocked() (Member, bool) {
	for name, claim := range p.verify {
		delete(p.verify, name)
		// A claim that was contradicted since needs no probe.
		if rec, ok := p.registry.records[name]; ok && rec.member.State.Live() && claim.supersedes(rec.member) {
			return rec.member, true
		}
	}
	skip := rand.IntN(max(len(p.registry.suspects), 1))
	for _, rec := range p.registry.suspects {
		if skip == 0 {
			return rec.member, true
		}
		skip--
	}
	return Member{}, false
}
