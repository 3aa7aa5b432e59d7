package sharedrate_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/sharedrate"
)

// silentConn is a socket on which nothing arrives.
type silentConn struct {
	net.PacketConn
	ended context.Context
}

// ReadFrom implements net.PacketConn.
func (c silentConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.ended.Done()
	return 0, nil, net.ErrClosed
}

// WriteTo implements net.PacketConn.
func (c silentConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// startSilentExchange runs the exchange of a router that hears no other, until the context
// ends.
func startSilentExchange(ctx context.Context, seeds func() []netip.AddrPort) *sharedrate.Exchange {
	start := time.Now()
	exchange := sharedrate.NewExchange(sharedrate.Config{
		Address:     netip.MustParseAddrPort("10.0.0.1:7343"),
		Seeds:       seeds,
		Clock:       func() time.Duration { return time.Since(start) },
		Members:     func(time.Time) []netip.AddrPort { return nil },
		SettleTime:  func() time.Duration { return time.Second },
		ReportError: func(error) {},
		Listen: func(context.Context, netip.AddrPort) (net.PacketConn, error) {
			return silentConn{ended: ctx}, nil
		},
	})
	go func() { _ = exchange.Run(ctx) }()
	return exchange
}

// permitsIn returns the number of permits that a router which asks all the time gets in a
// time.
func permitsIn(ctx context.Context, exchange *sharedrate.Exchange, length time.Duration) int {
	permits := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, _, ok := exchange.Acquire(ctx, serverKey, 0); ok {
			permits++
		}
	}
	return permits
}

// Guards against a router that gives the whole of a limit although its settings have just
// named a router that it doesn't hear: as at the start, that one may be alive on the other
// side of a partition.
func TestSeedsNamedLaterCountAsRoutersThatMayBeAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const limit = 10
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		var seeds atomic.Pointer[[]netip.AddrPort]
		seeds.Store(&[]netip.AddrPort{})
		exchange := startSilentExchange(ctx, func() []netip.AddrPort { return *seeds.Load() })
		time.Sleep(5 * time.Second)
		exchange.Observe(serverKey, sharedrate.Statement{Limited: true, PerSecond: limit}, 0)
		permitsIn(ctx, exchange, 5*time.Second)
		g.Expect(permitsIn(ctx, exchange, 10*time.Second)).To(gomega.BeNumerically("~", 10*limit, limit))

		seeds.Store(&[]netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7343")})
		permitsIn(ctx, exchange, time.Second)
		g.Expect(permitsIn(ctx, exchange, 10*time.Second)).To(gomega.BeNumerically("~", 5*limit, limit))

		permitsIn(ctx, exchange, time.Minute) // It is taken for gone, and the largest number forgotten.
		g.Expect(permitsIn(ctx, exchange, 10*time.Second)).To(gomega.BeNumerically("~", 10*limit, limit))
	})
}
