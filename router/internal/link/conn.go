package link

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// errSealed is the error of a write to a sealed connection.
const errSealed = errors.ConstError("connection sealed")

// statusOffset is the offset of the first digit of the status code in the first
// line of a response.
const statusOffset = len("HTTP/1.1 ")

// headTerminator ends the head of a response.
const headTerminator = "\r\n\r\n"

// conn counts the bytes that one exchange writes and reads on a connection. A
// connection carries one exchange at a time; generation identifies the exchange.
type conn struct {
	net.Conn

	// mu guards the fields below.
	mu         sync.Mutex
	generation uint64

	// writtenBytes is the number of bytes passed to the connection. It is
	// increased before the bytes are sent, so zero means that none were sent.
	writtenBytes int
	sealed       bool

	// readBytes is the number of bytes read. headLength is the length of the
	// response head, including any interim responses, or zero until it has
	// been read completely.
	readBytes  int
	headLength int

	// matchedTerminator is the length of the prefix of headTerminator that was
	// read last. headOffset is the number of bytes read of the current head.
	// interim reports whether that head belongs to an interim response (status
	// 1xx).
	matchedTerminator int
	headOffset        int
	interim           bool
}

// startExchange resets the counters for a new exchange and returns its
// generation.
func (c *conn) startExchange() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	c.writtenBytes, c.readBytes, c.headLength = 0, 0, 0
	c.matchedTerminator, c.headOffset = 0, 0
	return c.generation
}

// seal rejects all further writes and reports whether a byte of the exchange may
// have been sent. It returns true without sealing if the connection already
// carries another exchange.
func (c *conn) seal(generation uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation {
		return true
	}
	c.sealed = true
	return c.writtenBytes > 0
}

// extraBytes returns how many bytes were read after a response whose body has the
// declared length. It returns zero if that is unknown.
func (c *conn) extraBytes(generation uint64, declared int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation || c.headLength == 0 {
		return 0
	}
	return max(int64(c.readBytes-c.headLength)-declared, 0)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writtenBytes += len(p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headLength == 0 {
		c.scanHead(p[:n])
	}
	c.readBytes += n
	return n, err
}

// scanHead looks for the end of the response head in p, and skips the heads of
// interim responses. The caller must hold c.mu.
func (c *conn) scanHead(p []byte) {
	for i, b := range p {
		if c.headOffset == statusOffset {
			c.interim = b == '1'
		}
		c.headOffset++
		c.matchTerminator(b)
		if c.matchedTerminator < len(headTerminator) {
			continue
		}
		c.matchedTerminator, c.headOffset = 0, 0
		if !c.interim {
			c.headLength = c.readBytes + i + 1
			return
		}
	}
}

// matchTerminator updates matchedTerminator with the byte b. The caller must hold
// c.mu.
func (c *conn) matchTerminator(b byte) {
	switch b {
	case headTerminator[c.matchedTerminator]:
		c.matchedTerminator++
	case headTerminator[0]:
		c.matchedTerminator = 1
	default:
		c.matchedTerminator = 0
	}
}
