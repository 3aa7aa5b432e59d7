package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/placement"
)

// silencePolicy is what routers do about an engine that is silent.
type silencePolicy uint8

const (
	// ignoreSilence does nothing.
	ignoreSilence silencePolicy = iota

	// recordSilence counts it as a stall of the engine and waits on.
	recordSilence

	// leaveSilent counts it as a stall and a failure of the engine, and sends the
	// request to another one.
	leaveSilent
)

// silenceNames are the names of the policies in tests.
var silenceNames = [...]string{"ignored", "waited for", "left"}

// The limits of silence, as in the relay.
const (
	stallFactor       = 8
	stallTargetFactor = 2
	stallGapFactor    = 4
	minStallGap       = 800 * time.Millisecond
)

// The limits of retries.
const (
	maxAttempts = 3
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// silenceWatch watches a request for silence of its engine.
type silenceWatch struct {
	sim         *simulation
	call        *call
	request     *engineRequest
	reservation *placement.Reservation
	router      *placement.Balancer

	// awaited counts the events that were awaited. Only the last of them can be
	// late.
	awaited int
}

// watch starts to watch a request.
func (s *simulation) watch(c *call, request *engineRequest, reservation *placement.Reservation, router *placement.Balancer) *silenceWatch {
	w := &silenceWatch{sim: s, call: c, request: request, reservation: reservation, router: router}
	w.await(max(stallFactor*reservation.ExpectedLatency(), stallTargetFactor*c.class.target))
	return w
}

// await handles silence after the limit, unless there is progress before.
func (w *silenceWatch) await(limit time.Duration) {
	w.awaited++
	n := w.awaited
	if w.sim.fleet.silence == ignoreSilence {
		return
	}
	w.sim.schedule(limit, func() {
		if w.awaited != n {
			return
		}
		w.reservation.RecordStall(w.sim.now)
		if w.sim.fleet.silence == leaveSilent && len(w.call.tried) < maxAttempts &&
			w.sim.budgets[w.router].TakeSpeculative(w.sim.budgetTime(), w.call.request.Service) {
			w.stop()
			w.request.canceled = true
			w.reservation.Done(w.sim.now, placement.Failed)
			w.sim.send(w.call)
		}
	})
}

// progress restarts the limit after an event.
func (w *silenceWatch) progress() { w.await(max(stallGapFactor*w.call.class.gap, minStallGap)) }

// stop ends the watch.
func (w *silenceWatch) stop() { w.awaited++ }

// budgetTime returns the time in the budgets, which start at the real time.
func (s *simulation) budgetTime() time.Time { return s.budgetsStart.Add(s.now.Sub(s.startedAt)) }

// load returns the number of requests at the engine that are not canceled.
func (e *engine) load() int {
	n := 0
	for _, requests := range [][]*engineRequest{e.running, e.waiting} {
		for _, r := range requests {
			if !r.canceled {
				n++
			}
		}
	}
	return n
}

// sampleInterval is the time between two looks at the load of the engines.
const sampleInterval = 250 * time.Millisecond

// comeback is how an engine gets its load back after a pause.
type comeback struct {
	// lowest is the least load since the pause began, as a share of the mean load of
	// the other engines.
	lowest float64

	// away says that the load has fallen under half of that mean and has not been
	// back since, and back is the time from the end of the pause until it was.
	away bool
	back time.Duration

	// peak is the largest load after the pause, as a share of the largest that any
	// other engine has had.
	peak float64
}

// pauseEngine has an engine pause for a time, and returns how its load came back in
// the time after it.
func (s *simulation) pauseEngine(id string, length, after time.Duration) comeback {
	paused := s.engines[id]
	paused.pausedUntil = s.now.Add(length)
	result, otherPeak := comeback{lowest: 1}, 0
	for s.now.Before(paused.pausedUntil.Add(after)) {
		s.run(sampleInterval)
		others := 0
		for _, e := range s.engines {
			if e != paused {
				others += e.load()
				otherPeak = max(otherPeak, e.load())
			}
		}
		mean := float64(others) / float64(len(s.engines)-1)
		share := float64(paused.load()) / mean
		result.lowest = min(result.lowest, share)
		switch {
		case share < 0.5 && result.back == 0:
			result.away = true
		case share >= 0.5 && result.away:
			result.away, result.back = false, s.now.Sub(paused.pausedUntil)
		}
		if s.now.After(paused.pausedUntil) {
			result.peak = max(result.peak, float64(paused.load())/float64(otherPeak))
		}
	}
	return result
}

// TestEngineGetsItsLoadBackAfterAPause has an engine pause, so that all routers
// count it as failing at once. It guards against an engine that stays idle after
// that, and against routers that all send it their requests at once.
func TestEngineGetsItsLoadBackAfterAPause(t *testing.T) {
	for _, routers := range []int{8, 40} {
		for _, perSecond := range []float64{120, 180} {
			for _, silence := range []silencePolicy{recordSilence, leaveSilent} {
				t.Run(fmt.Sprintf("%d routers, %.0f requests a second, silence %s", routers, perSecond, silenceNames[silence]), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					class := question
					class.perSecond = perSecond
					s := newFleet(1, fleetModel{
						engines: 12, routers: routers, engine: patternEngine, directory: true, silence: silence,
						reportInterval: max(reportInterval, time.Duration(routers)*10*time.Millisecond),
					}, class)
					s.traffic(38 * time.Second)
					s.run(15 * time.Second)
					result := s.pauseEngine("engine-3", 1500*time.Millisecond, 20*time.Second)
					s.run(16 * time.Second)
					t.Logf("%+v", result)
					if silence == leaveSilent {
						g.Expect(result.lowest).To(gomega.BeNumerically("<", 0.3), "routers leave the engine")
					}
					g.Expect(result.away).To(gomega.BeFalse(), "load is back")
					g.Expect(result.back).To(gomega.BeNumerically("<", 10*time.Second))
					g.Expect(result.peak).To(gomega.BeNumerically("<", 1.25))
					s.expectOnTime(g, class.name)
				})
			}
		}
	}
}
