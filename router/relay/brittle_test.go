package relay_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// brittleServer works on as many requests at a time as startNode says that it has slots, and rejects
// others. It counts the requests that it rejects.
type brittleServer struct {
	brittle  atomic.Bool
	running  atomic.Int32
	most     atomic.Int32
	rejected atomic.Int32
}

const (
	// backendSlots is the number of slots of the backends of a testNode, and brittleWork the time
	// for which a brittleServer works on a request.
	backendSlots = 4
	brittleWork  = 20 * time.Millisecond

	// toleratedRejections is the number of requests that a brittleServer can reject in a second.
	toleratedRejections = 3
)

// ServeHTTP implements http.Handler.
func (s *brittleServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	if s.brittle.Load() {
		w.Header().Set(brittleHeader, strconv.Itoa(toleratedRejections))
		if running > backendSlots {
			s.rejected.Add(1)
			w.Header().Set(notExecutedHeader, "full")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	for most := s.most.Load(); running > most && !s.most.CompareAndSwap(most, running); most = s.most.Load() {
	}
	time.Sleep(brittleWork)
	respond("a")(w, req)
}

// brittlePlan is a plan with idempotent requests that bear to wait, and urgent ones.
func brittlePlan() relay.Plan {
	class := newClass("r", relay.Idempotent, 3)
	class.TargetLatency = 4 * time.Second
	class.Tier = 1
	urgent := newClass("u", relay.NonIdempotent, 1)
	urgent.TargetLatency = 4 * time.Second
	return relay.Plan{Version: 1, Classes: []relay.Class{class, urgent}, Services: []relay.Service{{Name: "s"}}}
}

// callTogether lets callers send requests one after the other, and returns the numbers of responses by
// status.
func (r *testNode) callTogether(t *testing.T, callers, each int, path string) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			for range each {
				reply := r.call(t, http.MethodGet, path, "")
				mu.Lock()
				statuses[reply.status]++
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return statuses
}

// hearBrittle sends requests until n servers have said that they are brittle.
func (r *testNode) hearBrittle(t *testing.T, n int) {
	r.waitUntil(t, func() bool {
		r.callTogether(t, 2, 1, "/r/x")
		return r.logged("backend server is brittle", n)()
	})
}

// Guards against brittle servers that get more requests than they have room for, so that they fall
// over, and against callers that are refused although the servers can serve them in time.
func TestBrittleServersGetNoMoreThanTheyHaveRoomFor(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := []*brittleServer{{}, {}}
	r, _ := startNode(t, brittlePlan(), servers[0].ServeHTTP, servers[1].ServeHTTP)
	for _, s := range servers {
		s.brittle.Store(true)
	}
	r.hearBrittle(t, 2)
	g.Expect(r.stateDump(t)["Brittle"]).To(gomega.HaveLen(2))
	g.Expect(r.metrics(t)).To(gomega.ContainSubstring("brittle.known"))
	statuses := r.callTogether(t, 40, 10, "/r/x")
	g.Expect(statuses).To(gomega.Equal(map[int]int{http.StatusOK: 400}), func() string { return r.lines("request ended") })
	for _, s := range servers {
		g.Expect(s.rejected.Load()).To(gomega.BeNumerically("<=", toleratedRejections))
	}
}

// Guards against callers that wait or are refused for a brittle server while another one is not.
func TestRequestsGoToServersThatAreNotBrittle(t *testing.T) {
	g := gomega.NewWithT(t)
	brittle, sound := &brittleServer{}, &brittleServer{}
	brittle.brittle.Store(true)
	r, _ := startNode(t, limitPlan(), brittle.ServeHTTP, sound.ServeHTTP)
	r.hearBrittle(t, 1)
	statuses := r.callTogether(t, 20, 10, "/r/x")
	g.Expect(statuses).To(gomega.Equal(map[int]int{http.StatusOK: 200}))
	g.Expect(brittle.rejected.Load()).To(gomega.BeNumerically("<=", toleratedRejections))
}

// Guards against places that are kept to after the last word of a server, and never given back.
func TestServerThatIsNoLongerBrittleGetsAllRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &brittleServer{}
	s.brittle.Store(true)
	r, _ := startNode(t, brittlePlan(), s.ServeHTTP)
	r.hearBrittle(t, 1)
	r.callTogether(t, 20, 5, "/r/x")
	g.Expect(s.most.Load()).To(gomega.BeNumerically("<=", backendSlots+toleratedRejections))
	s.brittle.Store(false)
	r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/r/x", "").status == http.StatusOK })
	r.waitUntil(t, r.logged("backend server no longer brittle", 1))
	r.callTogether(t, 20, 5, "/r/x")
	g.Expect(s.most.Load()).To(gomega.BeNumerically(">", 2*backendSlots))
}

// Guards against urgent requests that wait behind others for a place at a brittle server.
func TestUrgentRequestsGetPlacesAtBrittleServersFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &brittleServer{}
	s.brittle.Store(true)
	r, _ := startNode(t, brittlePlan(), s.ServeHTTP)
	r.callTogether(t, 1, 10, "/r/x")
	var others sync.WaitGroup
	others.Go(func() { r.callTogether(t, 100, 3, "/r/x") })
	time.Sleep(10 * brittleWork) // They wait now.
	begun := time.Now()
	g.Expect(r.callTogether(t, 1, 5, "/u/x")).To(gomega.Equal(map[int]int{http.StatusOK: 5}))
	// Each waits until one of four is done, and works; behind all others it would wait 25 times as long.
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 5*25*brittleWork/2))
	others.Wait()
}

// Guards against requests that are refused without their own time to come back, or that ran, when
// there is no place at brittle servers for longer than the target of a request bears.
func TestRequestThatFindsNoPlaceIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	var holders sync.WaitGroup
	defer holders.Wait()
	defer close(release)
	r, backends := startNode(t, limitPlan(), func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(brittleHeader, "3")
		if req.URL.Query().Has("hold") {
			<-release
		}
		respond("a")(w, req)
	})
	g.Expect(r.call(t, http.MethodGet, "/r/x", "").status).To(gomega.Equal(http.StatusOK))
	for range backendSlots {
		holders.Go(func() { r.call(t, http.MethodGet, "/r/x?hold", "") })
		time.Sleep(2 * openingTime / backendSlots)
	}
	r.waitUntil(t, func() bool { return backends[0].arrived.Load() == 1+backendSlots })
	begun := time.Now()
	reply := r.call(t, http.MethodGet, "/r/x", "")
	g.Expect(reply.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
	seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seconds).To(gomega.BeNumerically(">", 0))
	g.Expect(backends[0].arrived.Load()).To(gomega.BeEquivalentTo(1 + backendSlots))
}

// openingTime is the time in which all places of a server are opened.
const openingTime = 500 * time.Millisecond
