package sharedrate_test

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/sharedrate"
)

const (
	// brittlePatience is how long a request waits for a place.
	brittlePatience = 400 * time.Millisecond

	// maxQuestions is the number of servers that a request asks for a place before it waits for
	// one, and after that.
	maxQuestions = 4

	// minBrittleUse is the least share that is served of the lesser of what is asked and what the
	// servers can do.
	minBrittleUse = 0.8
)

// brittleFleet is routers before brittle servers, in virtual time.
type brittleFleet struct {
	*fleet
	servers []*brittleServer
	stopped chan struct{}
	senders sync.WaitGroup

	// mu guards the fields below. withheld is until when each router does not ask for each server, asked
	// and refused count requests, and disturbedUntil is until when each router is not in touch.
	mu             sync.Mutex
	withheld       []map[sharedrate.Key]time.Time
	asked, refused int
	disturbedUntil []time.Time
}

// newBrittleFleet starts routers that send requests at a rate to servers.
func newBrittleFleet(t *testing.T, seed uint64, routers, servers, slots int, rate, loss float64) *brittleFleet {
	t.Helper()
	f := &brittleFleet{
		fleet:    newFleet(t, seed, fleetConfig{routers: routers, delay: 2 * time.Millisecond, loss: loss, perSecond: 0.001}),
		stopped:  make(chan struct{}),
		withheld: make([]map[sharedrate.Key]time.Time, routers), disturbedUntil: make([]time.Time, routers),
	}
	for i := range f.withheld {
		f.withheld[i] = make(map[sharedrate.Key]time.Time)
	}
	for i := range servers {
		f.servers = append(f.servers, newBrittleServer(sharedrate.Key(1<<20+i), slots))
	}
	time.Sleep(2 * f.liveTime())
	f.senders.Go(func() { f.send(rate) })
	return f
}

// close ends all senders and routers.
func (f *brittleFleet) close() {
	close(f.stopped)
	f.senders.Wait()
	f.fleet.close()
}

// send sends requests to random routers at a rate.
func (f *brittleFleet) send(rate float64) {
	for {
		pause := time.NewTimer(time.Duration(expFloat(f.fleet) / rate * float64(time.Second)))
		select {
		case <-f.stopped:
			pause.Stop()
			return
		case <-pause.C:
		}
		router := f.routers[int(f.float()*float64(len(f.routers)))]
		if !router.isRunning() || !router.process().Synced() {
			continue // Callers go elsewhere.
		}
		f.senders.Go(func() { f.sendOne(router) })
	}
}

// sendOne sends a request as a router does.
func (f *brittleFleet) sendOne(r *router) {
	exchange, process := r.process(), r.processContext()
	f.count(&f.asked)
	server, key, lease := f.choose(r, exchange)
	if server == nil {
		f.count(&f.refused)
		return
	}
	time.Sleep(time.Duration(f.float() * float64(2*time.Millisecond)))
	<-r.whenRunning()
	if lease != 0 && !exchange.Holds(lease) {
		exchange.Release(lease, sharedrate.Unused)
		f.count(&f.refused)
		return
	}
	lease = exchange.Enter(key, lease)
	sentAt := time.Since(f.start)
	ending, said := server.serve(process, key, f.isInTouch(r))
	<-r.whenRunning()
	if process.Err() != nil {
		return
	}
	if ending != sharedrate.Lost {
		exchange.ObserveBrittleness(key, said, sentAt)
	}
	exchange.Release(lease, ending)
}

// choose returns a server, its lifetime and a place there, or nil if there is none.
func (f *brittleFleet) choose(r *router, exchange *sharedrate.Exchange) (*brittleServer, sharedrate.Key, sharedrate.Lease) {
	order := f.permutation(len(f.servers))
	if exchange.BrittleServers() == 0 {
		s := f.servers[order[0]]
		return s, s.lifetime(), 0
	}
	asked := make(map[*brittleServer]bool)
	for _, i := range order {
		s := f.servers[i]
		key := s.lifetime()
		if len(asked) == maxQuestions || f.isWithheld(r, key) {
			continue
		}
		asked[s] = true
		if lease, ok := f.ask(r, exchange, s, key, 0); ok {
			return s, key, lease
		}
	}
	for range maxQuestions {
		s := f.soonest(r, order, asked)
		if s == nil {
			return nil, 0, 0
		}
		key := s.lifetime()
		asked[s] = true
		if lease, ok := f.ask(r, exchange, s, key, brittlePatience); ok {
			return s, key, lease
		}
	}
	return nil, 0, 0
}

// soonest returns the server that is withheld for the shortest time, of those that were not asked
// or all if all were.
func (f *brittleFleet) soonest(r *router, order []int, asked map[*brittleServer]bool) *brittleServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *brittleServer
	var least time.Time
	for _, i := range order {
		s := f.servers[i]
		until := f.withheld[r.number][s.lifetime()]
		if asked[s] && len(asked) < len(f.servers) {
			continue
		}
		if best == nil || until.Before(least) {
			best, least = s, until
		}
	}
	return best
}

// ask asks for a place at a server.
func (f *brittleFleet) ask(r *router, exchange *sharedrate.Exchange, s *brittleServer, key sharedrate.Key, patience time.Duration) (sharedrate.Lease, bool) {
	lease, denial, ok := exchange.AcquirePlace(f.done, key, sharedrate.PlaceRequest{Slots: s.slots, Patience: patience})
	if !ok {
		f.mu.Lock()
		f.withheld[r.number][key] = time.Now().Add(denial.Wait)
		f.mu.Unlock()
	}
	return lease, ok
}

// isWithheld reports whether a router does not ask for a server now.
func (f *brittleFleet) isWithheld(r *router, key sharedrate.Key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.withheld[r.number][key])
}

// permutation returns a random order of n numbers.
func (f *brittleFleet) permutation(n int) []int {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.random.Perm(n)
}

// count adds one to a count.
func (f *brittleFleet) count(n *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
}

// disturb records that a router is not in touch until stableTime after a disturbance.
func (f *brittleFleet) disturb(router int, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbedUntil[router] = time.Now().Add(length + stableTime)
}

// isInTouch reports whether a router was not disturbed lately.
func (f *brittleFleet) isInTouch(r *router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().After(f.disturbedUntil[r.number])
}

// begin lets the first servers be brittle, and end all be sound.
func (f *brittleFleet) begin(servers, tolerated int) {
	for _, s := range f.servers[:servers] {
		s.begin(tolerated)
	}
}

func (f *brittleFleet) end() {
	for _, s := range f.servers {
		s.end()
	}
}

// sums returns the numbers of falls, of requests that were served and of those that were asked.
func (f *brittleFleet) sums() (falls, served, asked int) {
	for _, s := range f.servers {
		n, m := s.counts()
		falls, served = falls+n, served+m
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return falls, served, f.asked
}

// allowedFalls returns the number of falls that are allowed while the servers are brittle.
func (f *brittleFleet) allowedFalls() int { return 2 + len(f.servers)/10 }

// use observes the servers for a time and returns which share of what is possible was served of
// what was asked.
func (f *brittleFleet) use(length time.Duration) float64 {
	_, served, asked := f.sums()
	time.Sleep(length)
	_, servedThen, askedThen := f.sums()
	possible := length.Seconds() / workTime.Seconds() * float64(len(f.servers)*f.servers[0].slots)
	return float64(servedThen-served) / min(float64(askedThen-asked), possible)
}

// Guards against servers that fall over under the requests that they reject, and against places
// that stay empty, with few and many routers and servers, at half of what they can do and beyond it.
func TestBrittleServersAreFullAndDoNotFallOver(t *testing.T) {
	cases := []struct {
		routers, servers, slots, tolerated int
		rate                               float64
	}{
		{1, 6, 4, 3, 340},
		{3, 6, 4, 3, 120},
		{3, 6, 4, 3, 360},
		{3, 6, 4, 1, 360},
		{24, 6, 4, 3, 340},
		{24, 24, 1, 3, 235},
		{80, 24, 4, 3, 500},
		{80, 6, 48, 3, 1500},
	}
	if os.Getenv("SNIPETALLY_MEASURE") != "" {
		cases = append(cases, struct {
			routers, servers, slots, tolerated int
			rate                               float64
		}{400, 1200, 1, 3, 9400})
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d routers, %d servers of %d, %v requests a second", c.routers, c.servers, c.slots, c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newBrittleFleet(t, 1, c.routers, c.servers, c.slots, c.rate, 0)
				defer f.close()
				time.Sleep(2 * time.Second)
				f.begin(c.servers, c.tolerated)
				time.Sleep(stableTime)
				used := f.use(5 * time.Second)
				traffic := f.trafficOf(2 * time.Second)
				falls, _, _ := f.sums()
				t.Logf("falls %d, served %.2f of what is possible, %.0f bytes a second at the worst router", falls, used, traffic)
				g.Expect(falls).To(gomega.BeNumerically("<=", f.allowedFalls()))
				g.Expect(used).To(gomega.BeNumerically(">=", minBrittleUse))
				f.end()
				time.Sleep(2 * time.Second)
				g.Expect(f.use(2 * time.Second)).To(gomega.BeNumerically(">=", minBrittleUse))
			})
		})
	}
}

// Guards against traffic beyond the budget while all servers are brittle and used as much as in an
// installation of 400 routers. With SNIPETALLY_MEASURE set it runs at 400 too.
func TestPlacesStayInTheBudgetOfTraffic(t *testing.T) {
	for _, routers := range trafficSizes() {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newBrittleFleet(t, 1, routers, 30*routers, 1, manyBrittleRate*float64(routers), 0)
				defer f.close()
				f.begin(len(f.servers), 3)
				announced := f.trafficOf(time.Second)
				time.Sleep(2 * time.Second)
				used := f.trafficOf(5 * time.Second)
				t.Logf("bytes a second at the worst router: %.0f in the first second, then %.0f", announced, used)
				g.Expect(announced).To(gomega.BeNumerically("<=", maxTraffic))
				g.Expect(used).To(gomega.BeNumerically("<=", maxTraffic))
			})
		})
	}
}

// manyBrittleRate is the number of requests a second of a router in a large installation.
const manyBrittleRate = 23.5

// Guards against messages of a broken router that end this one, or take places for good.
func TestMalformedMessagesAboutPlacesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newBrittleFleet(t, 1, 3, 6, 4, 120, 0)
		defer f.close()
		f.begin(6, 3)
		time.Sleep(time.Second)
		for i := range 4000 {
			data := make([]byte, 1+i%60)
			for n := range data {
				data[n] = byte(f.float() * 256)
			}
			data[0] = 0x50
			f.routers[0].deliver(1, datagram{from: f.routers[1].address, data: data})
			time.Sleep(time.Millisecond)
		}
		for _, text := range []string{
			"\x50\x87\xf4\x87\x01\x05\x20\xf4\x03\x00\x00\xf6\xf6\xf6\xf6\xf6",                                     // -1 slots
			"\x50\x87\xf4\xf6\xf6\xf6\xf6\xf6\x81\x84\x05\xf5\x20\x00",                                             // -1 rejections
			"\x50\x87\xf4\xf6\xf6\xf6\xf6\xf6\x81\x84\x05\xf5\x03\x20",                                             // in the future
			"\x50\x87\xf4\xf6\xf6\x81\x83\x1a\x00\x10\x00\x00\x07\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\xf6\xf6\xf6", // for ever
		} {
			f.routers[0].deliver(1, datagram{from: f.routers[1].address, data: []byte(text)})
		}
		time.Sleep(time.Second)
		_, known := f.routers[0].process().Brittleness(5)
		g.Expect(known).To(gomega.BeFalse())
		time.Sleep(4 * time.Second) // The longest lease.
		g.Expect(f.use(3 * time.Second)).To(gomega.BeNumerically(">=", minBrittleUse))
		falls, _, _ := f.sums()
		g.Expect(falls).To(gomega.BeZero())
	})
}
