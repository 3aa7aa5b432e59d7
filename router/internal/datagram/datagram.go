// Package datagram receives the UDP datagrams by which routers exchange small
// messages. A datagram may be lost, and nothing is sent again.
package datagram

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// MaxSize bounds the size of a datagram, in bytes.
const MaxSize = 16 << 10

// ErrTooLong means that a datagram is longer than MaxSize.
const ErrTooLong = errors.ConstError("datagram too long")

// Listen opens a socket that is closed when the context ends.
func Listen(ctx context.Context, address netip.AddrPort) (net.PacketConn, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}

// ReceiveAll passes each datagram with its sender to a function until the
// context ends. It reports errors and goes on.
func ReceiveAll(ctx context.Context, conn net.PacketConn, handle func(netip.AddrPort, []byte) error, report func(error)) error {
	buffer := make([]byte, MaxSize+1) // Room in which a longer one is noticed.
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return fmt.Errorf("receive: %w", ctx.Err())
		}
		if err != nil {
			report(fmt.Errorf("receive: %w", err))
			continue
		}
		udp, ok := from.(*net.UDPAddr)
		if !ok {
			report(errors.NotValidf("sender %v", from))
			continue
		}
		address := udp.AddrPort()
		sender := netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
		if err := handleChecked(handle, sender, buffer[:n]); err != nil {
			report(fmt.Errorf("message from %s: %w", sender, err))
		}
	}
}

// handleChecked passes a datagram to a function unless it is longer than MaxSize.
func handleChecked(handle func(netip.AddrPort, []byte) error, sender netip.AddrPort, data []byte) error {
	if len(data) > MaxSize {
		return ErrTooLong
	}
	return handle(sender, data)
}
