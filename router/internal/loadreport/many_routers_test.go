package loadreport_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/loadreport"
)

// Guards against routers that find each other late, or not all, when many start at once with
// three seeds of which one has ended.
func TestManyRoutersFindEachOther(t *testing.T) {
	for _, routers := range []int{8, 80} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				network := newMemoryNetwork()
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				var broadcasters []*loadreport.Broadcaster
				for i := range routers {
					b := network.newIdleBroadcaster(i, seeds(routerAddress(0), routerAddress(1), routerAddress(1000)))
					broadcasters = append(broadcasters, b)
					go func() { _ = b.Run(ctx) }()
				}
				from := time.Now()
				for fewestHeard(broadcasters) < routers-1 && time.Since(from) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("all hear all after %v", time.Since(from))
				g.Expect(time.Since(from)).To(gomega.BeNumerically("<", 10*time.Second))
			})
		})
	}
}

// fewestHeard returns the number of routers that the router hears which hears fewest.
func fewestHeard(broadcasters []*loadreport.Broadcaster) int {
	fewest := len(broadcasters)
	for _, b := range broadcasters {
		fewest = min(fewest, len(b.Live(time.Now())))
	}
	return fewest
}
