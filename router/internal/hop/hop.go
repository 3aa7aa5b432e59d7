// Package hop makes single HTTP/1.1 exchanges with a backend server. It writes
// a request as the caller sent it, never writes it twice, and knows of each
// failed exchange whether a byte of it can have reached the server. It tells
// answers of other exchanges, which may come late on a kept connection, from
// the one that is awaited.
package hop

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/link"
)

const (
	// ErrUnmatchedResponses says that too many answers of other exchanges came first.
	ErrUnmatchedResponses = errors.ConstError("answers of other exchanges")

	// lateAnswers is the largest number of such answers that are passed over,
	// and lateBytes the length of each.
	lateAnswers = 2
	lateBytes   = 64 << 10
)

// Request is what one exchange sends.
type Request struct {
	Method string

	// Target is the path with the query as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte

	// HasBody says that the caller's request had a body, which may be empty.
	HasBody bool

	// Matches reports whether an answer belongs to this exchange.
	Matches func(header http.Header) bool
}

// Response is an answer whose body is read by its user. Close must be called.
type Response struct {
	Status int
	Header http.Header

	// SelfDelimiting says that the end of the body shows on the connection; if not,
	// the body ends with it.
	SelfDelimiting bool

	body    io.ReadCloser
	conn    *conn
	pool    *Pool
	keep    time.Duration
	release func() bool
	written *atomic.Bool
	ended   bool
}

// Send makes one exchange and returns when the head of the answer has come.
// The error is a *link.Failure. When the context ends, the connection is closed,
// also while the body is being read.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	c := p.take(time.Now())
	if c == nil {
		fresh, err := dial(ctx, p.address)
		if err != nil {
			return nil, &link.ExchangeError{Err: err}
		}
		c = fresh
	}
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := p.exchange(c, r)
	if err != nil {
		release()
		_ = c.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, &link.ExchangeError{MaybeSent: true, Reused: c.reused, Err: err}
	}
	answer.release = release
	return answer, nil
}

// exchange writes the request and reads the head of its answer. The request is
// written beside the reading, as the server may answer before it has read a
// long body.
func (p *Pool) exchange(c *conn, r Request) (*Response, error) {
	written := &atomic.Bool{}
	head := encodeHead(r)
	if len(head)+len(r.Body) <= singleWrite {
		if _, err := c.Write(append(head, r.Body...)); err != nil {
			return nil, fmt.Errorf("write request: %w", err)
		}
		written.Store(true)
	} else {
		go writeLong(c, head, r.Body, written)
	}
	response, err := awaitAnswer(c.reader, r) //nolint:bodyclose // Its connection is what Answer.Close closes.
	if err != nil {
		return nil, err
	}
	answer := &Response{
		Status:         response.StatusCode,
		Header:         response.Header,
		SelfDelimiting: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		body:           response.Body,
		conn:           c,
		pool:           p,
		written:        written,
	}
	if !response.Close && answer.SelfDelimiting {
		answer.keep = keepTime(response.Header)
	}
	return answer, nil
}

// singleWrite is the length up to which a request is written at once, in
// bytes. Socket buffers take that much without the peer reading.
const singleWrite = 16 << 10

// writeLong writes a request that may not fit into the socket's buffer.
func writeLong(c *conn, head, body []byte, written *atomic.Bool) {
	if _, err := c.Write(head); err != nil {
		return // The reader of the answer sees the broken connection too.
	}
	if _, err := c.Write(body); err != nil {
		return // As above; the connection is not kept, since written is not set.
	}
	written.Store(true)
}

// awaitAnswer reads heads until that of the awaited answer comes.
func awaitAnswer(reader *bufio.Reader, r Request) (*http.Response, error) {
	for range lateAnswers + 1 {
		response, err := readFinal(reader, r.Method)
		if err != nil {
			return nil, err
		}
		if r.Matches(response.Header) {
			return response, nil
		}
		_, err = io.CopyN(io.Discard, response.Body, lateBytes)
		if !errors.Is(err, io.EOF) || response.Close {
			return nil, fmt.Errorf("skip answer: %w", ErrUnmatchedResponses)
		}
	}
	return nil, ErrUnmatchedResponses
}

// readFinal reads the head of an answer and passes over interim ones.
func readFinal(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// encodeHead writes the request line and the header. The length of the body is
// the router's to say.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, fmt.Errorf("read body: %w", err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept if the request was written
// and the answer read to their ends and no byte follows; else it is closed.
func (a *Response) Close() {
	if !a.release() {
		return // The context ended first and closed the connection.
	}
	if !a.ended || !a.written.Load() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn, a.keep)
}
