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

// TestOutcomesOverTCPMatchEngineRecords runs attempts with faults over TCP. No
// assertion depends on how long it takes.
func TestOutcomesOverTCPMatchEngineRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	e := engine.New(engine.Config{TokenLatency: time.Millisecond, Slots: 64})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = e.Serve(ctx, listener) })
	l := link.New(link.Config{Address: listener.Addr().String()})
	runner := attempt.NewRunner(attempt.Config{})
	for kind := engine.FaultBreak; kind <= engine.FaultShortBody; kind++ {
		e.Inject(engine.Fault{Kind: kind, Event: 2})
	}
	results := make([]callResult, 64)
	var group sync.WaitGroup
	for n := range results {
		group.Go(func() {
			r := &results[n]
			body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":40,"prompt":"%d"}`, n%2 == 0, n)
			r.call = attempt.EngineCall{
				AttemptID: fmt.Sprint(n), Path: "/v1/completions", Body: []byte(body), Stream: n%2 == 0,
				Release: func() { r.released++ },
			}
			r.got = &recordingSink{}
			r.outcome = runner.CallEngine(context.Background(), l, r.call, r.got)
		})
	}
	time.AfterFunc(20*time.Millisecond, e.BlackholeConnections)
	group.Wait()
	runner.Close(context.Background())
	for n, r := range results {
		// A request that had not arrived when its connection went silent is
		// reported as Silent; every other one completes.
		g.Expect(r.outcome.Reason).To(gomega.Or(gomega.Equal(attempt.Completed), gomega.Equal(attempt.Silent)))
		g.Expect(r.violation(e)).To(gomega.BeEmpty(), "attempt %d: %+v", n, r.outcome)
	}
	l.Close()
	cancel()
	served.Wait()
	e.Close()
}
