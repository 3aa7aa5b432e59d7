package exchange_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/exchange"
	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/share"
)

func init() { seeds.Fix() }

// wire carries datagrams between fake connections by address.
type wire struct {
	mu    sync.Mutex
	conns map[string]*conn
	sent  [][]byte
}

// conn is one end of a wire.
type conn struct {
	wire   *wire
	in     chan []byte
	closed chan struct{}
	once   sync.Once
	net.PacketConn
}

func (w *wire) listen(address string) *conn {
	c := &conn{wire: w, in: make(chan []byte, 64), closed: make(chan struct{})}
	w.conns[address] = c
	return c
}

func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-c.in:
		return copy(p, data), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	data := append([]byte(nil), p...)
	c.wire.sent = append(c.wire.sent, data)
	if peer, ok := c.wire.conns[to.String()]; ok {
		peer.in <- data
	}
	return len(p), nil
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// group names two routers.
type group struct{}

func (group) Routers() []string { return []string{"a", "b"} }

func (group) Address(router string) (string, bool) {
	address, ok := map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"}[router]
	return address, ok
}

// gate keeps what it hears.
type gate struct {
	notes  []share.DemandReport
	limits []limit.Message
}

func (g *gate) Hear(note share.DemandReport)    { g.notes = append(g.notes, note) }
func (g *gate) HearLimit(message limit.Message) { g.limits = append(g.limits, message) }

const key = "a key between routers"

func TestDemandArrivesAsItWasSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.SliceOfN(rapid.IntRange(0, 3000), share.Levels, share.Levels).Draw(rt, "tenths")
		teams := rapid.IntRange(1, 100).Draw(rt, "teams")
		g := gomega.NewWithT(rt)
		var demand share.Demand
		for i, n := range slots {
			demand[i] = float64(n) / 10
		}
		note := share.DemandReport{Router: "a", Pools: map[share.PoolName]share.Demand{"pool": demand}}
		message := limit.Message{From: "a", To: "b"}
		for i := range teams {
			use := limit.Demand{Requests: 1.5, Tokens: 64, Running: 2}
			message.Teams = append(message.Teams, limit.TeamDemand{Team: fmt.Sprint(i), Demand: use, IsTotal: i%2 == 0})
		}
		heard := &gate{}
		synctest.Test(t, func(t *testing.T) { deliver(t, heard, note, message) })
		g.Expect(heard.notes).To(gomega.Equal([]share.DemandReport{note}))
		var usages []limit.TeamDemand
		for _, part := range heard.limits {
			g.Expect(part.From).To(gomega.Equal("a"))
			g.Expect(part.To).To(gomega.Equal("b"))
			usages = append(usages, part.Teams...)
		}
		g.Expect(usages).To(gomega.Equal(message.Teams))
	})
}

// deliver sends a note and a message from router a to router b, which takes an
// older key beside its own.
func deliver(t *testing.T, heard *gate, note share.DemandReport, message limit.Message) {
	w := &wire{conns: make(map[string]*conn)}
	a := exchange.New("a", w.listen("10.0.0.1:1"), []string{key}, group{})
	b := exchange.New("b", w.listen("10.0.0.2:1"), []string{"a newer key", key}, group{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx, heard) }()
	a.SendDemand("b", note)
	a.SendLimit(message)
	synctest.Wait()
	cancel()
	gomega.NewWithT(t).Expect(<-done).To(gomega.Succeed())
}

func TestRepeatedOldAndForeignDatagramsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := &wire{conns: make(map[string]*conn)}
		a := exchange.New("a", w.listen("10.0.0.1:1"), []string{key}, group{})
		b := exchange.New("b", w.listen("10.0.0.2:1"), []string{key}, group{})
		foreign := exchange.New("c", w.listen("10.0.0.3:1"), []string{"another key"}, group{})
		heard := &gate{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx, heard) }()

		note := share.DemandReport{Router: "a", Pools: map[share.PoolName]share.Demand{}}
		a.SendDemand("b", note)
		synctest.Wait()
		first := w.sent[0]
		time.Sleep(time.Second)
		a.SendDemand("b", note)
		synctest.Wait()
		g.Expect(heard.notes).To(gomega.HaveLen(2))

		w.conns["10.0.0.2:1"].in <- first
		foreign.SendDemand("b", note)
		w.conns["10.0.0.2:1"].in <- []byte("noise")
		time.Sleep(2 * time.Minute)
		w.conns["10.0.0.2:1"].in <- w.sent[1]
		synctest.Wait()
		g.Expect(heard.notes).To(gomega.HaveLen(2))
		g.Expect(b.Statistics().Dropped).To(gomega.Equal(uint64(4)))
		cancel()
		g.Expect(<-done).To(gomega.Succeed())
	})
}
