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
	// ErrLengthMismatch says that an answer has more or fewer bytes than declared.
	ErrLengthMismatch = errors.ConstError("answer has another length than declared")

	// ErrTooLarge says that an answer is longer than the reader's bound.
	ErrTooLarge = errors.ConstError("answer too long")

	epochHeader = "Epoch"

	// readStep is the largest number of bytes that one read of a whole body
	// asks for. It is smaller than the transport's buffer, so that the bytes
	// after the body are read into the buffer and noticed.
	readStep = 2 << 10
)

// ExchangeError is the error of an exchange without an answer.
type ExchangeError struct {
	// MaybeSent says that a byte of the request can have reached the server. False
	// is definite: the connection takes no later bytes of the request.
	MaybeSent bool

	// Reused says that the connection had served another exchange.
	Reused bool
	Err    error
}

// Error implements error.
func (f *ExchangeError) Error() string {
	return fmt.Sprintf("exchange failed (sent %t): %v", f.MaybeSent, f.Err)
}

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.Err }

// Request is what one exchange sends.
type Request struct {
	Method string

	// Path is the path with the query, as it goes on the wire.
	Path   string
	Header http.Header
	Body   []byte

	// NewConnection makes the exchange use a connection of its own, which carried no
	// other exchange. A call that may not be repeated needs one.
	NewConnection bool
}

// Exchange is an answer whose body is not read yet. Close must be called.
type Exchange struct {
	Status int
	Header http.Header

	// ContentLength is the declared length of the body in bytes, or -1.
	ContentLength int64

	// SelfDelimiting says that the end of the body can be told from a broken
	// connection, since its length is declared or it comes in chunks.
	SelfDelimiting bool
	Body           io.ReadCloser

	call *call
}

// Send makes one exchange and returns when the head of the answer has come.
// It never sends a request twice. The error is a *Failure. When the context
// ends, the connection is closed, also while the body is being read.
func (l *Link) Send(ctx context.Context, r Request) (*Exchange, error) {
	c := &call{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: c.gotConn}), l.config.Address, r)
	if err != nil {
		return nil, &ExchangeError{Err: err}
	}
	transport := l.pooled
	if r.NewConnection || replayable(r) {
		transport = l.fresh
	}
	response, err := transport.RoundTrip(request) //nolint:bodyclose // Exchange.Close closes it.
	if err != nil {
		l.failed()
		return nil, c.failure(cause(ctx, err))
	}
	l.answered(response.Header.Get(epochHeader))
	return &Exchange{
		Status:         response.StatusCode,
		Header:         response.Header,
		ContentLength:  response.ContentLength,
		SelfDelimiting: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		Body:           response.Body,
		call:           c,
	}, nil
}

// Close ends the exchange. A connection whose answer was not read to its end
// is closed.
func (e *Exchange) Close() {
	_ = e.Body.Close()
}

// ReadAll reads the body to its end, at most limit bytes of it. The error wraps
// ErrLength for an answer of another length than declared.
func (e *Exchange) ReadAll(limit int64) ([]byte, error) {
	if e.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if e.ContentLength < 0 {
		return readAll(e.Body, limit)
	}
	body := make([]byte, e.ContentLength)
	if err := e.fill(body); err != nil {
		return nil, err
	}
	return body, nil
}

// fill reads a body of declared length. The last byte is read on its own:
// until then the connection can't serve another exchange, and what else was
// read on it does not belong to any answer.
func (e *Exchange) fill(body []byte) error {
	last := max(len(body)-1, 0)
	for done := 0; done < last; {
		n, err := e.Body.Read(body[done:min(last, done+readStep)])
		done += n
		if err != nil && done < last {
			return lengthError(err)
		}
	}
	if e.call.surplus(e.ContentLength) > 0 {
		return ErrLengthMismatch
	}
	if _, err := io.ReadFull(e.Body, body[last:]); err != nil && len(body) > 0 {
		return lengthError(err)
	}
	return nil
}

// lengthError turns the early end of a body into ErrLength.
func lengthError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: %w", ErrLengthMismatch, err)
	}
	return fmt.Errorf("read answer: %w", err)
}

// readAll reads a body of unknown length.
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

// call follows an exchange over its connections. The transport takes a second
// one only if it wrote nothing to the first.
type call struct {
	// mu guards the fields below.
	mu         sync.Mutex
	conn       *conn
	generation uint64
	earlier    bool
	reused     bool
}

// gotConn notes the connection that will carry the request.
func (c *call) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.seal(c.generation) {
		c.earlier = true
	}
	c.conn, c.reused = unwrap(info.Conn), info.Reused
	c.generation = c.conn.begin()
}

// failure settles whether a byte went out. No byte goes out afterwards.
func (c *call) failure(err error) *ExchangeError {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &ExchangeError{MaybeSent: c.earlier, Reused: c.reused, Err: err}
	if c.conn != nil && c.conn.seal(c.generation) {
		f.MaybeSent = true
	}
	return f
}

// surplus returns the number of bytes that were read after the answer.
func (c *call) surplus(declared int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return 0
	}
	return c.conn.surplus(c.generation, declared)
}

// unwrap returns the counted connection under c.
func unwrap(c net.Conn) *conn {
	counted, ok := c.(*conn)
	if !ok {
		panic(fmt.Sprintf("link: connection of type %T", c))
	}
	return counted
}

// cause returns the reason for which the context ended, if that is why the
// exchange failed.
func cause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return fmt.Errorf("%w: %w", context.Cause(ctx), err)
}

// newRequest builds the request of the standard library. It has no GetBody,
// and its body is never nil where the method usually has none: net/http then
// takes it as one that can't be sent a second time.
func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, fmt.Errorf("read path: %w", err)
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

// emptyBody is a body without bytes.
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

// replayable reports whether net/http would send the request a second time on
// a connection that was used before, whatever body it gets.
func replayable(r Request) bool {
	if len(r.Body) > 0 || usuallyWithoutBody(r.Method) {
		return false
	}
	if r.Method == http.MethodTrace {
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}
