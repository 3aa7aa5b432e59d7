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

	"snipetally.example/router/internal/attempt"
	"snipetally.example/standin/engine"
)

// history is what one run of the property does, drawn before the run.
type history struct {
	config engine.Config
	primed bool
	faults []engine.Fault
	calls  []drawnCall
	blows  []blow
}

// drawnCall is one request.
type drawnCall struct {
	stream bool
	tokens int
	at     time.Duration

	// stay is how long the caller stays, leaves after how many events it goes
	// away; zero means to the end.
	stay   time.Duration
	leaves int
}

// blow is something that happens to the engine.
type blow struct {
	at   time.Duration
	kind int
}

// The kinds of blow.
const (
	blowSilence = iota
	blowCrash
	blowRestart
	blowStraggle
	blowRecover
	blowKinds
)

// drawHistory draws faults at any event, blows at any time and callers who
// leave.
func drawHistory(rt *rapid.T) history {
	millis := func(most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
	}
	h := history{primed: rapid.Bool().Draw(rt, "primed")}
	h.config.Slots = rapid.IntRange(1, 4).Draw(rt, "slots")
	h.config.Pace = millis(300, "pace") + time.Millisecond
	h.config.Orphan = rapid.SampledFrom([]time.Duration{0, time.Millisecond, 200 * time.Millisecond}).Draw(rt, "orphan")
	for range rapid.IntRange(0, 4).Draw(rt, "faults") {
		h.faults = append(h.faults, engine.Fault{
			Kind:  engine.FaultKind(rapid.IntRange(int(engine.FaultBreak), int(engine.FaultShort)).Draw(rt, "fault")),
			Event: rapid.IntRange(0, 8).Draw(rt, "event"),
		})
	}
	for range rapid.IntRange(1, 4).Draw(rt, "calls") {
		h.calls = append(h.calls, drawnCall{
			stream: rapid.Bool().Draw(rt, "stream"),
			tokens: rapid.IntRange(1, 6).Draw(rt, "tokens"),
			at:     millis(1000, "at"),
			stay:   rapid.SampledFrom([]time.Duration{0, 0, 0, millis(2000, "stay")}).Draw(rt, "stays"),
			leaves: rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(rt, "leaves"),
		})
	}
	for range rapid.IntRange(0, 4).Draw(rt, "blows") {
		h.blows = append(h.blows, blow{at: millis(2500, "blow"), kind: rapid.IntRange(0, blowKinds-1).Draw(rt, "kind")})
	}
	return h
}

// strike makes the blow happen.
func (b blow) strike(e *engine.Engine) {
	switch b.kind {
	case blowSilence:
		e.Silence()
	case blowCrash:
		e.Crash()
	case blowRestart:
		e.Restart()
	case blowStraggle:
		e.Straggle(40)
	case blowRecover:
		e.Straggle(1)
	}
}

// ending is what became of one request.
type ending struct {
	call     attempt.EngineCall
	outcome  attempt.Outcome
	got      *caller
	released int
}

// play runs a history and returns its endings and what the engine ran, long
// after the last caller had an answer.
func play(t *testing.T, h history) ([]ending, *engine.Engine) {
	b := newBench(t, h.config)
	if h.primed {
		b.prime()
	}
	b.engine.Inject(h.faults...)
	for _, blow := range h.blows {
		time.AfterFunc(blow.at, func() { blow.strike(b.engine) })
	}
	endings := make([]ending, len(h.calls))
	var group sync.WaitGroup
	for n, drawn := range h.calls {
		group.Go(func() {
			time.Sleep(drawn.at)
			ctx := context.Background()
			if drawn.stay > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, drawn.stay)
				defer cancel()
			}
			e := &endings[n]
			e.call = b.call(fmt.Sprintf("call-%d", n), drawn.stream, drawn.tokens)
			e.call.Release = func() { e.released++ }
			e.got = &caller{leaves: drawn.leaves}
			e.outcome = b.runner.Engine(ctx, b.link, e.call, e.got)
		})
	}
	group.Wait()
	b.close()
	b.engine.Restart()
	b.engine.Straggle(1)
	time.Sleep(time.Hour)
	synctest.Wait()
	return endings, b.engine
}

// judge returns what is wrong with an ending, or nothing.
func (e ending) judge(ran *engine.Engine) string {
	record, _ := ran.Record(e.call.AttemptID)
	expected, got := answer(e.call), e.got.text()
	o := e.outcome
	switch {
	case e.released != 1:
		return fmt.Sprintf("slot released %d times", e.released)
	case record.Runs > 1:
		return fmt.Sprintf("ran %d times", record.Runs)
	case record.Sends > 1:
		return fmt.Sprintf("sent %d times", record.Sends)
	case o.Run == attempt.RunNo && record.Runs != 0:
		return "told not run, and ran"
	case o.Run == attempt.RunYes && record.Runs == 0:
		return "told run, and did not run"
	case o.Run == attempt.RunNo && o.ResponseStarted:
		return "told not run, and seen"
	case o.Complete != e.got.marked():
		return fmt.Sprintf("whole %t, end mark given %t", o.Complete, e.got.marked())
	case o.Complete && got != expected:
		return fmt.Sprintf("whole answer %q, made %q", got, expected)
	case o.Complete && record.State != engine.StateDone:
		return "whole answer of an attempt that the engine did not complete"
	case !strings.HasPrefix(expected, got):
		return fmt.Sprintf("part of an answer %q, made %q", got, expected)
	case o.ResponseStarted != (len(e.got.events) > 0 || e.got.head.Status != 0):
		return "seen is told wrongly"
	}
	return ""
}

func TestWhatCallersAreToldIsWhatTheEngineDid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		var failure string
		synctest.Test(t, func(t *testing.T) {
			endings, ran := play(t, h)
			for n, e := range endings {
				if wrong := e.judge(ran); wrong != "" {
					failure = fmt.Sprintf("call %d: %s; outcome %+v", n, wrong, e.outcome)
				}
			}
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}
