package attempt_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/link"
	"snipetally.example/standin/network"
	"snipetally.example/standin/service"
)

// serviceBench is a plain service, the link to it and a runner.
type serviceBench struct {
	service *service.Service
	link    *link.Link
	runner  *attempt.Runner
	stop    func()
}

// newServiceBench starts a service.
func newServiceBench(config service.Config) *serviceBench {
	pipe := network.NewPipe()
	b := &serviceBench{service: service.New(config), runner: attempt.NewRunner(attempt.Config{})}
	b.link = link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.Dial})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = b.service.Serve(ctx, pipe)
	}()
	b.stop = func() {
		b.runner.Close(context.Background())
		b.link.Close()
		cancel()
		<-served
	}
	return b
}

// grant returns a call that may not be repeated.
func grant(id string, tells bool) attempt.ServiceCall {
	return attempt.ServiceCall{
		AttemptID:     id,
		Method:        http.MethodPost,
		Path:          "/grants?room=7",
		Header:        http.Header{"Idempotency-Key": {"key-" + id}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"1"}},
		Body:          []byte("grant " + id),
		AtMostOnce:    true,
		ReportsStatus: tells,
		Timeouts:      attempt.ProgressTimeouts{First: time.Second, Between: time.Second},
	}
}

func TestGrantIsPassedThroughAndRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newServiceBench(service.Config{})
		defer b.stop()
		got := &caller{}
		outcome := b.runner.Service(t.Context(), b.link, grant("a", false), got)
		g.Expect(outcome.Complete).To(gomega.BeTrue())
		g.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
		g.Expect(string(got.events[0].Raw)).To(gomega.ContainSubstring(`"body":"grant a"`))
		g.Expect(b.service.Runs()).To(gomega.Equal([]service.Run{{
			Attempt: "a", Key: "key-a", Method: "POST", Path: "/grants", Body: "grant a", Number: 1,
		}}))
	})
}

// lostAnswers are the ways to lose a call or its answer, and what can be told
// then by a service that tells where attempts stand.
func lostAnswers() map[string]struct {
	lose func(*service.Service)
	run  attempt.Run
} {
	type lost = struct {
		lose func(*service.Service)
		run  attempt.Run
	}
	return map[string]lost{
		"broken before the run": {func(s *service.Service) { s.Fail(service.BeforeRun) }, attempt.RunNo},
		"broken after the run":  {func(s *service.Service) { s.Fail(service.AfterRun) }, attempt.RunYes},
		"broken in the answer":  {func(s *service.Service) { s.Fail(service.InAnswer) }, attempt.RunYes},
		"hangs before the run":  {func(s *service.Service) { s.Hang(service.BeforeRun) }, attempt.RunNo},
		"hangs after the run":   {func(s *service.Service) { s.Hang(service.AfterRun) }, attempt.RunYes},
		"hangs in the answer":   {func(s *service.Service) { s.Hang(service.InAnswer) }, attempt.RunYes},
	}
}

func TestLostGrantIsSettledByAskingAndNeverSentAgain(t *testing.T) {
	for name, lost := range lostAnswers() {
		for _, tells := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, tells %t", name, tells), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					b := newServiceBench(service.Config{Tells: tells})
					defer b.stop()
					first := b.runner.Service(t.Context(), b.link, grant("a", tells), &caller{})
					g.Expect(first.Complete).To(gomega.BeTrue())
					lost.lose(b.service)
					got := &caller{}
					outcome := b.runner.Service(t.Context(), b.link, grant("b", tells), got)
					g.Expect(outcome.Complete).To(gomega.BeFalse())
					g.Expect(got.events).To(gomega.BeEmpty())
					expected := attempt.RunUnknown
					if tells {
						expected = lost.run
					}
					g.Expect(outcome.Run).To(gomega.Equal(expected))
					runs, _ := b.service.Count("b", "")
					g.Expect(runs).To(gomega.BeNumerically("<=", 1))
				})
			})
		}
	}
}

// rawAnswer makes one call of a server that answers with raw bytes.
func rawAnswer(t *testing.T, text string, call attempt.ServiceCall) (outcome attempt.Outcome, got *caller) {
	synctest.Test(t, func(t *testing.T) {
		pipe := network.NewPipe()
		go func() {
			c, err := pipe.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}()
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.Dial})
		runner := attempt.NewRunner(attempt.Config{MaxResponseBytes: 1 << 10})
		got = &caller{}
		call.Body = nil
		outcome = runner.Service(t.Context(), l, call, got)
		runner.Close(context.Background())
		l.Close()
		_ = pipe.Close()
	})
	return outcome, got
}

func TestAnswerWhoseEndCannotBeToldIsNotWhole(t *testing.T) {
	answers := map[string]string{
		"no length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ngranted",
		"fewer bytes":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngranted",
		"more bytes":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngranted",
		"other attempt": "HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 7\r\n\r\ngranted",
		"too long":      "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
		"no HTTP":       "granted",
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			outcome, got := rawAnswer(t, text, grant("a", false))
			g.Expect(outcome.Complete).To(gomega.BeFalse())
			g.Expect(outcome.Run).To(gomega.Equal(attempt.RunUnknown))
			g.Expect(got.events).To(gomega.BeEmpty())
		})
	}
}

func TestHeadersOfASingleConnectionAreNotPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	text := "HTTP/1.1 201 Created\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\nKeep-Alive: 5\r\nContent-Length: 0\r\n\r\n"
	outcome, got := rawAnswer(t, text, grant("a", false))
	g.Expect(outcome.Complete).To(gomega.BeTrue())
	g.Expect(got.head.Status).To(gomega.Equal(http.StatusCreated))
	g.Expect(got.head.Header).To(gomega.HaveKey("X-End"))
	g.Expect(got.head.Header).NotTo(gomega.Or(gomega.HaveKey("X-Hop"), gomega.HaveKey("Keep-Alive"), gomega.HaveKey("Connection")))
	sent := attempt.EndToEnd(grant("a", false).Header)
	g.Expect(sent).To(gomega.HaveKey("X-End"))
	g.Expect(sent).NotTo(gomega.Or(gomega.HaveKey("X-Hop"), gomega.HaveKey("Connection")))
}

// serviceHistory is what one run of the property does.
type serviceHistory struct {
	tells  bool
	delay  time.Duration
	faults []func(*service.Service)
	blows  []serviceBlow
	calls  []serviceDrawn
}

// serviceBlow is something that happens to the service.
type serviceBlow struct {
	at time.Duration
	do func(*service.Service)
}

// serviceDrawn is one call.
type serviceDrawn struct {
	once bool
	at   time.Duration
	stay time.Duration
}

// drawServiceHistory draws losses, blows and callers who leave.
func drawServiceHistory(rt *rapid.T) serviceHistory {
	millis := func(most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
	}
	h := serviceHistory{tells: rapid.Bool().Draw(rt, "tells"), delay: millis(1500, "delay")}
	for range rapid.IntRange(0, 3).Draw(rt, "faults") {
		at := service.Moment(rapid.IntRange(0, int(service.InAnswer)).Draw(rt, "moment"))
		if rapid.Bool().Draw(rt, "hangs") {
			h.faults = append(h.faults, func(s *service.Service) { s.Hang(at) })
		} else {
			h.faults = append(h.faults, func(s *service.Service) { s.Fail(at) })
		}
	}
	blows := []func(*service.Service){
		(*service.Service).Silence, (*service.Service).Crash, (*service.Service).Restart, (*service.Service).Forget,
	}
	for range rapid.IntRange(0, 4).Draw(rt, "blows") {
		h.blows = append(h.blows, serviceBlow{at: millis(2500, "blow"), do: rapid.SampledFrom(blows).Draw(rt, "kind")})
	}
	for range rapid.IntRange(1, 5).Draw(rt, "calls") {
		h.calls = append(h.calls, serviceDrawn{
			once: rapid.Bool().Draw(rt, "once"),
			at:   millis(2000, "at"),
			stay: rapid.SampledFrom([]time.Duration{time.Hour, time.Hour, millis(2000, "stay")}).Draw(rt, "stays"),
		})
	}
	return h
}

// playService runs a history and returns what is wrong with it, or nothing.
func playService(h serviceHistory) string {
	b := newServiceBench(service.Config{Tells: h.tells, Delay: h.delay})
	defer b.stop()
	for _, fault := range h.faults {
		fault(b.service)
	}
	for _, blow := range h.blows {
		time.AfterFunc(blow.at, func() { blow.do(b.service) })
	}
	wrong := make(chan string, len(h.calls))
	for n, drawn := range h.calls {
		go func() {
			time.Sleep(drawn.at)
			ctx, cancel := context.WithTimeout(context.Background(), drawn.stay)
			defer cancel()
			call := grant(fmt.Sprintf("call-%d", n), h.tells)
			call.AtMostOnce = drawn.once
			got := &caller{}
			outcome := b.runner.Service(ctx, b.link, call, got)
			time.Sleep(time.Hour)
			wrong <- judgeService(b.service, call, outcome, got)
		}()
	}
	failure := ""
	for range h.calls {
		if w := <-wrong; w != "" {
			failure = w
		}
	}
	return failure
}

// judgeService returns what is wrong with a call, or nothing.
func judgeService(s *service.Service, call attempt.ServiceCall, o attempt.Outcome, got *caller) string {
	runs, _ := s.Count(call.AttemptID, "")
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case o.Run == attempt.RunNo && runs != 0:
		return "told not run, and ran"
	case o.Run == attempt.RunYes && runs != 1:
		return "told run, and did not run"
	case o.Complete != got.marked():
		return fmt.Sprintf("whole %t, answer given %t", o.Complete, got.marked())
	case !o.Complete:
		return ""
	}
	var body struct{ Body string }
	if err := json.Unmarshal(got.events[0].Raw, &body); err != nil || body.Body != string(call.Body) {
		return fmt.Sprintf("answer %q to call %q", got.events[0].Raw, call.Body)
	}
	return ""
}

func TestWhatCallersAreToldIsWhatTheServiceDid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawServiceHistory(rt)
		var failure string
		synctest.Test(t, func(*testing.T) { failure = playService(h) })
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// TestSilenceOfUnusedConnectionsDoesNotTouchAGrant covers connections that went
// silent while they were unused: a call that may not be repeated has a
// connection of its own, one that may be is settled and can be sent again.
func TestSilenceOfUnusedConnectionsDoesNotTouchAGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newServiceBench(service.Config{Tells: true})
		defer b.stop()
		lookup := func(id string) attempt.ServiceCall {
			call := grant(id, true)
			call.AtMostOnce = false
			return call
		}
		g.Expect(b.runner.Service(t.Context(), b.link, lookup("a"), &caller{}).Complete).To(gomega.BeTrue())
		b.service.Silence()
		begun := time.Now()
		g.Expect(b.runner.Service(t.Context(), b.link, grant("b", true), &caller{}).Complete).To(gomega.BeTrue())
		g.Expect(time.Since(begun)).To(gomega.BeZero())
		lost := b.runner.Service(t.Context(), b.link, lookup("c"), &caller{})
		g.Expect(lost.Run).To(gomega.Equal(attempt.RunNo))
		g.Expect(lost.Reason).To(gomega.Equal(attempt.Silent))
		g.Expect(time.Since(begun)).To(gomega.Equal(time.Second))
		g.Expect(b.runner.Service(t.Context(), b.link, lookup("d"), &caller{}).Complete).To(gomega.BeTrue())
	})
}
