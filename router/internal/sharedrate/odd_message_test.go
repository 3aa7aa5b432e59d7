package sharedrate_test

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"snipetally.example/router/internal/sharedrate"
)

// scriptedConn is a socket on which given datagrams arrive.
type scriptedConn struct {
	net.PacketConn
	incoming chan []byte
	ended    context.Context
}

// ReadFrom implements net.PacketConn.
func (c scriptedConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-c.ended.Done():
		return 0, nil, net.ErrClosed
	case data := <-c.incoming:
		return copy(b, data), &net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 7343}, nil
	}
}

// WriteTo implements net.PacketConn.
func (c scriptedConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// Guards against servers that are not known to leave, as another statement of the same message is odd.
func TestOddStatementCostsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		conn := scriptedConn{incoming: make(chan []byte, 1), ended: ctx}
		var mu sync.Mutex
		var leaving []sharedrate.Key
		exchange := sharedrate.NewExchange(sharedrate.Config{
			Address:     netip.MustParseAddrPort("10.0.0.1:7343"),
			Clock:       func() time.Duration { return time.Hour },
			Members:     func(time.Time) []netip.AddrPort { return nil },
			SettleTime:  func() time.Duration { return time.Second },
			OnChange:    func(sharedrate.Key, sharedrate.Statement, netip.AddrPort) {},
			ReportError: func(err error) { t.Error(err) },
			OnLeaving: func(key sharedrate.Key, _ netip.AddrPort) {
				mu.Lock()
				defer mu.Unlock()
				leaving = append(leaving, key)
			},
			Listen: func(context.Context, netip.AddrPort) (net.PacketConn, error) { return conn, nil },
		})
		go func() { _ = exchange.Run(ctx) }()
		odd := [][]any{
			{1, true, math.NaN(), 0, false}, {1, true, math.Inf(1), 0, false}, {1, true, -1.0, 0, false},
			{1, true, 1e300, 0, false}, {1, true, 5.0, -7, false},
		}
		for i, statement := range odd {
			server := 100 + i
			data, err := cbor.Marshal([]any{[]any{statement, []any{server, false, 0.0, 1000, true}}, nil, nil, 0, 0})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			conn.incoming <- data
			synctest.Wait()
			mu.Lock()
			g.Expect(leaving).To(gomega.ContainElement(sharedrate.Key(server)), "%v", statement)
			mu.Unlock()
		}
		cancel()
		synctest.Wait()
	})
}
