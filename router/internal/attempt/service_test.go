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

	"snipetally.example/coordination/bubble"
	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/link"
	"snipetally.example/standin/network"
	"snipetally.example/standin/service"
)

// serviceHarness is a fake service, the link to it and a runner.
type serviceHarness struct {
	service *service.Service
	link    *link.Link
	runner  *attempt.Runner
	stop    func()
}

// newServiceHarness starts a service. Call stop at the end.
func newServiceHarness(config service.Config) *serviceHarness {
	pipe := network.NewPipeListener()
	h := &serviceHarness{service: service.New(config), runner: attempt.NewRunner(attempt.Config{})}
	h.link = link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.DialContext})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = h.service.Serve(ctx, pipe)
	}()
	h.stop = func() {
		h.runner.Close(context.Background())
		h.link.Close()
		cancel()
		<-served
	}
	return h
}

// grantCall returns a call that must not run more than once.
func grantCall(id string, reportsStatus bool) attempt.ServiceCall {
	return attempt.ServiceCall{
		AttemptID:     id,
		Method:        http.MethodPost,
		Path:          "/grants?room=7",
		Header:        http.Header{"Idempotency-Key": {"key-" + id}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"1"}},
		Body:          []byte("grant " + id),
		AtMostOnce:    true,
		ReportsStatus: reportsStatus,
		Timeouts:      attempt.ProgressTimeouts{First: time.Second, Between: time.Second},
	}
}

func TestServiceCallIsForwardedAndRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		h := newServiceHarness(service.Config{})
		defer h.stop()
		got := &recordingSink{}
		outcome := h.runner.CallService(t.Context(), h.link, grantCall("a", false), got)
		g.Expect(outcome.Complete).To(gomega.BeTrue())
		g.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
		g.Expect(string(got.events[0].Raw)).To(gomega.ContainSubstring(`"body":"grant a"`))
		g.Expect(h.service.Runs()).To(gomega.Equal([]service.Run{{
			Attempt: "a", IdempotencyKey: "key-a", Method: "POST", Path: "/grants", Body: "grant a", Number: 1,
		}}))
	})
}

// lostCalls returns the ways to lose a call or its response, and the Run that is
// expected if the service reports the status of attempts.
func lostCalls() map[string]struct {
	lose func(*service.Service)
	run  attempt.Run
} {
	type lost = struct {
		lose func(*service.Service)
		run  attempt.Run
	}
	return map[string]lost{
		"broken before the run":  {func(s *service.Service) { s.BreakNext(service.BeforeRun) }, attempt.RunNo},
		"broken after the run":   {func(s *service.Service) { s.BreakNext(service.AfterRun) }, attempt.RunYes},
		"broken in the response": {func(s *service.Service) { s.BreakNext(service.DuringResponse) }, attempt.RunYes},
		"hangs before the run":   {func(s *service.Service) { s.HangNext(service.BeforeRun) }, attempt.RunNo},
		"hangs after the run":    {func(s *service.Service) { s.HangNext(service.AfterRun) }, attempt.RunYes},
		"hangs in the response":  {func(s *service.Service) { s.HangNext(service.DuringResponse) }, attempt.RunYes},
	}
}

func TestLostServiceCallIsResolvedByStatusQueryAndNotResent(t *testing.T) {
	for name, lost := range lostCalls() {
		for _, reportsStatus := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reports status %t", name, reportsStatus), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					h := newServiceHarness(service.Config{ReportsStatus: reportsStatus})
					defer h.stop()
					first := h.runner.CallService(t.Context(), h.link, grantCall("a", reportsStatus), &recordingSink{})
					g.Expect(first.Complete).To(gomega.BeTrue())
					lost.lose(h.service)
					got := &recordingSink{}
					outcome := h.runner.CallService(t.Context(), h.link, grantCall("b", reportsStatus), got)
					g.Expect(outcome.Complete).To(gomega.BeFalse())
					g.Expect(got.events).To(gomega.BeEmpty())
					expected := attempt.RunUnknown
					if reportsStatus {
						expected = lost.run
					}
					g.Expect(outcome.Run).To(gomega.Equal(expected))
					runs, _ := h.service.CountRuns("b", "")
					g.Expect(runs).To(gomega.BeNumerically("<=", 1))
				})
			})
		}
	}
}

// callRawServer makes one call to a server that answers with raw bytes.
func callRawServer(t *testing.T, text string, call attempt.ServiceCall) (outcome attempt.Outcome, got *recordingSink) {
	synctest.Test(t, func(t *testing.T) {
		pipe := network.NewPipeListener()
		go func() {
			c, err := pipe.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}()
		l := link.New(link.Config{Address: "10.0.0.1:80", Dial: pipe.DialContext})
		runner := attempt.NewRunner(attempt.Config{MaxResponseBytes: 1 << 10})
		got = &recordingSink{}
		call.Body = nil
		outcome = runner.CallService(t.Context(), l, call, got)
		runner.Close(context.Background())
		l.Close()
		_ = pipe.Close()
	})
	return outcome, got
}

func TestInvalidServiceResponseIsNotComplete(t *testing.T) {
	responses := map[string]string{
		"no length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ngranted",
		"fewer bytes":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngranted",
		"more bytes":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngranted",
		"other attempt": "HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 7\r\n\r\ngranted",
		"too long":      "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
		"no HTTP":       "granted",
	}
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			outcome, got := callRawServer(t, text, grantCall("a", false))
			g.Expect(outcome.Complete).To(gomega.BeFalse())
			g.Expect(outcome.Run).To(gomega.Equal(attempt.RunUnknown))
			g.Expect(got.events).To(gomega.BeEmpty())
		})
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	g := gomega.NewWithT(t)
	text := "HTTP/1.1 201 Created\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\nKeep-Alive: 5\r\nContent-Length: 0\r\n\r\n"
	outcome, got := callRawServer(t, text, grantCall("a", false))
	g.Expect(outcome.Complete).To(gomega.BeTrue())
	g.Expect(got.head.Status).To(gomega.Equal(http.StatusCreated))
	g.Expect(got.head.Header).To(gomega.HaveKey("X-End"))
	g.Expect(got.head.Header).NotTo(gomega.Or(gomega.HaveKey("X-Hop"), gomega.HaveKey("Keep-Alive"), gomega.HaveKey("Connection")))
	sent := attempt.EndToEnd(grantCall("a", false).Header)
	g.Expect(sent).To(gomega.HaveKey("X-End"))
	g.Expect(sent).NotTo(gomega.Or(gomega.HaveKey("X-Hop"), gomega.HaveKey("Connection")))
}

// serviceScenario is the input of one run of the property.
type serviceScenario struct {
	reportsStatus bool
	delay         time.Duration
	faults        []func(*service.Service)
	incidents     []serviceIncident
	calls         []serviceScenarioCall
}

// serviceIncident is an event that affects the service, at a time after the
// start.
type serviceIncident struct {
	at time.Duration
	do func(*service.Service)
}

// serviceScenarioCall is one call, made at a time after the start. The caller
// cancels after callerTimeout.
type serviceScenarioCall struct {
	atMostOnce    bool
	at            time.Duration
	callerTimeout time.Duration
}

// drawServiceScenario draws lost calls, incidents and callers that go away.
func drawServiceScenario(rt *rapid.T) serviceScenario {
	millis := func(upper int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, upper).Draw(rt, name)) * time.Millisecond
	}
	sc := serviceScenario{reportsStatus: rapid.Bool().Draw(rt, "reports status"), delay: millis(1500, "delay")}
	for range rapid.IntRange(0, 3).Draw(rt, "faults") {
		at := service.FailurePoint(rapid.IntRange(0, int(service.DuringResponse)).Draw(rt, "failure point"))
		if rapid.Bool().Draw(rt, "hangs") {
			sc.faults = append(sc.faults, func(s *service.Service) { s.HangNext(at) })
		} else {
			sc.faults = append(sc.faults, func(s *service.Service) { s.BreakNext(at) })
		}
	}
	incidents := []func(*service.Service){
		(*service.Service).BlackholeConnections, (*service.Service).Crash, (*service.Service).Restart, (*service.Service).ForgetAttempts,
	}
	for range rapid.IntRange(0, 4).Draw(rt, "incidents") {
		sc.incidents = append(sc.incidents, serviceIncident{at: millis(2500, "incident"), do: rapid.SampledFrom(incidents).Draw(rt, "kind")})
	}
	for range rapid.IntRange(1, 5).Draw(rt, "calls") {
		sc.calls = append(sc.calls, serviceScenarioCall{
			atMostOnce:    rapid.Bool().Draw(rt, "at most once"),
			at:            millis(2000, "at"),
			callerTimeout: rapid.SampledFrom([]time.Duration{time.Hour, time.Hour, millis(2000, "caller timeout")}).Draw(rt, "has caller timeout"),
		})
	}
	return sc
}

// runServiceScenario runs a scenario and returns a violation, or "".
func runServiceScenario(sc serviceScenario) string {
	h := newServiceHarness(service.Config{ReportsStatus: sc.reportsStatus, Delay: sc.delay})
	defer h.stop()
	for _, fault := range sc.faults {
		fault(h.service)
	}
	for _, incident := range sc.incidents {
		time.AfterFunc(incident.at, func() { incident.do(h.service) })
	}
	violations := make(chan string, len(sc.calls))
	for n, drawn := range sc.calls {
		go func() {
			time.Sleep(drawn.at)
			ctx, cancel := context.WithTimeout(context.Background(), drawn.callerTimeout)
			defer cancel()
			call := grantCall(fmt.Sprintf("call-%d", n), sc.reportsStatus)
			call.AtMostOnce = drawn.atMostOnce
			got := &recordingSink{}
			outcome := h.runner.CallService(ctx, h.link, call, got)
			time.Sleep(time.Hour)
			violations <- serviceViolation(h.service, call, outcome, got)
		}()
	}
	failure := ""
	for range sc.calls {
		if v := <-violations; v != "" {
			failure = v
		}
	}
	return failure
}

// serviceViolation describes how the outcome of a call contradicts what the
// service ran. It returns "" if it doesn't.
func serviceViolation(s *service.Service, call attempt.ServiceCall, o attempt.Outcome, got *recordingSink) string {
	runs, _ := s.CountRuns(call.AttemptID, "")
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case o.Run == attempt.RunNo && runs != 0:
		return "reported not run, but ran"
	case o.Run == attempt.RunYes && runs != 1:
		return "reported run, but did not run"
	case o.Complete != got.ended():
		return fmt.Sprintf("complete %t, but response delivered %t", o.Complete, got.ended())
	case !o.Complete:
		return ""
	}
	var body struct{ Body string }
	if err := json.Unmarshal(got.events[0].Raw, &body); err != nil || body.Body != string(call.Body) {
		return fmt.Sprintf("response %q to call %q", got.events[0].Raw, call.Body)
	}
	return ""
}

func TestOutcomesMatchServiceRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawServiceScenario(rt)
		bubble.Run(t, rt, func(*testing.T) string { return runServiceScenario(sc) })
	})
}

// TestSilentIdleConnectionsDoNotAffectAtMostOnceCall covers idle connections that
// went silent. A call that must not run more than once uses a new connection. A
// repeatable call may use an idle one: it is lost, but a status query proves that
// it did not run, so it can be sent again.
func TestSilentIdleConnectionsDoNotAffectAtMostOnceCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		h := newServiceHarness(service.Config{ReportsStatus: true})
		defer h.stop()
		lookup := func(id string) attempt.ServiceCall {
			call := grantCall(id, true)
			call.AtMostOnce = false
			return call
		}
		g.Expect(h.runner.CallService(t.Context(), h.link, lookup("a"), &recordingSink{}).Complete).To(gomega.BeTrue())
		h.service.BlackholeConnections()
		start := time.Now()
		g.Expect(h.runner.CallService(t.Context(), h.link, grantCall("b", true), &recordingSink{}).Complete).To(gomega.BeTrue())
		g.Expect(time.Since(start)).To(gomega.BeZero())
		lost := h.runner.CallService(t.Context(), h.link, lookup("c"), &recordingSink{})
		g.Expect(lost.Run).To(gomega.Equal(attempt.RunNo))
		g.Expect(lost.Reason).To(gomega.Equal(attempt.Silent))
		g.Expect(time.Since(start)).To(gomega.Equal(time.Second))
		g.Expect(h.runner.CallService(t.Context(), h.link, lookup("d"), &recordingSink{}).Complete).To(gomega.BeTrue())
	})
}
