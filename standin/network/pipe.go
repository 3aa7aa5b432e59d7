package network

import (
	"context"
	"net"
	"sync"
)

// PipeListener is a listener whose connections are created with net.Pipe.
type PipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*PipeListener)(nil)

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// DialContext connects to the listener. It ignores the network and address, which
// are there so that it can be used as http.Transport.DialContext.
func (p *PipeListener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	default:
	}
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *PipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *PipeListener) Addr() net.Addr {
	return pipeAddr{}
}

// pipeAddr is the address of every PipeListener.
type pipeAddr struct{}

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (pipeAddr) String() string { return "pipe" }
