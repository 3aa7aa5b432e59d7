package uplink_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/uplink"
)

func init() { seeds.Fix() }

const (
	// known is the time in which a router has to know that it is cut off, or no longer.
	known = time.Second

	// usualRate is the number of requests a second of a router.
	usualRate = 10

	// routersPerCase is the number of routers of a case, in one fleet or several.
	routersPerCase = 240
)

// Guards against routers that do not learn that they, and not the servers, are cut off, or learn
// it late, and against others that take themselves for cut off.
func TestRoutersThatAreCutOffKnowItWithinASecond(t *testing.T) {
	states := map[string]linkState{"hang": linkHangs, "reset": linkResets, "refuse": linkRefuses}
	for _, routers := range []int{3, 8, 80, 400} {
		for name, state := range states {
			t.Run(fmt.Sprintf("%d routers %s", routers, name), func(t *testing.T) {
				for i := range uint64(max(1, routersPerCase/routers)) {
					seed := seeds.Number() + i
					synctest.Test(t, func(t *testing.T) { checkCut(t, newFleet(t, seed, routers, usualRate), state) })
				}
			})
		}
	}
}

// checkCut cuts two thirds of the routers off from all servers for some seconds.
func checkCut(t *testing.T, f *fleet, state linkState) {
	g := gomega.NewWithT(t)
	defer f.close()
	time.Sleep(5 * time.Second)
	cut, cutAt := f.routers[:2*len(f.routers)/3], time.Now()
	for _, r := range cut {
		r.setLinks(state, serverCount)
	}
	time.Sleep(9 * time.Second)
	for _, r := range cut {
		changes, changedAt := r.history()
		g.Expect(changes).To(gomega.HaveLen(1), "router %d", r.number)
		g.Expect(changes[0].State).To(gomega.Equal(uplink.CutOff), "router %d", r.number)
		g.Expect(r.monitor.State()).To(gomega.Equal(uplink.CutOff), "router %d", r.number)
		if deadline, shown := r.deadline(state, cutAt); shown {
			g.Expect(changedAt[0]).To(gomega.BeTemporally("<=", deadline), "router %d, cut at %v", r.number, cutAt)
		}
	}
	for _, r := range cut {
		r.setLinks(linkUp, 0)
	}
	time.Sleep(known)
	synctest.Wait()
	for _, r := range f.routers {
		g.Expect(r.monitor.State()).To(gomega.Equal(uplink.Reached), "router %d", r.number)
	}
	for _, r := range f.routers[len(cut):] {
		g.Expect(r.timeIn(uplink.CutOff, time.Time{})).To(gomega.BeZero(), "router %d", r.number)
	}
}

// deadline returns by when a router has to know of a cut. One that refuses new connections only
// shows with the next ones, which may be probes before any request shows it.
func (r *router) deadline(state linkState, cutAt time.Time) (deadline time.Time, shown bool) {
	if state != linkRefuses {
		return cutAt.Add(known), true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shownAt.Add(known), !r.shownAt.IsZero()
}

// Guards against servers that all stand still for a moment and are taken for a cut.
func TestPauseOfAllServersIsNoCut(t *testing.T) {
	for _, routers := range []int{1, 3, 8, 80} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFleet(t, seeds.Number(), routers, usualRate)
				defer f.close()
				for range 5 {
					time.Sleep(4 * time.Second)
					f.pause(1500*time.Millisecond, 20*time.Millisecond)
				}
				time.Sleep(4 * time.Second)
				for _, r := range f.routers {
					changes, _ := r.history()
					g.Expect(changes).To(gomega.BeEmpty())
				}
			})
		})
	}
}

// Guards against a router that takes itself for cut off as another one hears servers a moment
// earlier after all of them stood still.
func TestRoutersThatHearServersAgainOneAfterTheOtherAreNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, seeds.Number(), 6, usualRate)
		defer f.close()
		for range 20 {
			time.Sleep(3 * time.Second)
			for _, r := range f.routers {
				r.setLinks(linkHangs, serverCount)
			}
			time.Sleep(1500 * time.Millisecond)
			for _, r := range f.routers {
				r.setLinks(linkUp, 0)
				time.Sleep(30 * time.Millisecond)
			}
		}
		time.Sleep(3 * time.Second)
		for _, r := range f.routers {
			changes, _ := r.history()
			g.Expect(changes).To(gomega.BeEmpty())
		}
	})
}

// Guards against callers that wait where no router reaches a server, and against a router that
// stays in that state when the links are back.
func TestRoutersThatAreAllCutOffSaySo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, seeds.Number(), 6, usualRate)
		defer f.close()
		time.Sleep(5 * time.Second)
		for _, r := range f.routers {
			r.setLinks(linkHangs, serverCount)
		}
		time.Sleep(4 * time.Second)
		for _, r := range f.routers {
			g.Expect(r.monitor.State()).To(gomega.Equal(uplink.Silent))
			r.setLinks(linkUp, 0)
		}
		time.Sleep(known)
		for _, r := range f.routers {
			g.Expect(r.monitor.State()).To(gomega.Equal(uplink.Reached))
		}
	})
}

// Guards against a router that takes further work while it has no time for its own.
func TestRouterWithoutProcessorTimeIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, seeds.Number(), 1, usualRate)
		time.Sleep(5 * time.Second)
		g.Expect(f.routers[0].monitor.Behind(time.Now())).To(gomega.BeFalse())
		f.close()
		time.Sleep(time.Second) // No tick comes.
		g.Expect(f.routers[0].monitor.Behind(time.Now())).To(gomega.BeTrue())
	})
}

// Guards against a router that reaches some of the servers and gives up all of them.
func TestHalfACutIsNone(t *testing.T) {
	for name, state := range map[string]linkState{"hang": linkHangs, "reset": linkResets, "refuse": linkRefuses} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seeds.Number(), 6, usualRate)
				defer f.close()
				time.Sleep(5 * time.Second)
				cut := time.Now()
				f.routers[0].setLinks(state, serverCount/2)
				time.Sleep(30 * time.Second)
				g := gomega.NewWithT(t)
				g.Expect(f.routers[0].timeIn(uplink.CutOff, cut)).To(gomega.BeNumerically("<", 3*time.Second))
			})
		})
	}
}

// change is a change of a router's links in a history.
type change struct {
	pause   time.Duration
	router  int
	state   linkState
	servers int
}

// TestNoHistoryLeavesARouterInAWrongState checks with random histories of cuts, by share and by
// router, that flap, overlap and heal, and of pauses of all servers, that a router which is not
// cut off from all servers does not stay in the state, and one that is knows it.
func TestNoHistoryLeavesARouterInAWrongState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 8, 24}).Draw(rt, "routers")
		seed := rapid.Uint64().Draw(rt, "seed")
		var history []change
		for range rapid.IntRange(1, 8).Draw(rt, "changes") {
			history = append(history, change{
				pause:   time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond,
				router:  rapid.IntRange(0, routers-2).Draw(rt, "router"),
				state:   linkState(rapid.IntRange(0, 2).Draw(rt, "state")),
				servers: rapid.SampledFrom([]int{1, serverCount / 2, serverCount}).Draw(rt, "servers"),
			})
		}
		pauses := rapid.IntRange(0, 2).Draw(rt, "pauses")
		bubble.Run(t, rt, func(t *testing.T) (failure string) {
			f := newFleet(t, seed, routers, usualRate)
			defer f.close()
			time.Sleep(3 * time.Second)
			for i, c := range history {
				if i < pauses {
					f.pause(1500*time.Millisecond, 0)
				}
				f.routers[c.router].setLinks(c.state, c.servers)
				time.Sleep(c.pause)
			}
			time.Sleep(2*time.Second + 2*known)
			return f.wrongState()
		})
	})
}

// wrongState describes a router whose state does not fit its links, or returns an empty string.
func (f *fleet) wrongState() string {
	for _, r := range f.routers {
		r.mu.Lock()
		cut := r.state != linkUp && r.unreachable == serverCount
		healthy := r.state == linkUp || r.unreachable <= 1
		r.mu.Unlock()
		state := r.monitor.State()
		if cut && state != uplink.CutOff || healthy && (state == uplink.CutOff || state == uplink.Silent) {
			return fmt.Sprintf("router %d is %v, cut off: %v", r.number, state, cut)
		}
	}
	return ""
}
