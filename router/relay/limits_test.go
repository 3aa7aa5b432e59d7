package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// limited answers like another handler and names a limit.
func limited(limit string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(limitHeader, limit)
		handler(w, req)
	}
}

// limitPlan is a plan with idempotent requests whose target latency is short.
func limitPlan() relay.Plan {
	class := newClass("r", relay.Idempotent, 3)
	class.TargetLatency = 80 * time.Millisecond
	return relay.Plan{Version: 1, Classes: []relay.Class{class}, Services: []relay.Service{{Name: "s"}}}
}

// Guards against requests beyond the limit that a server names, first ones and repeats,
// and against callers that suffer by it while another server has room.
func TestRequestsGoToOtherServersThanALimitedOne(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := startNode(t, limitPlan(), limited("1", respond("a")), respond("b"))
	start := time.Now()
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			for range 50 {
				reply := r.call(t, http.MethodGet, "/r/x", "")
				g.Expect(reply.status).To(gomega.Equal(http.StatusOK))
			}
		})
	}
	calls.Wait()
	// The first response names the limit. Until it is known, each caller may send one.
	allowed := 4 + 2 + time.Since(start).Seconds()
	g.Expect(float64(backends[0].arrived.Load())).To(gomega.BeNumerically("<=", allowed))
	g.Expect(backends[1].arrived.Load()).To(gomega.BeNumerically(">", 150))
}

// Guards against callers that are refused for a limited server that they were already denied, while
// others have room: sessions that no server has cached go last, at each of several limited servers.
func TestADeniedPermitMeansAnotherServer(t *testing.T) {
	for _, limitedServers := range []int{1, 6} {
		t.Run(fmt.Sprintf("%d limited", limitedServers), func(t *testing.T) {
			g := gomega.NewWithT(t)
			handlers := []http.HandlerFunc{slowly(respond("free"))}
			for range limitedServers {
				handlers = append(handlers, limited("8", respond("limited")))
			}
			r, _ := startNode(t, limitPlan(), handlers...)
			var refused atomic.Int32
			var calls sync.WaitGroup
			for range 8 {
				calls.Go(func() {
					for i := range 60 {
						time.Sleep(20 * time.Millisecond) // Permits come up meanwhile.
						header := http.Header{partsHeader: {fmt.Sprintf("1,%x,%x", 100+i, 1000+i)}}
						if r.callWith(t, http.MethodGet, "/r/x", "", nil, header).status != http.StatusOK {
							refused.Add(1)
						}
					}
				})
			}
			calls.Wait()
			g.Expect(refused.Load()).To(gomega.BeZero())
		})
	}
}

// Guards against a limit that is hidden from the caller.
func TestTheLimitOfAServerGoesThroughToTheCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := startNode(t, limitPlan(), limited("7", respond("a")))
	g.Expect(r.call(t, http.MethodGet, "/r/x", "").header.Get(limitHeader)).To(gomega.Equal("7"))
	g.Expect(r.stateDump(t)["Limits"]).To(gomega.ConsistOf(gomega.HaveKeyWithValue("PerSecond", 7.0)))
	g.Expect(r.metrics(t)).To(gomega.ContainSubstring("limits.known"))
}

// Guards against callers that come back all at the same moment, or are told that a request
// was not run that was, when all servers name limits.
func TestARequestThatFindsAllServersLimitedIsRefusedWithItsOwnRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := startNode(t, limitPlan(), limited("1", respond("a")), limited("1", respond("b")))
	served, refused := 0, 0
	start := time.Now()
	for range 10 {
		reply := r.call(t, http.MethodGet, "/r/x", "")
		if reply.status == http.StatusOK {
			served++
			continue
		}
		g.Expect(reply.status).To(gomega.Equal(http.StatusServiceUnavailable))
		delay, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		// Both servers take two requests a second together, so that a turn is half a second
		// after the one before, or more. A random part is added to each delay.
		turn := 0.5 * float64(refused)
		g.Expect(delay + time.Since(start).Seconds()).To(gomega.BeNumerically(">", turn))
		g.Expect(delay).To(gomega.BeNumerically("<=", 15))
		refused++
	}
	g.Expect(refused).To(gomega.BeNumerically(">=", 5))
	g.Expect(backends[0].arrived.Load() + backends[1].arrived.Load()).To(gomega.BeEquivalentTo(served))
}

// Guards against a limit that is kept after the server has stopped to name it.
func TestALimitThatIsNoLongerNamedEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	limit := "0"
	r, backends := startNode(t, limitPlan(), func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		if limit != "" {
			w.Header().Set(limitHeader, limit)
		}
		mu.Unlock()
		respond("a")(w, req)
	})
	g.Expect(r.call(t, http.MethodGet, "/r/x", "").status).To(gomega.Equal(http.StatusOK))
	g.Expect(r.call(t, http.MethodGet, "/r/x", "").status).To(gomega.Equal(http.StatusServiceUnavailable))
	mu.Lock()
	limit = ""
	mu.Unlock()
	r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/r/x", "").status == http.StatusOK })
	for range 5 {
		g.Expect(r.call(t, http.MethodGet, "/r/x", "").status).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(backends[0].arrived.Load()).To(gomega.BeEquivalentTo(7))
}
