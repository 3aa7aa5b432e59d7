package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"

	"github.com/juju/errors"
)

const (
	// ErrLengthMismatch means that a response has more or fewer bytes than it
	// declared.
	ErrLengthMismatch = errors.ConstError("response length differs from the declared length")

	// ErrTooLarge means that a response exceeds the limit of the reader.
	ErrTooLarge = errors.ConstError("response too large")

	epochHeader = "Epoch"

	// maxReadSize is the maximum number of bytes that one read of a body of
	// declared length requests. It is smaller than the transport's buffer, so
	// that bytes after the body are read into the buffer and detected.
	maxReadSize = 2 << 10
)

// ExchangeError is the error of an exchange that got no response.
type ExchangeError struct {
	// MaybeSent is set if a byte of the request may have reached the server.
	// False is definite: the connection accepts no further bytes of the request.
	MaybeSent bool

	// Reused is set if the connection had carried another exchange before.
	Reused bool
	Err    error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange failed (maybe sent: %t): %v", e.MaybeSent, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Request is the request of one exchange.
type Request struct {
	Method string

	// Path is the URL path with the query, in the form that is sent.
	Path   string
	Header http.Header
	Body   []byte

	// NewConnection makes the exchange use a connection that carries no other
	// exchange before or after it. A call that must not run more than once needs
	// this.
	NewConnection bool
}

// Exchange is a response whose body has not been read yet. Close must be called.
type Exchange struct {
	Status int
	Header http.Header

	// ContentLength is the declared length of the body in bytes, or -1.
	ContentLength int64

	// SelfDelimiting is set if the end of the body can be distinguished from a
	// broken connection: its length is declared or it is chunked.
	SelfDelimiting bool
	Body           io.ReadCloser

	tracker *connTracker
}

// Send makes one exchange and returns when the head of the response has arrived.
// It never sends a request twice. The error is an *ExchangeError. When the
// context ends, the connection is closed, even while the body is being read.
func (l *Link) Send(ctx context.Context, r Request) (*Exchange, error) {
	c := &connTracker{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: c.gotConn}), l.config.Address, r)
	if err != nil {
		return nil, &ExchangeError{Err: err}
	}
	transport := l.pooled
	if r.NewConnection || replayable(r) {
		transport = l.unpooled
	}
	response, err := transport.RoundTrip(request) //nolint:bodyclose // Exchange.Close closes it.
	if err != nil {
		l.recordFailure()
		return nil, c.exchangeError(withContextCause(ctx, err))
	}
	l.recordResponse(response.Header.Get(epochHeader))
	return &Exchange{
		Status:         response.StatusCode,
		Header:         response.Header,
		ContentLength:  response.ContentLength,
		SelfDelimiting: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		Body:           response.Body,
		tracker:        c,
	}, nil
}

// Close ends the exchange. If the response was not read to its end, the
// connection is closed.
func (e *Exchange) Close() {
	_ = e.Body.Close()
}

// ReadAll reads the body to its end. It returns ErrTooLarge if the body has more
// than limit bytes. The error wraps ErrLengthMismatch if the length of the
// response differs from the declared length.
func (e *Exchange) ReadAll(limit int64) ([]byte, error) {
	if e.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if e.ContentLength < 0 {
		return readAll(e.Body, limit)
	}
	body := make([]byte, e.ContentLength)
	if err := e.readFixed(body); err != nil {
		return nil, err
	}
	return body, nil
}

// readFixed reads a body of declared length. It reads the last byte separately:
// until then the connection can't carry another exchange, so any extra bytes
// that were read on it belong to no response.
func (e *Exchange) readFixed(body []byte) error {
	last := max(len(body)-1, 0)
	for done := 0; done < last; {
		n, err := e.Body.Read(body[done:min(last, done+maxReadSize)])
		done += n
		if err != nil && done < last {
			return lengthError(err)
		}
	}
	if e.tracker.extraBytes(e.ContentLength) > 0 {
		return ErrLengthMismatch
	}
	if _, err := io.ReadFull(e.Body, body[last:]); err != nil && len(body) > 0 {
		return lengthError(err)
	}
	return nil
}

// lengthError converts an early end of a body into ErrLengthMismatch.
func lengthError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: %w", ErrLengthMismatch, err)
	}
	return fmt.Errorf("read response: %w", err)
}

// readAll reads a body of undeclared length.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, lengthError(err)
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}

// connTracker tracks the connections of an exchange. The transport takes a second
// one only if it wrote nothing to the first.
type connTracker struct {
	// mu guards the fields below.
	mu         sync.Mutex
	conn       *conn
	generation uint64

	// sentEarlier is set if a byte may have been sent on an earlier connection
	// of the exchange. reused is whether conn carried an exchange before.
	sentEarlier bool
	reused      bool
}

// gotConn records the connection that will carry the request. It seals the
// previous connection of the exchange, if any.
func (c *connTracker) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.seal(c.generation) {
		c.sentEarlier = true
	}
	c.conn, c.reused = unwrap(info.Conn), info.Reused
	c.generation = c.conn.startExchange()
}

// exchangeError returns the error of the failed exchange, which says whether a
// byte may have been sent. It seals the connection, so no byte of the request is
// sent after it returns.
func (c *connTracker) exchangeError(err error) *ExchangeError {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &ExchangeError{MaybeSent: c.sentEarlier, Reused: c.reused, Err: err}
	if c.conn != nil && c.conn.seal(c.generation) {
		e.MaybeSent = true
	}
	return e
}

// extraBytes returns the number of bytes that were read after the response.
func (c *connTracker) extraBytes(declared int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return 0
	}
	return c.conn.extraBytes(c.generation, declared)
}

// unwrap returns c as the counting connection that the link opened.
func unwrap(c net.Conn) *conn {
	counted, ok := c.(*conn)
	if !ok {
		panic(fmt.Sprintf("link: connection of type %T", c))
	}
	return counted
}

// withContextCause adds the cause of the context's end to err if the context has
// ended.
func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return fmt.Errorf("%w: %w", context.Cause(ctx), err)
}

// newRequest builds the http.Request. It sets no GetBody, and a non-nil body even
// for methods that usually have none, so that net/http treats the request as one
// that can't be sent a second time.
func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, fmt.Errorf("parse path: %w", err)
	}
	target.Scheme = "http"
	target.Host = address
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          address,
		Header:        r.Header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(r.Body)),
	}
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	switch {
	case len(r.Body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	case usuallyWithoutBody(r.Method):
		request.Body = io.NopCloser(emptyBody{})
	}
	return request.WithContext(ctx), nil
}

// emptyBody is an empty request body other than http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// usuallyWithoutBody reports whether net/http sends no body and no length for
// an empty body of this method.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

// replayable reports whether net/http would send the request a second time after
// a failure on a reused connection, whatever body newRequest sets.
func replayable(r Request) bool {
	if len(r.Body) > 0 || usuallyWithoutBody(r.Method) {
		return false
	}
	if r.Method == http.MethodTrace {
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}
