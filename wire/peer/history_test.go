package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/spread"
)

func init() {
	seeds.Fix()
}

// The bounds that hold once faults have ceased, for a few routers.
const (
	changeBound = 5 * time.Second
	viewBound   = time.Minute
)

// step is one step of a history.
type step struct {
	action string
	node   int
	amount int
	wait   time.Duration
}

// histories draws what goes wrong. Each kind may come at any moment, together
// with others or twice.
func histories(rt *rapid.T) (int, []step) {
	n := rapid.IntRange(2, 6).Draw(rt, "routers")
	actions := []string{"commit", "commit", "pause", "wake", "kill", "restart", "start", "table", "table back", "one table", "part", "heal", "loss", "clean"}
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			action: rapid.SampledFrom(actions).Draw(rt, "action"),
			node:   rapid.IntRange(0, 7).Draw(rt, "node"),
			amount: rapid.IntRange(1, 60).Draw(rt, "amount"),
			wait:   time.Duration(rapid.IntRange(0, 15000).Draw(rt, "wait")) * time.Millisecond,
		}
	}), 1, 12).Draw(rt, "steps")
	return n, steps
}

// act carries out one step.
func (f *fleet) act(s step) {
	i := s.node % len(f.nodes)
	n := f.nodes[i]
	n.mu.Lock()
	down := n.down
	n.mu.Unlock()
	switch s.action {
	case "commit":
		f.ledger.commit(fmt.Sprint(s.node), fmt.Sprint(s.amount))
	case "pause":
		if !down {
			n.pause()
		}
	case "wake":
		n.wake()
	case "kill":
		if !down && len(f.up()) > 1 {
			f.kill(n, s.amount%2 == 0)
		}
	case "restart":
		if down && n.row.until.IsZero() {
			f.restart(i)
		}
	case "start":
		if len(f.nodes) < 8 {
			f.start(s.amount%2 == 0)
		}
	case "table":
		f.ledger.outage(func(*host) bool { return true })
	case "table back":
		f.ledger.outage(nil)
	case "one table":
		f.ledger.outage(func(h *host) bool { return h == n.host })
	case "part":
		bits := s.amount
		f.network.part(func(from, to *host) bool { return bits>>number(from)&1 != bits>>number(to)&1 })
	case "heal":
		f.network.part(nil)
	case "loss":
		f.network.rules(float64(s.amount)/200, float64(s.amount)/100, time.Duration(s.amount)*10*time.Millisecond)
	case "clean":
		f.network.rules(0, 0, 0)
	}
}

// number returns the number in a router's name.
func number(h *host) int {
	n := 0
	_, _ = fmt.Sscanf(h.name, "router-%d", &n)
	return n
}

// headAt returns the newest revision at a time.
func (l *ledger) headAt(at time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	head := uint64(0)
	for _, e := range l.entries {
		if !e.At.After(at) {
			head = e.Revision
		}
	}
	return head
}

// fault returns what is wrong at this moment, or nothing.
func (f *fleet) fault() string {
	for _, n := range f.up() {
		revision, fell := n.installed()
		if fell {
			return fmt.Sprintf("%s installed a revision that was not newer", n.name)
		}
		report := n.spreader.Confirmed()
		limit := spread.FreshnessRuleFor(n.pool.Reach().Expected).MaxAge
		switch report.Standing {
		case spread.Fresh:
			if must := f.ledger.headAt(time.Now().Add(-limit)); revision < must {
				return fmt.Sprintf("%s is fresh at %d, but %d is older than the limit", n.name, revision, must)
			}
		case spread.Holding:
			if !report.Accepts {
				return fmt.Sprintf("%s holds among the smaller part", n.name)
			}
		}
		for _, c := range report.Members {
			if wrong := f.misreported(c); wrong != "" {
				return n.name + " " + wrong
			}
		}
	}
	return ""
}

// misreported returns what is untrue of a confirmation, or nothing.
func (f *fleet) misreported(c spread.Confirmation) string {
	for _, m := range f.nodes {
		if m.name != c.Member.Name || m.pool.Self().Incarnation != c.Member.Incarnation {
			continue
		}
		if has, _ := m.installed(); c.Revision > has {
			return fmt.Sprintf("says that %s confirmed %d, but it has %d", m.name, c.Revision, has)
		}
	}
	return ""
}

// settle ends all faults and returns what is wrong afterwards, or nothing.
func (f *fleet) settle() string {
	f.network.part(nil)
	f.network.rules(0, 0, 0)
	f.ledger.outage(nil)
	for _, n := range f.nodes {
		n.wake()
	}
	if _, ok := await(changeBound, f.everywhere); !ok {
		return fmt.Sprintf("revision %d is not everywhere %v after faults ceased", f.ledger.head(), changeBound)
	}
	if _, ok := await(viewBound, f.complete); !ok {
		return fmt.Sprintf("views differ %v after faults ceased", viewBound)
	}
	time.Sleep(20 * time.Second)
	if !f.complete() || !f.everywhere() {
		return "views or revisions moved without a fault"
	}
	for _, n := range f.up() {
		if !n.spreader.Ready() {
			return n.name + " is not ready"
		}
	}
	return f.fault()
}

func TestHistoriesWithFaultsEndInAgreement(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n, steps := histories(rt)
		var failure string
		synctest.Test(t, func(*testing.T) {
			f := newFleet(n, 3, 2)
			defer f.stop()
			for i, s := range steps {
				time.Sleep(s.wait)
				f.act(s)
				if failure = f.fault(); failure != "" {
					failure = fmt.Sprintf("after step %d: %s", i, failure)
					return
				}
			}
			failure = f.settle()
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}
