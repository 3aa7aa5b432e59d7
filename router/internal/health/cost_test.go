package health_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/health"
	"snipetally.example/router/internal/link"
	"snipetally.example/standin/engine"
)

// newEngineStore returns a store whose plan has n engines at an address.
func newEngineStore(n int, address string) *fleet.Store {
	plan := fleet.Plan{}
	for i := range n {
		plan.Servers = append(plan.Servers, backend.Server{
			Name: fmt.Sprintf("server-%05d", i), Address: address, Models: []string{"model"}, Slots: 16,
		})
	}
	store := fleet.NewStore()
	store.Install(fleet.New(1, plan))
	return store
}

// BenchmarkDue measures one selection of the engines to probe. Four are made
// per second.
func BenchmarkDue(b *testing.B) {
	for _, n := range []int{20, 30, 3000, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			prober := health.NewProber(newEngineStore(n, "10.0.0.1:80"), link.NewPool(), &fakeScheduler{})
			for range n {
				prober.Due(1)
			}
			for b.Loop() {
				prober.Due(1)
			}
		})
	}
}

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures the bytes sent both ways to probe one engine for its
// load and its cache events, none of which are new. TCP and IP headers are not
// counted.
func BenchmarkProbe(b *testing.B) {
	e := engine.New(engine.Config{Models: []string{"model"}})
	defer e.Close()
	var bytes atomic.Int64
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countingListener{listener, &bytes}) }()
	defer func() { _ = server.Close() }()
	scheduler := &fakeScheduler{reports: make(map[string]int)}
	store := newEngineStore(1, listener.Addr().String())
	prober := health.NewProber(store, link.NewPool(), scheduler)
	snapshot := store.Acquire()
	defer snapshot.Release()
	probes := 0
	for b.Loop() {
		prober.Probe(b.Context(), &snapshot.Plan.Servers[0])
		probes++
	}
	if got := scheduler.reports[snapshot.Plan.Servers[0].Name]; got != probes {
		b.Fatalf("%d reports of %d probes", got, probes)
	}
	b.ReportMetric(float64(bytes.Load())/float64(probes), "bytes")
}
