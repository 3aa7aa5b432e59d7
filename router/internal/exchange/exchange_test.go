package exchange_test

import (
	"context"
	"errors"
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

// network is a fake network that delivers datagrams between connections by
// address.
type network struct {
	mu    sync.Mutex
	conns map[string]*conn
	sent  [][]byte
}

// conn is a connection to a fake network.
type conn struct {
	network *network
	in      chan []byte
	closed  chan struct{}
	once    sync.Once

	// readErr makes each read fail if it is set.
	readErr error
	net.PacketConn
}

func (n *network) listen(address string) *conn {
	c := &conn{network: n, in: make(chan []byte, 64), closed: make(chan struct{})}
	n.conns[address] = c
	return c
}

func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	if c.readErr != nil {
		return 0, nil, c.readErr
	}
	select {
	case data := <-c.in:
		return copy(p, data), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	data := append([]byte(nil), p...)
	c.network.sent = append(c.network.sent, data)
	if peer, ok := c.network.conns[to.String()]; ok {
		peer.in <- data
	}
	return len(p), nil
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// directory is a fake Directory of two routers.
type directory struct{}

func (directory) Routers() []string { return []string{"a", "b"} }

func (directory) Address(router string) (string, bool) {
	address, ok := map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"}[router]
	return address, ok
}

// receiver records the messages it receives.
type receiver struct {
	reports []share.DemandReport
	limits  []limit.Message
}

func (r *receiver) ReceiveDemand(report share.DemandReport) { r.reports = append(r.reports, report) }
func (r *receiver) ReceiveLimits(message limit.Message)     { r.limits = append(r.limits, message) }

const key = "a key between routers"

func TestMessagesArriveUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.SliceOfN(rapid.IntRange(0, 3000), share.Levels, share.Levels).Draw(rt, "tenths")
		teams := rapid.IntRange(1, 100).Draw(rt, "teams")
		g := gomega.NewWithT(rt)
		var demand share.Demand
		for i, n := range slots {
			demand[i] = float64(n) / 10
		}
		report := share.DemandReport{Router: "a", Pools: map[share.PoolName]share.Demand{"pool": demand}}
		message := limit.Message{From: "a", To: "b"}
		for i := range teams {
			teamDemand := limit.Demand{Requests: 1.5, Tokens: 64, Running: 2}
			message.Teams = append(message.Teams, limit.TeamDemand{Team: fmt.Sprint(i), Demand: teamDemand, IsTotal: i%2 == 0})
		}
		received := &receiver{}
		synctest.Test(t, func(t *testing.T) { deliver(t, received, report, message) })
		g.Expect(received.reports).To(gomega.Equal([]share.DemandReport{report}))
		var receivedTeams []limit.TeamDemand
		for _, part := range received.limits {
			g.Expect(part.From).To(gomega.Equal("a"))
			g.Expect(part.To).To(gomega.Equal("b"))
			receivedTeams = append(receivedTeams, part.Teams...)
		}
		g.Expect(receivedTeams).To(gomega.Equal(message.Teams))
	})
}

// deliver sends a report and a message from router a to router b, which also
// accepts the older key that a uses.
func deliver(t *testing.T, received *receiver, report share.DemandReport, message limit.Message) {
	network := &network{conns: make(map[string]*conn)}
	a := exchange.New("a", network.listen("10.0.0.1:1"), []string{key}, directory{})
	b := exchange.New("b", network.listen("10.0.0.2:1"), []string{"a newer key", key}, directory{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx, received) }()
	a.SendDemand("b", report)
	a.SendLimits(message)
	synctest.Wait()
	cancel()
	gomega.NewWithT(t).Expect(<-done).To(gomega.Succeed())
}

func TestReplayedOldAndForeignDatagramsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		network := &network{conns: make(map[string]*conn)}
		a := exchange.New("a", network.listen("10.0.0.1:1"), []string{key}, directory{})
		b := exchange.New("b", network.listen("10.0.0.2:1"), []string{key}, directory{})
		foreign := exchange.New("c", network.listen("10.0.0.3:1"), []string{"another key"}, directory{})
		received := &receiver{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx, received) }()

		report := share.DemandReport{Router: "a", Pools: map[share.PoolName]share.Demand{}}
		a.SendDemand("b", report)
		synctest.Wait()
		first := network.sent[0]
		time.Sleep(time.Second)
		a.SendDemand("b", report)
		synctest.Wait()
		g.Expect(received.reports).To(gomega.HaveLen(2))

		network.conns["10.0.0.2:1"].in <- first
		foreign.SendDemand("b", report)
		network.conns["10.0.0.2:1"].in <- []byte("noise")
		time.Sleep(2 * time.Minute)
		network.conns["10.0.0.2:1"].in <- network.sent[1]
		synctest.Wait()
		g.Expect(received.reports).To(gomega.HaveLen(2))
		g.Expect(b.Statistics().Dropped).To(gomega.Equal(uint64(4)))
		cancel()
		g.Expect(<-done).To(gomega.Succeed())
	})
}

func TestConnectionIsClosedAfterReadError(t *testing.T) {
	g := gomega.NewWithT(t)
	network := &network{conns: make(map[string]*conn)}
	broken := network.listen("10.0.0.1:1")
	broken.readErr = errors.New("broken")
	e := exchange.New("a", broken, []string{key}, directory{})
	g.Expect(e.Run(t.Context(), &receiver{})).To(gomega.MatchError(broken.readErr))
	g.Expect(broken.closed).To(gomega.BeClosed())
}
