package loadreport_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against routers that name one that has ended to each other for good: all of them
// report to its address for ever, which may belong to somebody else by then, and with each VM that is
// replaced reports become more rare.
func TestRoutersForgetOneThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const routers = 8
		network := newMemoryNetwork()
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		ending, end := context.WithCancel(ctx)
		defer end()
		gone := routerAddress(routers - 1)
		for i := range routers {
			running := ctx
			if i == routers-1 {
				running = ending
			}
			broadcaster := network.newIdleBroadcaster(i, seeds(routerAddress(0)))
			go func() { _ = broadcaster.Run(running) }()
		}
		time.Sleep(5 * time.Second)
		end()
		time.Sleep(20 * time.Second)
		before := network.sentTo(gone)
		g.Expect(before).To(gomega.BeNumerically(">", 0))
		time.Sleep(10 * time.Second)
		g.Expect(network.sentTo(gone)-before).To(gomega.BeZero(), "datagrams from 20 to 30 s after its end")
	})
}

// Guards against reports at the full rate to a seed that has ended, as long as the settings
// name it, and against a seed that is met late when it starts again.
func TestSeedThatHasEndedIsAskedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		network := newMemoryNetwork()
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		seed := routerAddress(1)
		broadcaster := network.newIdleBroadcaster(0, seeds(seed))
		go func() { _ = broadcaster.Run(ctx) }()
		time.Sleep(10 * time.Second)
		before := network.sentTo(seed)
		time.Sleep(10 * time.Second)
		g.Expect(network.sentTo(seed) - before).To(gomega.And(gomega.BeNumerically(">=", 10), gomega.BeNumerically("<=", 40)))

		restarted := network.newIdleBroadcaster(1, nil)
		go func() { _ = restarted.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		g.Expect(broadcaster.Live(time.Now())).To(gomega.ConsistOf(seed))
	})
}
