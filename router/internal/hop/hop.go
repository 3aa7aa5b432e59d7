// Package hop makes single HTTP/1.1 exchanges with a backend server. It sends a
// request as given and never more than once, and it reports for each failed
// exchange whether any byte of it may have reached the server. It recognizes
// responses to other exchanges, which may arrive late on a reused connection,
// and skips a limited number of them.
package hop

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/link"
)

const (
	// ErrUnmatchedResponses means that the responses on a connection belong to
	// other exchanges.
	ErrUnmatchedResponses = errors.ConstError("responses to other requests")

	// errNotWritten means that no byte of the request was written.
	errNotWritten = errors.ConstError("nothing written")
)

// Request is the request of one exchange.
type Request struct {
	Method string

	// Target is the path with the query as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte

	// HasBody says that the caller's request had a body, which may be empty.
	HasBody bool

	// BeforeWrite is called before the first byte is written to a connection. If
	// it returns an error, nothing is written and the exchange fails with that
	// error. It may be nil.
	BeforeWrite func() error

	// Matches reports whether the response with this header belongs to the
	// exchange. first says that nothing was received on the connection before, so
	// that a response that names no request can be no repeated one.
	Matches func(header http.Header, first bool) bool
}

// Response is a response whose body is read with Read. Close must be called.
type Response struct {
	Status int
	Header http.Header

	// SelfDelimiting says that the response has a length or is chunked.
	// Otherwise its body ends with the connection.
	SelfDelimiting bool

	// Reused says that the connection had carried another exchange before.
	Reused bool

	body        io.Reader
	conn        *conn
	pool        *Pool
	keepAlive   time.Duration
	stopCancel  func() bool
	cancelCause func() error
	write       *requestWrite
	bodyRead    bool
}

// Send makes one exchange and returns when the head of the response has
// arrived. If a kept connection breaks before a byte is written, the request is
// sent on a new one. The error is a *link.ExchangeError. When the context ends,
// the connection is closed, even while the body is being read.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	if c := p.get(time.Now()); c != nil {
		response, err := p.sendOn(ctx, c, r)
		if !errors.Is(err, errNotWritten) || ctx.Err() != nil {
			return response, err
		}
	}
	c, err := dial(ctx, p.local, p.address)
	if err != nil {
		return nil, &link.ExchangeError{Err: err}
	}
	return p.sendOn(ctx, c, r)
}

// sendOn makes an exchange on a connection.
func (p *Pool) sendOn(ctx context.Context, c *conn, r Request) (*Response, error) {
	if r.BeforeWrite != nil {
		if err := r.BeforeWrite(); err != nil {
			_ = c.Close()
			return nil, &link.ExchangeError{Reused: c.reused, Err: err}
		}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := p.exchange(c, r)
	if err != nil {
		stopCancel()
		_ = c.Close()
		maybeSent := !errors.Is(err, errNotWritten)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, &link.ExchangeError{MaybeSent: maybeSent, Reused: c.reused, Err: err}
	}
	response.stopCancel = stopCancel
	response.cancelCause = func() error { return context.Cause(ctx) }
	return response, nil
}

// exchange writes the request and reads the head of its response.
func (p *Pool) exchange(c *conn, r Request) (*Response, error) {
	write, n, err := startWrite(c, encodeHead(r), r.Body)
	if err != nil && n == 0 {
		return nil, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	if err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	httpResponse, err := awaitResponse(c, r, write) //nolint:bodyclose // Response.Close closes the connection instead.
	if err != nil {
		return nil, err
	}
	response := &Response{
		Status:         httpResponse.StatusCode,
		Header:         httpResponse.Header,
		SelfDelimiting: httpResponse.ContentLength >= 0 || len(httpResponse.TransferEncoding) > 0,
		Reused:         c.reused,
		body:           httpResponse.Body,
		conn:           c,
		pool:           p,
		write:          write,
	}
	if !httpResponse.Close && response.SelfDelimiting {
		response.keepAlive = keepAliveTime(httpResponse.Header)
	}
	return response, nil
}

// encodeHead encodes the request line and the header. Content-Length is set
// from the body.
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

// Read reads the body. It returns io.EOF only at the end of a complete body. The
// error names the cause if the context has ended.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
		return n, io.EOF
	}
	if err == nil {
		return n, nil
	}
	if cause := r.cancelCause(); cause != nil {
		return n, fmt.Errorf("read body: %w: %w", cause, err)
	}
	return n, fmt.Errorf("read body: %w", err)
}

// Close ends the exchange. The connection is kept if the request was written
// completely, the response read to its end and no byte follows it. Otherwise it
// is closed.
func (r *Response) Close() {
	if !r.stopCancel() {
		return // The context ended first and closed the connection.
	}
	if !r.bodyRead || !r.write.complete() || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, r.keepAlive)
}
