package attempt_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/link"
	"snipetally.example/standin/engine"
)

// TestAttemptsOverSocketsAreToldTruly runs attempts with faults over TCP. No
// bound depends on the time that it takes.
func TestAttemptsOverSocketsAreToldTruly(t *testing.T) {
	g := gomega.NewWithT(t)
	e := engine.New(engine.Config{Pace: time.Millisecond, Slots: 64})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = e.Serve(ctx, listener) })
	l := link.New(link.Config{Address: listener.Addr().String()})
	runner := attempt.NewRunner(attempt.Config{})
	for kind := engine.FaultBreak; kind <= engine.FaultShort; kind++ {
		e.Inject(engine.Fault{Kind: kind, Event: 2})
	}
	endings := make([]ending, 64)
	var group sync.WaitGroup
	for n := range endings {
		group.Go(func() {
			x := &endings[n]
			body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":40,"prompt":"%d"}`, n%2 == 0, n)
			x.call = attempt.EngineCall{
				AttemptID: fmt.Sprint(n), Path: "/v1/completions", Body: []byte(body), Stream: n%2 == 0,
				Release: func() { x.released++ },
			}
			x.got = &caller{}
			x.outcome = runner.Engine(context.Background(), l, x.call, x.got)
		})
	}
	time.AfterFunc(20*time.Millisecond, e.Silence)
	group.Wait()
	runner.Close(context.Background())
	for n, x := range endings {
		// A request that had not arrived when its connection went silent is
		// settled as such; each other one is made good.
		g.Expect(x.outcome.Reason).To(gomega.Or(gomega.Equal(attempt.Completed), gomega.Equal(attempt.Silent)))
		g.Expect(x.judge(e)).To(gomega.BeEmpty(), "attempt %d: %+v", n, x.outcome)
	}
	l.Close()
	cancel()
	served.Wait()
	e.Close()
}
