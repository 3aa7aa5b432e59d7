package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case, from the moment of the copy.
const (
	leaveAfter    = 300 * time.Millisecond  // until the entry of the runner is removed
	leaveAway     = 2400 * time.Millisecond // until the store is away
	leaveBack     = 3200 * time.Millisecond // until the store is back
	removeAgain   = 1 * time.Second         // from there until the removal is written again
	leaveServing  = 3600 * time.Millisecond // for which the runner serves after its entry was removed
	leaveObserved = 9 * time.Second         // for which requests are sent

	// acknowledgment is the longest time in which the routers learn of a removal; they have to
	// within drain-timeout-ms.
	acknowledgment = time.Second
)

// playBackEntry has a runner leave that never reports that it drains: its entry is removed, and it goes on
// serving for a while. Then the store is away for a moment and comes back from a copy in which the
// entry is still there. Routers that have acknowledged that the runner is gone must not use it again.
func playBackEntry(d *deployment) (bool, error) {
	d.logBeats, d.unsafe = true, true
	operator := &operator{d: d}
	operator.put(configOfKind("unsafe", 7, 0, "key-kept"))
	var runners []*runner
	for i := range 3 {
		r, err := d.startRunner(fmt.Sprintf("i-%d", i+1), "wuno96b", 150*time.Millisecond, time.Duration(i)*heartbeat/3, servePlain)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := d.startRouters(2); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, r := range d.routers {
		for n := range 8 {
			callers.Go(func() { d.call(r, fmt.Sprintf("%d-%d", i, n), "key-kept", stop, &mu, &all) })
		}
	}
	time.Sleep(calmTime)
	leaving := runners[2]
	storeCopy := d.store.copy()
	copied := time.Now()
	d.logf("store: a copy is taken at version %d", storeCopy.version)
	time.Sleep(leaveAfter)
	leaving.leave()
	if err := d.store.removeRow("servers", leaving.id); err != nil {
		return false, err
	}
	removedAt := time.Now()
	d.sayf("store: the entry of %s is removed, confirmed at %.1f", leaving.id, ms(d, removedAt))
	time.AfterFunc(leaveServing, func() {
		d.sayf("runner %s exits", leaving.id)
		_ = leaving.server.Close()
	})
	if d.trouble {
		time.Sleep(time.Until(copied.Add(leaveAway)))
		d.store.goAway()
		d.sayf("store: away")
		time.Sleep(time.Until(copied.Add(leaveBack)))
		d.store.restore(storeCopy)
		d.sayf("store: back from a copy that is %.1f s old, at version %d", time.Since(copied).Seconds(), storeCopy.version)
		if err := d.store.comeBack(); err != nil {
			return false, err
		}
		time.Sleep(removeAgain)
		if err := d.store.removeRow("servers", leaving.id); err != nil {
			return false, err
		}
		d.logf("store: the removal of the entry of %s is written again", leaving.id)
	}
	time.Sleep(time.Until(copied.Add(leaveObserved)))
	close(stop)
	callers.Wait()
	return judgeLeaving(d, leaving, removedAt, all)
}

// leave ends the heartbeats of a runner.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// judgeLeaving looks for requests that reached the runner later than drain-timeout-ms after the
// routers had acknowledged that it was gone. They have if none reached it any more from some time after
// the removal on.
func judgeLeaving(d *deployment, leaving *runner, removedAt time.Time, all []sent) (bool, error) {
	served, lost := 0, 0
	byAttempt := make(map[string]sent)
	for _, s := range all {
		byAttempt[s.attempt] = s
		if s.status == http.StatusOK {
			served++
		} else if s.status == http.StatusBadGateway || s.status == http.StatusGatewayTimeout {
			lost++
		}
	}
	acknowledgedAt := removedAt.Add(acknowledgment)
	before, between, late := 0, 0, make(map[string]int)
	total := 0
	for _, run := range leaving.allRuns() {
		d.logf("run: %s at %s at %.1f", run.attempt, run.runner, ms(d, run.at))
		switch {
		case run.at.Before(removedAt):
			before++
		case run.at.After(acknowledgedAt.Add(drainTimeout)):
			late[byAttempt[run.attempt].router]++
			total++
		case run.at.After(acknowledgedAt):
			between++
		}
	}
	d.sayf("requests: %d, served: %d, answered 502 or 504, as they may have run: %d", len(all), served, lost)
	d.sayf("requests at %s: before its removal %d; from %s to %s after it %d; later %d, by router %v",
		leaving.id, before, acknowledgment, acknowledgment+drainTimeout, between, total, late)
	if before == 0 || between > 0 {
		return false, errCannotRun{fmt.Errorf("the routers did not use the runner, or did not acknowledge that it was gone")}
	}
	return total > 0, nil
}
