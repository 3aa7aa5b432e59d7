package attempt_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/router/internal/attempt"
	"snipetally.example/standin/engine"
)

// scenario is the input of one run of the property, drawn before the run.
type scenario struct {
	config     engine.Config
	epochKnown bool
	faults     []engine.Fault
	calls      []scenarioCall
	incidents  []incident
}

// scenarioCall is one request.
type scenarioCall struct {
	stream bool
	tokens int
	at     time.Duration

	// callerTimeout is when the caller cancels, and failAfter the number of
	// events after which it goes away. Zero means never.
	callerTimeout time.Duration
	failAfter     int
}

// incident is an event that affects the engine, at a time after the start.
type incident struct {
	at   time.Duration
	kind int
}

// The kinds of incident.
const (
	incidentSilence = iota
	incidentCrash
	incidentRestart
	incidentSlowdown
	incidentRecover
	incidentKinds
)

// drawScenario draws faults at any event, incidents at any time, and callers that
// go away.
func drawScenario(rt *rapid.T) scenario {
	millis := func(upper int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, upper).Draw(rt, name)) * time.Millisecond
	}
	s := scenario{epochKnown: rapid.Bool().Draw(rt, "epoch known")}
	s.config.Slots = rapid.IntRange(1, 4).Draw(rt, "slots")
	s.config.TokenLatency = millis(300, "token latency") + time.Millisecond
	s.config.OrphanTimeout = rapid.SampledFrom([]time.Duration{0, time.Millisecond, 200 * time.Millisecond}).Draw(rt, "orphan timeout")
	for range rapid.IntRange(0, 4).Draw(rt, "faults") {
		s.faults = append(s.faults, engine.Fault{
			Kind:  engine.FaultKind(rapid.IntRange(int(engine.FaultBreak), int(engine.FaultShortBody)).Draw(rt, "fault")),
			Event: rapid.IntRange(0, 8).Draw(rt, "event"),
		})
	}
	for range rapid.IntRange(1, 4).Draw(rt, "calls") {
		s.calls = append(s.calls, scenarioCall{
			stream:        rapid.Bool().Draw(rt, "stream"),
			tokens:        rapid.IntRange(1, 6).Draw(rt, "tokens"),
			at:            millis(1000, "at"),
			callerTimeout: rapid.SampledFrom([]time.Duration{0, 0, 0, millis(2000, "caller timeout")}).Draw(rt, "has caller timeout"),
			failAfter:     rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(rt, "fail after"),
		})
	}
	for range rapid.IntRange(0, 4).Draw(rt, "incidents") {
		s.incidents = append(s.incidents, incident{at: millis(2500, "incident"), kind: rapid.IntRange(0, incidentKinds-1).Draw(rt, "kind")})
	}
	return s
}

// apply triggers the incident on the engine.
func (i incident) apply(e *engine.Engine) {
	switch i.kind {
	case incidentSilence:
		e.BlackholeConnections()
	case incidentCrash:
		e.Crash()
	case incidentRestart:
		e.Restart()
	case incidentSlowdown:
		e.SetLatencyFactor(40)
	case incidentRecover:
		e.SetLatencyFactor(1)
	}
}

// callResult is the result of one request.
type callResult struct {
	call     attempt.EngineCall
	outcome  attempt.Outcome
	got      *recordingSink
	released int
}

// runScenario runs a scenario and returns its results and the engine, an hour of
// virtual time after the last caller had its result.
func runScenario(t *testing.T, s scenario) ([]callResult, *engine.Engine) {
	h := newHarness(t, s.config)
	if s.epochKnown {
		h.learnEpoch()
	}
	h.engine.Inject(s.faults...)
	for _, incident := range s.incidents {
		time.AfterFunc(incident.at, func() { incident.apply(h.engine) })
	}
	results := make([]callResult, len(s.calls))
	var group sync.WaitGroup
	for n, drawn := range s.calls {
		group.Go(func() {
			time.Sleep(drawn.at)
			ctx := context.Background()
			if drawn.callerTimeout > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, drawn.callerTimeout)
				defer cancel()
			}
			r := &results[n]
			r.call = h.call(fmt.Sprintf("call-%d", n), drawn.stream, drawn.tokens)
			r.call.Release = func() { r.released++ }
			r.got = &recordingSink{failAfter: drawn.failAfter}
			r.outcome = h.runner.CallEngine(ctx, h.link, r.call, r.got)
		})
	}
	group.Wait()
	h.close()
	h.engine.Restart()
	h.engine.SetLatencyFactor(1)
	time.Sleep(time.Hour)
	synctest.Wait()
	return results, h.engine
}

// violation describes how the result contradicts the engine's record. It returns
// "" if it doesn't.
func (r callResult) violation(eng *engine.Engine) string {
	record, _ := eng.Record(r.call.AttemptID)
	expected, got := expectedOutput(r.call), r.got.text()
	o := r.outcome
	switch {
	case r.released != 1:
		return fmt.Sprintf("slot released %d times", r.released)
	case record.Starts > 1:
		return fmt.Sprintf("ran %d times", record.Starts)
	case record.Arrivals > 1:
		return fmt.Sprintf("sent %d times", record.Arrivals)
	case o.Run == attempt.RunNo && record.Starts != 0:
		return "reported not run, but ran"
	case o.Run == attempt.RunYes && record.Starts == 0:
		return "reported run, but did not run"
	case o.Run == attempt.RunNo && o.ResponseStarted:
		return "reported not run, but response started"
	case o.Complete != r.got.ended():
		return fmt.Sprintf("complete %t, but end marker delivered %t", o.Complete, r.got.ended())
	case o.Complete && got != expected:
		return fmt.Sprintf("complete response %q, expected %q", got, expected)
	case o.Complete && record.State != engine.StateDone:
		return "complete response of an attempt that the engine did not complete"
	case !strings.HasPrefix(expected, got):
		return fmt.Sprintf("partial response %q, expected a prefix of %q", got, expected)
	case o.ResponseStarted != (len(r.got.events) > 0 || r.got.head.Status != 0):
		return "ResponseStarted does not match what was delivered"
	}
	return ""
}

func TestOutcomesMatchEngineRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		bubble.Run(t, rt, func(t *testing.T) (failure string) {
			results, eng := runScenario(t, s)
			for n, r := range results {
				if wrong := r.violation(eng); wrong != "" {
					failure = fmt.Sprintf("call %d: %s; outcome %+v", n, wrong, r.outcome)
				}
			}
			return failure
		})
	})
}
