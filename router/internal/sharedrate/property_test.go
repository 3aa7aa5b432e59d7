package sharedrate_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/seeds"
)

// init fixes the seed, so that a run gives the same verdict every time.
func init() { seeds.Fix() }

// history is a course of limits and faults. Its steps follow each other after pauses.
type history struct {
	seed   uint64
	config fleetConfig
	steps  []step
}

// step is one event: what happens to which router after a pause.
type step struct {
	pause  time.Duration
	kind   string
	router int
	limit  float64
	length time.Duration
}

// drawHistory draws a course of events.
func drawHistory(rt *rapid.T) history {
	h := history{
		seed: rapid.Uint64().Draw(rt, "seed"),
		config: fleetConfig{
			routers:   rapid.SampledFrom([]int{3, 8, 24}).Draw(rt, "routers"),
			delay:     time.Duration(rapid.IntRange(1, 20).Draw(rt, "delay")) * time.Millisecond,
			loss:      rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(rt, "loss"),
			perSecond: rapid.SampledFrom([]float64{3, 10, 60}).Draw(rt, "demand"),
			most:      rapid.SampledFrom([]float64{0, 0.8}).Draw(rt, "most"),
		},
	}
	for range rapid.IntRange(1, 6).Draw(rt, "steps") {
		h.steps = append(h.steps, step{
			pause:  time.Duration(rapid.IntRange(0, 6000).Draw(rt, "pause")) * time.Millisecond,
			kind:   rapid.SampledFrom([]string{"limit", "limit", "end", "suspend", "restart", "restart all", "cut"}).Draw(rt, "kind"),
			router: rapid.IntRange(0, h.config.routers-1).Draw(rt, "router"),
			limit:  rapid.SampledFrom([]float64{0, 0.2, 1, 4.4, 12, 30}).Draw(rt, "limit"),
			length: time.Duration(rapid.IntRange(100, 8000).Draw(rt, "length")) * time.Millisecond,
		})
	}
	return h
}

// apply lets a step happen.
func (f *fleet) apply(s step) {
	switch s.kind {
	case "limit":
		f.server.name(s.limit)
	case "end":
		f.server.name(-1)
	case "suspend":
		f.routers[s.router].suspend(s.length)
	case "restart":
		f.routers[s.router].restart()
	case "restart all":
		f.restartAll()
	case "cut":
		f.cut(s.length, func(i int) int {
			if i <= s.router {
				return 1
			}
			return 0
		})
	}
}

// play plays a history and returns the violation of the rule, or an empty string.
func (h history) play(t *testing.T) string {
	t.Helper()
	f := newFleet(t, h.seed, h.config)
	defer f.close()
	time.Sleep(5 * time.Second)
	f.server.name(h.steps[0].limit)
	for _, s := range h.steps {
		time.Sleep(s.pause)
		f.apply(s)
	}
	time.Sleep(maxFaultTime)
	calm := time.Now()
	time.Sleep(settledTime + observedTime)
	violation := f.server.violation(f.excused...)
	if violation == "" {
		violation = f.lack(calm.Add(settledTime), time.Now())
	}
	if violation == "" {
		return ""
	}
	return fmt.Sprintf("%s: %+v", violation, h)
}

const (
	// maxFaultTime is the longest time of a suspension or a partition.
	maxFaultTime = 8 * time.Second

	// settledTime is how long after the last fault, and after a change of the limit, the
	// server is used as it should. observedTime is the time after that in which its
	// requests are counted.
	settledTime  = 3 * time.Second
	observedTime = 8 * time.Second

	// minUse is the least part of a limit that is used if twice as much is wanted.
	minUse = 0.5

	// maxDeviations is the number of standard deviations by which the number of requests
	// at random times may lie below its mean.
	maxDeviations = 4.5
)

// lack returns how much less the server got in a span than it should have, or an empty
// string. With many lost datagrams nothing is expected.
func (f *fleet) lack(from, to time.Time) string {
	if f.loss > 0.1 {
		return ""
	}
	mean := f.perSecond * to.Sub(from).Seconds()
	used, wanted := f.server.between(from, to), (mean-maxDeviations*math.Sqrt(mean))/to.Sub(from).Seconds()
	if limit, limited := f.server.highest(from, to); limited {
		wanted = minUse * min(limit, f.perSecond/2)
	}
	if used < wanted {
		return fmt.Sprintf("%.2f requests a second, at least %.2f expected", used, wanted)
	}
	return ""
}

// Guards against more requests than a limit allows while limits change and routers are
// suspended, replaced and cut off from each other, and against servers that are hardly used
// once that is over.
func TestNoHistoryBreaksALimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		bubble.Run(t, rt, h.play)
	})
}
