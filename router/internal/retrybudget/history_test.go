package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
)

// historySizes are the sizes of the fleets in random histories.
var historySizes = []fleetSize{
	threeRouters,
	eightRouters,
	{routers: 24, engines: 40, perSecond: 400, services: 3, extra: 80},
}

// fleetHistory is a course of changes and faults. Its steps follow each other after
// pauses.
type fleetHistory struct {
	seed  uint64
	size  fleetSize
	steps []fleetStep
}

// fleetStep is one event: what happens after a pause, to which routers or how strongly.
type fleetStep struct {
	pause    time.Duration
	kind     string
	first    int
	count    int
	strength float64
	length   time.Duration
}

// drawFleetHistory draws a course of events, while all engines fail from its beginning on.
func drawFleetHistory(rt *rapid.T) fleetHistory {
	h := fleetHistory{
		seed: rapid.Uint64().Draw(rt, "seed"),
		size: rapid.SampledFrom(historySizes).Draw(rt, "size"),
	}
	for range rapid.IntRange(2, 12).Draw(rt, "steps") {
		h.steps = append(h.steps, fleetStep{
			pause: time.Duration(rapid.IntRange(0, 7000).Draw(rt, "pause")) * time.Millisecond,
			kind: rapid.SampledFrom([]string{
				"move", "move", "move", "load", "load", "fail", "pause", "restart", "suspend", "cut", "join",
			}).Draw(rt, "kind"),
			first:    rapid.IntRange(0, h.size.routers-1).Draw(rt, "first"),
			count:    rapid.IntRange(1, h.size.routers).Draw(rt, "count"),
			strength: rapid.SampledFrom([]float64{0.2, 1, 5}).Draw(rt, "strength"),
			length:   time.Duration(rapid.IntRange(500, 8000).Draw(rt, "length")) * time.Millisecond,
		})
	}
	return h
}

// routersOf returns the routers that a step is about.
func (s fleetStep) routersOf(f *fleet) []int {
	var routers []int
	for i := range s.count {
		routers = append(routers, (s.first+i)%len(f.routers))
	}
	return routers
}

// apply lets a step happen.
func (f *fleet) apply(s fleetStep) {
	switch s.kind {
	case "move":
		f.moveCallers(s.routersOf(f))
	case "load":
		f.load = s.strength
	case "fail":
		f.strike(allFail, s.length)
	case "pause":
		f.strike(allPause, s.length)
	case "restart":
		for _, i := range s.routersOf(f) {
			f.restart(f.routers[i])
		}
	case "suspend":
		f.suspend(s.first, s.length)
	case "cut":
		for _, i := range s.routersOf(f) {
			f.routers[i].side = 1
		}
		f.schedule(s.length, f.heal)
	case "join":
		f.join()
	}
}

// play plays a history and returns what was exceeded, or an empty string.
func (h fleetHistory) play(_ *testing.T) string {
	f := newFleet(h.seed, h.size, routerRules{secureFirst: true, useExtra: true})
	f.run(warmup)
	f.strike(allFail, longOutage)
	for _, s := range h.steps {
		f.run(s.pause)
		f.apply(s)
	}
	f.run(windowLength)
	if most := f.mostBeyondRatio(); most > float64(h.size.extra) {
		return fmt.Sprintf("%.0f retries beyond the ratio, of %d allowed: %+v", most, h.size.extra, h)
	}
	return ""
}

// TestNoHistoryExceedsTheBound guards against retries beyond the bound while callers move
// between routers and their load rises and falls, beside routers that start again, join,
// are suspended or cut off from each other.
func TestNoHistoryExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawFleetHistory(rt)
		bubble.Run(t, rt, h.play)
	})
}
