package peer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/spread"
)

func init() {
	seeds.Fix()
}

// Times within which a small fleet converges after the faults have ended.
const (
	changeBound     = 5 * time.Second
	membershipBound = time.Minute
)

// step is one action of a random history, after a wait.
type step struct {
	action string
	router int
	amount int
	wait   time.Duration
}

// drawHistory draws the number of routers and the steps. Faults may start at
// any time, overlap and repeat.
func drawHistory(rt *rapid.T) (int, []step) {
	n := rapid.IntRange(2, 6).Draw(rt, "routers")
	actions := []string{"commit", "commit", "pause", "resume", "kill", "restart", "start", "table outage", "table recovery", "one router without table", "partition", "heal", "packet loss", "no packet loss"}
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			action: rapid.SampledFrom(actions).Draw(rt, "action"),
			router: rapid.IntRange(0, 7).Draw(rt, "router"),
			amount: rapid.IntRange(1, 60).Draw(rt, "amount"),
			wait:   time.Duration(rapid.IntRange(0, 15000).Draw(rt, "wait")) * time.Millisecond,
		}
	}), 1, 12).Draw(rt, "steps")
	return n, steps
}

// apply carries out one step.
func (f *fleet) apply(s step) {
	i := s.router % len(f.routers)
	r := f.routers[i]
	r.mu.Lock()
	down := r.down
	r.mu.Unlock()
	switch s.action {
	case "commit":
		f.table.commit(fmt.Sprint(s.router), fmt.Sprint(s.amount))
	case "pause":
		if !down {
			r.pause()
		}
	case "resume":
		r.resume()
	case "kill":
		if !down && len(f.running()) > 1 {
			f.kill(r, s.amount%2 == 0)
		}
	case "restart":
		if down && r.vmEntry.removed.IsZero() {
			f.restart(i)
		}
	case "start":
		if len(f.routers) < 8 {
			f.add(s.amount%2 == 0)
		}
	case "table outage":
		f.table.setOutage(func(*host) bool { return true })
	case "table recovery":
		f.table.setOutage(nil)
	case "one router without table":
		f.table.setOutage(func(h *host) bool { return h == r.host })
	case "partition":
		bits := s.amount
		f.network.setPartition(func(from, to *host) bool { return bits>>routerNumber(from)&1 != bits>>routerNumber(to)&1 })
	case "heal":
		f.network.setPartition(nil)
	case "packet loss":
		f.network.setFaults(float64(s.amount)/200, float64(s.amount)/100, time.Duration(s.amount)*10*time.Millisecond)
	case "no packet loss":
		f.network.setFaults(0, 0, 0)
	}
}

// routerNumber returns the number in the name of a router.
func routerNumber(h *host) int {
	n := 0
	_, _ = fmt.Sscanf(h.name, "router-%d", &n)
	return n
}

// headAt returns the revision that was the newest at a time.
func (t *fakeTable) headAt(at time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	head := uint64(0)
	for _, e := range t.entries {
		if !e.At.After(at) {
			head = e.Revision
		}
	}
	return head
}

// violation returns an invariant that is violated now, or the empty string.
func (f *fleet) violation() string {
	for _, r := range f.running() {
		revision, regressed := r.installed()
		if regressed {
			return fmt.Sprintf("%s installed a revision that is not newer than the last", r.name)
		}
		report := r.replicator.Report()
		limit := spread.FreshnessRuleFor(r.node.Reachability().Expected).MaxAge
		switch report.Standing {
		case spread.Fresh:
			if required := f.table.headAt(time.Now().Add(-limit)); revision < required {
				return fmt.Sprintf("%s is fresh at revision %d, but revision %d is older than the maximum age", r.name, revision, required)
			}
		case spread.Holding:
			if !report.Accepts {
				return fmt.Sprintf("%s holds in a minority partition", r.name)
			}
		}
		for _, c := range report.Members {
			if violation := f.confirmationViolation(c); violation != "" {
				return r.name + " " + violation
			}
		}
	}
	return ""
}

// confirmationViolation returns what is wrong with a confirmation, or the empty
// string.
func (f *fleet) confirmationViolation(c spread.Confirmation) string {
	for _, r := range f.routers {
		if r.name != c.Member.Name || r.node.Self().Incarnation != c.Member.Incarnation {
			continue
		}
		if installed, _ := r.installed(); c.Revision > installed {
			return fmt.Sprintf("reports that %s confirmed revision %d, but it has %d", r.name, c.Revision, installed)
		}
	}
	return ""
}

// healAndCheck ends all faults and returns what is wrong after the fleet should
// have converged, or the empty string.
func (f *fleet) healAndCheck() string {
	f.network.setPartition(nil)
	f.network.setFaults(0, 0, 0)
	f.table.setOutage(nil)
	for _, r := range f.routers {
		r.resume()
	}
	if _, ok := waitFor(changeBound, f.upToDate); !ok {
		return fmt.Sprintf("not all routers have revision %d %v after the faults ended", f.table.head(), changeBound)
	}
	if _, ok := waitFor(membershipBound, f.viewsComplete); !ok {
		return fmt.Sprintf("views of the members differ %v after the faults ended", membershipBound)
	}
	time.Sleep(20 * time.Second)
	if !f.viewsComplete() || !f.upToDate() {
		return "views or revisions changed without a fault"
	}
	for _, r := range f.running() {
		if !r.replicator.Ready() {
			return r.name + " is not ready"
		}
	}
	return f.violation()
}

func TestFleetConvergesAfterRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n, steps := drawHistory(rt)
		bubble.Run(t, rt, func(*testing.T) string {
			f := newFleet(n, 3, 2)
			defer f.stop()
			for i, s := range steps {
				time.Sleep(s.wait)
				f.apply(s)
				if wrong := f.violation(); wrong != "" {
					return fmt.Sprintf("after step %d: %s", i, wrong)
				}
			}
			return f.healAndCheck()
		})
	})
}
