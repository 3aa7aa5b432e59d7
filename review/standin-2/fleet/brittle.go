package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// stableWindow is the bound stable-window-ms.
const stableWindow = 3 * time.Second

const (
	brittleSlots     = 4
	brittleWork      = 100 * time.Millisecond
	brittleQueue     = 2  // From stableWindow after the first word.
	soundQueue       = 16 // Before.
	brittleTolerated = 2
	brittleAway      = 3 * time.Second
	brittleRate      = 22 // Requests a second to each router.
)

// brittleRunner works on brittleSlots requests at a time, and falls over while it is brittle if it
// has to turn away more than brittleTolerated requests in a second.
type brittleRunner struct {
	*runner

	mu         sync.Mutex
	since      time.Time // When it began to be brittle.
	running    int
	queue      []chan struct{} // Requests that wait for a slot, in order; each is closed as it gets one.
	away       bool
	fallen     chan struct{}
	rejections []time.Time
	falls      int
	lost       int
}

// reset breaks the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// handle works on a request, or turns it away.
func (b *brittleRunner) handle(r *runner, w http.ResponseWriter, q *http.Request) string {
	fallen, refusal := b.enter(w, q)
	if refusal != "" {
		return refusal
	}
	lost := false
	select {
	case <-fallen:
		lost = true
	case <-q.Context().Done(): // The router has closed the connection.
	case <-time.After(brittleWork):
	}
	b.leave(lost)
	if lost {
		reset(w)
		return "reset, running"
	}
	return serveSound(r, w, q)
}

// enter takes a slot, and waits for one if there is room to wait. It returns a channel that is closed when the runner falls
// over, or what became of the request otherwise.
func (b *brittleRunner) enter(w http.ResponseWriter, q *http.Request) (fallen chan struct{}, refusal string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away {
		reset(w)
		return nil, "reset, away"
	}
	brittle := !b.since.IsZero()
	if brittle {
		w.Header().Set("Server-Brittle", fmt.Sprint(brittleTolerated))
	}
	fallen = b.fallen
	if b.running < brittleSlots {
		b.running++
		return fallen, ""
	}
	room := soundQueue
	if brittle && time.Since(b.since) > stableWindow {
		room = brittleQueue
	}
	if len(b.queue) >= room {
		if b.reject() {
			reset(w)
			return nil, "turned away, fell over"
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, "503, turned away"
	}
	turn := make(chan struct{})
	b.queue = append(b.queue, turn)
	b.mu.Unlock()
	select {
	case <-turn:
	case <-fallen:
	case <-q.Context().Done():
	}
	b.mu.Lock()
	i := slices.Index(b.queue, turn)
	if i < 0 && fallen == b.fallen && !b.away {
		return fallen, "" // It has the slot of one that left.
	}
	if i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	reset(w)
	return nil, "reset or left, waiting"
}

// leave gives the slot to the request that has waited longest, or back. lost says that the runner fell over.
func (b *brittleRunner) leave(lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lost {
		b.lost++
		return // The slots of that lifetime are gone.
	}
	if len(b.queue) > 0 {
		close(b.queue[0])
		b.queue = b.queue[1:]
		return
	}
	b.running--
}

// reject counts a request that is turned away, and reports whether the runner falls over. The caller
// holds b.mu.
func (b *brittleRunner) reject() bool {
	now := time.Now()
	b.rejections = append(b.rejections, now)
	for now.Sub(b.rejections[0]) > time.Second {
		b.rejections = b.rejections[1:]
	}
	if b.since.IsZero() || len(b.rejections) <= brittleTolerated {
		return false
	}
	b.falls++
	b.away = true
	close(b.fallen)
	b.fleet.note("runner %s falls over", b.id)
	b.crash(brittleAway, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.away, b.fallen, b.rejections, b.running, b.queue = false, make(chan struct{}), nil, 0, nil
	})
	return true
}

// replaceMachines starts five routers, ends the three that the seeds name, and starts three others whose
// settings still name those. The settings are corrected within seed-staleness-s. It returns the routers that run.
func (f *fleet) replaceMachines(trouble bool) bool {
	first, later := f.routers[:5], f.routers[5:]
	for _, r := range first {
		if f.startRouter(r) != nil || !f.awaitReady(r, 10*time.Second) {
			return false
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, r := range f.routers[:3] {
			f.signal(r, syscall.SIGKILL)
		}
	}
	time.Sleep(addDelay)
	for _, r := range later {
		if f.startRouter(r) != nil {
			return false
		}
	}
	time.Sleep(seedDelay)
	if trouble {
		for _, r := range f.routers[3:] {
			f.setSeeds(r, f.routers[3:6]...)
			f.signal(r, syscall.SIGHUP)
		}
	}
	for _, r := range later {
		if !f.awaitReady(r, 10*time.Second) {
			return false
		}
	}
	return true
}

// The new machines start addDelay after the old ones were removed, and seedDelay later the settings name routers that
// run: together less than seed-staleness-s.
const (
	addDelay  = 500 * time.Millisecond
	seedDelay = 2 * time.Second
)

// memory is how long routers count machines that are gone.
const memory = 36 * time.Second

func playBrittle(program, record string, trouble bool) int {
	f, err := newFleet(program, record, 8)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer f.stop()
	f.store.put("op", "config", plan(1, "key-1"))
	var runners []*brittleRunner
	for i := range 3 {
		b := &brittleRunner{fallen: make(chan struct{})}
		r, err := f.newRunner(fmt.Sprintf("r-%d", i+1), "app", b.handle)
		if err != nil {
			return unable
		}
		r.slots, b.runner = brittleSlots, r
		r.register("ready")
		runners = append(runners, b)
	}
	if !f.replaceMachines(trouble) {
		return unable
	}
	all := f.routers
	f.routers = all[3:]
	time.Sleep(memory)
	c := f.startCallers(http.MethodPost, "/once/x", "key-1", brittleRate, 1500*time.Millisecond)
	time.Sleep(3 * time.Second)
	for _, b := range runners {
		b.mu.Lock()
		b.since, b.rejections = time.Now(), nil
		b.mu.Unlock()
	}
	f.note("the runners are brittle from now on")
	time.Sleep(40 * time.Second)
	calls := c.stop()
	f.routers = all
	falls, lost := 0, 0
	for _, b := range runners {
		b.mu.Lock()
		falls, lost = falls+b.falls, lost+b.lost
		b.mu.Unlock()
	}
	statuses := make(map[int]int)
	for _, one := range calls {
		statuses[one.status]++
	}
	allowed := 2 + 0.1*float64(len(runners))
	text := fmt.Sprintf("falls %d, allowed %.1f; runs lost %d; answers %v", falls, allowed, lost, statuses)
	f.note("%s", text)
	fmt.Println(text)
	if float64(falls) > allowed {
		return broken
	}
	return held
}
