package datagram_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/router/internal/datagram"
)

// arrivals is a socket on which given datagrams arrive, and which ends with the last one.
type arrivals struct {
	net.PacketConn
	left [][]byte
	end  context.CancelFunc
}

// ReadFrom implements net.PacketConn.
func (a *arrivals) ReadFrom(b []byte) (int, net.Addr, error) {
	if len(a.left) == 0 {
		a.end()
		return 0, nil, net.ErrClosed
	}
	n := copy(b, a.left[0])
	a.left = a.left[1:]
	return n, &net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 1}, nil
}

// Guards against a datagram that is read although it was cut off.
func TestTooLongDatagramIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	conn := &arrivals{end: cancel, left: [][]byte{
		make([]byte, datagram.MaxSize), make([]byte, datagram.MaxSize+1), make([]byte, datagram.MaxSize+5000), {1},
	}}
	var lengths []int
	tooLong := 0
	handle := func(_ netip.AddrPort, data []byte) error {
		lengths = append(lengths, len(data))
		return nil
	}
	err := datagram.ReceiveAll(ctx, conn, handle, func(err error) {
		if errors.Is(err, datagram.ErrTooLong) {
			tooLong++
		}
	})
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(lengths).To(gomega.Equal([]int{datagram.MaxSize, 1}))
	g.Expect(tooLong).To(gomega.Equal(2))
}

func TestAnnouncementsAreSpreadOverMoreTimeAmongMoreRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	longest := func(others int) time.Duration {
		most := time.Duration(0)
		for range 1000 {
			delay := datagram.AnnouncementDelay(others)
			g.Expect(delay).To(gomega.BeNumerically(">=", 0))
			most = max(most, delay)
		}
		return most
	}
	g.Expect(longest(0)).To(gomega.BeNumerically("<=", 10*time.Millisecond))
	g.Expect(longest(400)).To(gomega.BeNumerically(">", longest(8)))
	g.Expect(longest(400)).To(gomega.BeNumerically("<=", 210*time.Millisecond))
}
