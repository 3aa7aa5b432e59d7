package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Run takes part in the membership protocol until the context ends. It waits
// for every probe that it started.
func (n *Node) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { n.discover(ctx) })
	last := time.Now()
	tick := n.config.ProbeInterval / 2
	timer := time.NewTimer(rand.N(tick))
	defer timer.Stop()
	for even := true; ; even = !even {
		select {
		case <-ctx.Done():
			return nil
		case <-n.refuteNow:
			n.sendRefutation(ctx, &group)
			even = !even
			continue
		case <-timer.C:
		}
		if n.config.OnTick != nil {
			n.config.OnTick()
		}
		now := time.Now()
		n.expire(now, elapsed(last, now))
		last = now
		n.confirmSuspicions(ctx, &group, now)
		n.sendRepair(ctx, &group)
		n.startProbe(ctx, &group, even)
		n.deliverEvents()
		timer.Reset(tick - tick/10 + rand.N(tick/5))
	}
}

// elapsed returns the time between two clock readings by the monotonic or the
// wall clock, whichever is longer. Only the wall clock advances while the VM is
// suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// expire declares suspects dead, or left if they were leaving, once their
// deadline has passed, and forgets members that have been gone for long. gap is
// the time since the last call: after a pause of this process, all suspicion
// timeouts are restarted.
func (n *Node) expire(now time.Time, gap time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gap > 2*n.config.ProbeInterval {
		n.pauseCount++
		n.stats.Pauses++
		n.health = maxHealth
		for _, rec := range n.registry.suspects {
			rec.deadline = now.Add(n.suspicionTimeoutLocked(rec.member))
			rec.consulted = false
		}
	}
	for _, rec := range n.registry.suspects {
		if now.Before(rec.deadline) {
			continue
		}
		state := Dead
		if rec.leaving {
			state = Left
		}
		n.registry.setState(rec, state, now)
		n.broadcasts.Put(rec.member.Name, struct{}{})
		n.recordChangeLocked(rec, Suspect, now)
	}
	n.forgetLocked(now)
}

// forgetLocked drops the records of members that have not been live for
// DeadRetention.
func (n *Node) forgetLocked(now time.Time) {
	if len(n.registry.records) == n.registry.live {
		return
	}
	for name, rec := range n.registry.records {
		if !rec.member.State.Live() && now.Sub(rec.stateSince) >= n.config.DeadRetention {
			n.registry.remove(name)
			n.view, n.reachability = nil, nil
		}
	}
}

// startProbe starts the probe of this tick: of the next member in turn on even
// ticks, of a member in doubt on odd ticks.
func (n *Node) startProbe(ctx context.Context, group *sync.WaitGroup, even bool) {
	n.mu.Lock()
	next := n.nextDoubtfulLocked
	if even {
		next = n.nextMemberLocked
	}
	target, ok := next()
	sync := even && n.viewsDiffer && time.Since(n.lastSync) >= n.syncIntervalLocked()
	if ok && sync {
		n.lastSync = time.Now()
	}
	n.mu.Unlock()
	if !ok {
		return
	}
	n.goLimited(group, func() { n.probe(ctx, target, sync) })
}

// syncIntervalLocked returns the minimum time between two attempts to
// synchronize views. It is short for a process that started recently.
func (n *Node) syncIntervalLocked() time.Duration {
	if time.Since(n.started) < recentPeriod {
		return n.config.ProbeInterval / 2
	}
	return n.config.SyncInterval
}

// sendRefutation probes a few members at once. Each probe carries this
// process's own record, which refutes the suspicion.
func (n *Node) sendRefutation(ctx context.Context, group *sync.WaitGroup) {
	n.mu.Lock()
	targets := n.sampleLocked(relayCount, "")
	timeout := n.config.probeTimeout(n.health, true)
	n.mu.Unlock()
	for _, target := range targets {
		n.goLimited(group, func() { _ = n.exchange(ctx, target, timeout, false, false) })
	}
}

// confirmSuspicions asks two members about the suspects whose deadline is near.
// They reply with any newer records they have.
func (n *Node) confirmSuspicions(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	const memberCount = 2
	before := now.Add(2 * n.config.ProbeInterval)
	n.mu.Lock()
	var suspects []Member
	budget := UpdateBytes
	for _, rec := range n.registry.suspects {
		if rec.consulted || rec.deadline.After(before) {
			continue
		}
		suspect := rec.member.compact()
		if budget -= suspect.maxEncodedSize(); budget < 0 {
			break
		}
		rec.consulted = true
		suspects = append(suspects, suspect)
	}
	timeout := n.config.probeTimeout(n.health, true)
	targets := n.sampleLocked(memberCount, "")
	n.mu.Unlock()
	if len(suspects) == 0 {
		return
	}
	for _, target := range targets {
		message := n.request(target, false, false)
		message.Updates = append(message.Updates, suspects...)
		n.goLimited(group, func() { _ = n.send(ctx, target, message, timeout) })
	}
}

// goLimited runs f in a goroutine, or drops it if too many probes are in
// flight.
func (n *Node) goLimited(group *sync.WaitGroup, f func()) {
	select {
	case n.inflight <- struct{}{}:
	default:
		return
	}
	group.Go(func() {
		defer func() { <-n.inflight }()
		f()
	})
}

// discover joins through the VM list, then reads it at intervals and tries to
// reach members that are on the list but not live.
func (n *Node) discover(ctx context.Context) {
	last := time.Time{}
	factor := 1.0
	for {
		n.mu.Lock()
		interval := time.Duration(float64(n.config.listInterval(n.registry.live)) * factor)
		n.mu.Unlock()
		if now := time.Now(); now.Sub(last) >= interval && n.readVMList(ctx) {
			last = now
			factor = 0.75 + rand.Float64()/2
		}
		n.contactAbsent(ctx)
		wait := n.config.RetryInterval*3/4 + rand.N(n.config.RetryInterval/2)
		if n.joining() {
			wait = min(wait, n.config.ProbeInterval/2+rand.N(n.config.ProbeInterval/2))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// recentPeriod is how long a process counts as newly started, and a change to a
// member's details as recent.
const recentPeriod = time.Minute

// joining reports whether this process started recently and still knows fewer
// than half of the listed members.
func (n *Node) joining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.started) < recentPeriod && 2*n.registry.live < len(n.listedVMs)
}

// readVMList reads the VM list and reports whether that succeeded.
func (n *Node) readVMList(ctx context.Context) bool {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	vms, err := n.config.Lister.List(ctx)
	if err != nil {
		return false
	}
	listed := make(map[string]VM, len(vms))
	for _, vm := range vms {
		if vm.Name != n.config.Self.Name {
			listed[vm.Name] = vm
		}
	}
	n.mu.Lock()
	n.listedVMs = listed
	n.resetExpectedLocked()
	n.mu.Unlock()
	return true
}

// contactAbsent probes a random VM that is listed but not live here.
func (n *Node) contactAbsent(ctx context.Context) {
	n.mu.Lock()
	var absent []Member
	for name, vm := range n.listedVMs {
		if rec, ok := n.registry.records[name]; ok && (rec.member.State.Live() || rec.member.State == Left) {
			continue
		}
		absent = append(absent, Member{Name: vm.Name, Address: vm.Address, Region: vm.Region})
	}
	timeout := 2 * n.config.probeTimeout(n.health, true)
	sync := len(absent) > 0 && time.Since(n.lastSync) >= n.syncIntervalLocked()
	if sync {
		n.lastSync = time.Now()
	}
	n.mu.Unlock()
	if len(absent) == 0 {
		return
	}
	full := n.joining()
	_ = n.exchange(ctx, absent[rand.IntN(len(absent))], timeout, sync, full)
	n.deliverEvents()
}
