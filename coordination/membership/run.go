package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Run takes part in the membership until the context ends. It waits for every
// probe that it started.
func (p *Node) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { p.list(ctx) })
	last := time.Now()
	tick := p.config.Period / 2
	timer := time.NewTimer(rand.N(tick))
	defer timer.Stop()
	for even := true; ; even = !even {
		select {
		case <-ctx.Done():
			return nil
		case <-p.hurry:
			p.contradict(ctx, &group)
			even = !even
			continue
		case <-timer.C:
		}
		if p.config.OnTick != nil {
			p.config.OnTick()
		}
		now := time.Now()
		p.sweep(now, elapsed(last, now))
		last = now
		p.consult(ctx, &group, now)
		p.supply(ctx, &group)
		p.start(ctx, &group, even)
		p.notify()
		timer.Reset(tick - tick/10 + rand.N(tick/5))
	}
}

// elapsed returns the time between two readings of the clock by the monotonic
// or the wall clock, whichever says more. The wall clock sees a VM that was
// suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// sweep turns suspicion that has lasted into death and forgets old deaths.
// Gap is the time since the last sweep: after a pause, suspicions wait anew.
func (p *Node) sweep(now time.Time, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if gap > 2*p.config.Period {
		p.wake++
		p.stats.Pauses++
		p.health = maxHealth
		for _, rec := range p.registry.suspects {
			rec.deadline = now.Add(p.suspicionLocked(rec.member))
			rec.consulted = false
		}
	}
	for _, rec := range p.registry.suspects {
		if now.Before(rec.deadline) {
			continue
		}
		state := Dead
		if rec.leaving {
			state = Left
		}
		p.registry.setState(rec, state, now)
		p.digest.Put(rec.member.Name, struct{}{})
		p.noteLocked(rec, Suspect, now)
	}
	p.forgetLocked(now)
}

// forgetLocked drops records of members that are long gone.
func (p *Node) forgetLocked(now time.Time) {
	if len(p.registry.records) == p.registry.live {
		return
	}
	for name, rec := range p.registry.records {
		if !rec.member.State.Live() && now.Sub(rec.since) >= p.config.DeadRetention {
			p.registry.remove(name)
			p.view, p.reach = nil, nil
		}
	}
}

// start begins the probe of this tick: on even ticks of the next member in
// turn, on odd ticks of a member in doubt.
func (p *Node) start(ctx context.Context, group *sync.WaitGroup, even bool) {
	p.mu.Lock()
	pick := p.doubtLocked
	if even {
		pick = p.nextLocked
	}
	target, ok := pick()
	sync := even && p.differs && time.Since(p.synced) >= p.syncLocked()
	if ok && sync {
		p.synced = time.Now()
	}
	p.mu.Unlock()
	if !ok {
		return
	}
	p.launch(group, func() { p.probe(ctx, target, sync) })
}

// syncLocked returns the least time between two attempts to bring two views
// together. It is short for a process that started lately.
func (p *Node) syncLocked() time.Duration {
	if time.Since(p.started) < lately {
		return p.config.Period / 2
	}
	return p.config.SyncInterval
}

// contradict tells a few members at once that this process runs.
func (p *Node) contradict(ctx context.Context, group *sync.WaitGroup) {
	p.mu.Lock()
	targets := p.sampleLocked(relays, "")
	timeout := p.config.timeout(p.health, true)
	p.mu.Unlock()
	for _, target := range targets {
		p.launch(group, func() { _ = p.exchange(ctx, target, timeout, false, false) })
	}
}

// consult asks two members about the suspects that are soon held dead. They
// answer with what they know better.
func (p *Node) consult(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	const advisers = 2
	due := now.Add(2 * p.config.Period)
	p.mu.Lock()
	var doubts []Member
	budget := UpdateBytes
	for _, rec := range p.registry.suspects {
		if rec.consulted || rec.deadline.After(due) {
			continue
		}
		doubt := rec.member.brief()
		if budget -= doubt.weight(); budget < 0 {
			break
		}
		rec.consulted = true
		doubts = append(doubts, doubt)
	}
	timeout := p.config.timeout(p.health, true)
	targets := p.sampleLocked(advisers, "")
	p.mu.Unlock()
	if len(doubts) == 0 {
		return
	}
	for _, target := range targets {
		message := p.request(target, false, false)
		message.Updates = append(message.Updates, doubts...)
		p.launch(group, func() { _ = p.send(ctx, target, message, timeout) })
	}
}

// launch runs f beside the loop unless too many probes are under way.
func (p *Node) launch(group *sync.WaitGroup, f func()) {
	select {
	case p.flying <- struct{}{}:
	default:
		return
	}
	group.Go(func() {
		defer func() { <-p.flying }()
		f()
	})
}

// list joins through the VM list, then reads it at intervals and tries to
// reach a listed member that is not live.
func (p *Node) list(ctx context.Context) {
	last := time.Time{}
	factor := 1.0
	for {
		p.mu.Lock()
		interval := time.Duration(float64(p.config.listing(p.registry.live)) * factor)
		p.mu.Unlock()
		if now := time.Now(); now.Sub(last) >= interval && p.read(ctx) {
			last = now
			factor = 0.75 + rand.Float64()/2
		}
		p.contact(ctx)
		wait := p.config.RetryInterval*3/4 + rand.N(p.config.RetryInterval/2)
		if p.joining() {
			wait = min(wait, p.config.Period/2+rand.N(p.config.Period/2))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// lately is the time for which a process counts as newly started.
const lately = time.Minute

// joining reports whether this process started lately and still knows fewer
// than half of the members that are listed.
func (p *Node) joining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started) < lately && 2*p.registry.live < len(p.listed)
}

// read reads the VM list.
func (p *Node) read(ctx context.Context) bool {
	const deadline = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	vms, err := p.config.Lister.List(ctx)
	if err != nil {
		return false
	}
	listed := make(map[string]VM, len(vms))
	for _, vm := range vms {
		if vm.Name != p.config.Self.Name {
			listed[vm.Name] = vm
		}
	}
	p.mu.Lock()
	p.listed = listed
	p.expectLocked()
	p.mu.Unlock()
	return true
}

// contact tries one listed member that is not live here.
func (p *Node) contact(ctx context.Context) {
	p.mu.Lock()
	var absent []Member
	for name, vm := range p.listed {
		if rec, ok := p.registry.records[name]; ok && (rec.member.State.Live() || rec.member.State == Left) {
			continue
		}
		absent = append(absent, Member{Name: vm.Name, Address: vm.Address, Region: vm.Region})
	}
	timeout := 2 * p.config.timeout(p.health, true)
	sync := len(absent) > 0 && time.Since(p.synced) >= p.syncLocked()
	if sync {
		p.synced = time.Now()
	}
	p.mu.Unlock()
	if len(absent) == 0 {
		return
	}
	whole := p.joining()
	_ = p.exchange(ctx, absent[rand.IntN(len(absent))], timeout, sync, whole)
	p.notify()
}
