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

func engines(n int, address string) *fleet.Store {
	plan := fleet.Plan{}
	for i := range n {
		plan.Servers = append(plan.Servers, backend.Server{
			Name: fmt.Sprintf("server-%05d", i), Address: address, Models: []string{"model"}, Slots: 16,
		})
	}
	holder := fleet.NewStore()
	holder.Install(fleet.New(1, plan))
	return holder
}

// BenchmarkDue measures one look at which engines are due, four of which are
// made in a second.
func BenchmarkDue(b *testing.B) {
	for _, n := range []int{20, 30, 3000, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			prober := health.NewProber(engines(n, "10.0.0.1:80"), link.NewPool(), &gate{})
			for range n {
				prober.Due(1)
			}
			for b.Loop() {
				prober.Due(1)
			}
		})
	}
}

// counted counts the bytes of its connections.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l counted) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkAsk measures the bytes both ways of asking one engine for its load
// and its cache events, of which there are none new, without the headers of TCP
// and IP.
func BenchmarkAsk(b *testing.B) {
	e := engine.New(engine.Config{Models: []string{"model"}})
	defer e.Close()
	var bytes atomic.Int64
	plain, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(counted{plain, &bytes}) }()
	defer func() { _ = server.Close() }()
	g := &gate{reports: make(map[string]int)}
	holder := engines(1, plain.Addr().String())
	prober := health.NewProber(holder, link.NewPool(), g)
	snapshot := holder.Acquire()
	defer snapshot.Release()
	asked := 0
	for b.Loop() {
		prober.Probe(b.Context(), &snapshot.Plan.Servers[0])
		asked++
	}
	if got := g.reports[snapshot.Plan.Servers[0].Name]; got != asked {
		b.Fatalf("%d reports of %d", got, asked)
	}
	b.ReportMetric(float64(bytes.Load())/float64(asked), "bytes")
}
