package network

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time for reading a request's header.
const headerTimeout = time.Minute

// Server serves a handler on any number of listeners and can make the
// connections that they accepted fail. Its methods are safe for concurrent use.
type Server struct {
	handler http.Handler

	// mu guards listeners.
	mu        sync.Mutex
	listeners []*Listener
}

// NewServer returns a server of a handler without a listener.
func NewServer(handler http.Handler) *Server { return &Server{handler: handler} }

// Serve serves on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	tracked := Wrap(l)
	s.mu.Lock()
	s.listeners = append(s.listeners, tracked)
	s.mu.Unlock()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		tracked.CloseConnections()
	})
	defer stop()
	if err := server.Serve(tracked); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Blackhole permanently stops all traffic on the open connections without closing
// them. New connections work.
func (s *Server) Blackhole() { s.forEach((*Listener).Blackhole) }

// Disable closes all connections and accepts none until Enable is called.
func (s *Server) Disable() { s.forEach((*Listener).Disable) }

// Enable makes a disabled server accept connections again.
func (s *Server) Enable() { s.forEach((*Listener).Enable) }

// forEach calls do for each listener.
func (s *Server) forEach(do func(*Listener)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		do(l)
	}
}
