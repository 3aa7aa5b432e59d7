package network

import (
	"context"
	"net"
	"sync"
)

// PipeListener is a listener whose connections are the ends of net.PipeListener.
type PipeListener struct {
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var _ net.Listener = (*PipeListener)(nil)

// NewPipeListener returns a listener that Dial connects to.
func NewPipeListener() *PipeListener {
	return &PipeListener{accepts: make(chan net.Conn), closed: make(chan struct{})}
}

// DialContext opens a connection to the listener. Its network and address are not
// used. It has the form that http.Transport expects.
func (p *PipeListener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	default:
	}
	near, far := net.Pipe()
	select {
	case p.accepts <- far:
		return near, nil
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepts:
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

// pipeAddr is the address of every Pipe.
type pipeAddr struct{}

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (pipeAddr) String() string { return "pipe" }
