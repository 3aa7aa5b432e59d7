package relay

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"snipetally.example/router/internal/inbound"
)

const (
	// freeResponseBytes is how much of each response may be held without a reservation. It
	// is more than most responses have, so that these do not depend on others.
	freeResponseBytes = 32 << 10

	// initialBufferBytes is the initial size of a buffer.
	initialBufferBytes = 2 << 10

	// errBufferFull means that a body or response is longer than it may be.
	errBufferFull = errors.ConstError("too long")

	// errNoMemory means that the bodies or responses that are held at once use up their memory.
	errNoMemory = errors.ConstError("no memory left")
)

// buffer holds a body or response, or a part of it, whose end may never come. It grows with what
// arrives, up to a size, and beyond what is free by reservations.
type buffer struct {
	data []byte

	maxBytes  int
	freeBytes int64
	resource  inbound.Resource
	conn      *inbound.Conn
	reserved  int64
}

// newBuffer returns an empty buffer. It is released when the request ends, if its user has not.
func (p *proxiedRequest) newBuffer(resource inbound.Resource, maxBytes int, freeBytes int64) *buffer {
	b := &buffer{maxBytes: maxBytes, freeBytes: freeBytes, resource: resource, conn: p.conn}
	p.buffers = append(p.buffers, b)
	return b
}

// readFrom reads once, after it has made room. The error is that of the reader, or says that
// there is no room.
func (b *buffer) readFrom(reader io.Reader) error {
	if err := b.makeRoom(); err != nil {
		return err
	}
	n, err := reader.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return err //nolint:wrapcheck // A reader passes on io.EOF.
}

// readAll reads to the end. The error is that of the reader, or says that there is no room.
func (b *buffer) readAll(reader io.Reader) error {
	for {
		err := b.readFrom(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// makeRoom grows a buffer that is full.
func (b *buffer) makeRoom() error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	if len(b.data) >= b.maxBytes {
		return fmt.Errorf("%w: over %d bytes", errBufferFull, b.maxBytes)
	}
	size := min(max(2*cap(b.data), initialBufferBytes), b.maxBytes)
	if missing := int64(size) - b.freeBytes - b.reserved; missing > 0 {
		if !b.conn.Reserve(b.resource, missing) {
			return fmt.Errorf("%w for %s", errNoMemory, b.resource)
		}
		b.reserved += missing
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// discard removes bytes from the start.
func (b *buffer) discard(bytes int) { b.data = b.data[:copy(b.data, b.data[bytes:])] }

// release gives back what the buffer has reserved. The data must not be used any more.
func (b *buffer) release() {
	b.conn.Release(b.resource, b.reserved)
	b.data, b.reserved = nil, 0
}

// releaseBuffers gives back the memory of the body and of all responses of the request.
func (p *proxiedRequest) releaseBuffers() {
	for _, b := range p.buffers {
		b.release()
	}
	p.buffers = nil
}
