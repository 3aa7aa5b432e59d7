package relay

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/inbound"
)

const (
	// errBodyTooLong means that a body exceeds the plan's limit.
	errBodyTooLong = errors.ConstError("body too long")

	// errUploadEnded means that the router stops and reads no more of the body.
	errUploadEnded = errors.ConstError("stopping during the upload")
)

// readBody reads the whole body, unless the router stops meanwhile.
func (p *proxiedRequest) readBody() error {
	stopWaiting := context.AfterFunc(p.relay.uploads, p.interruptReading)
	err := p.readWholeBody()
	if !stopWaiting() {
		return errUploadEnded // Even if it was complete: the HTTP server sees the interruption as a lost caller.
	}
	return err
}

// interruptReading makes reads of the body fail, in progress or later.
func (p *proxiedRequest) interruptReading() {
	if err := http.NewResponseController(p.writer).SetReadDeadline(time.Unix(1, 0)); err != nil {
		p.relay.options.log.Request(time.Now(), err).Str("request", p.info.AttemptID).Msg("upload not interrupted")
	}
}

// readWholeBody reads the body, so that it can be sent again and so that the HTTP
// server notices when the caller disconnects.
func (p *proxiedRequest) readWholeBody() error {
	p.hasBody = p.request.ContentLength > 0 || len(p.request.TransferEncoding) > 0 ||
		p.request.Header.Get("Content-Length") != ""
	limit, length := p.index.plan.Limits.MaxBodyBytes, p.request.ContentLength
	if limit > 0 && length > limit {
		return errBodyTooLong
	}
	if length == 0 {
		return nil
	}
	body, err := p.readInbound(p.request.Body, bodyBound(limit, length))
	if errors.Is(err, errBufferFull) {
		return fmt.Errorf("%w: %w", errBodyTooLong, err)
	}
	p.body = body
	return err
}

// bodyBound returns the largest length of a body by the plan's limit, if it is positive, and by the
// length that the caller named, if it is not negative.
func bodyBound(limit, length int64) int64 {
	if length >= 0 {
		return length
	}
	if limit > 0 {
		return limit
	}
	return math.MaxInt32
}

// readInbound reads all of what a peer sends, up to a length. The request holds it until it ends.
func (p *proxiedRequest) readInbound(reader io.Reader, maxBytes int64) ([]byte, error) {
	body := p.newBuffer(inbound.Bodies, int(maxBytes)+1, 0) // Room in which the end is found.
	if err := body.readAll(reader); err != nil {
		return nil, fmt.Errorf("read body after %d bytes: %w", len(body.data), err)
	}
	if int64(len(body.data)) > maxBytes {
		return nil, errBufferFull
	}
	p.conn.EndBody()
	data := body.data
	body.data = nil // Only the request keeps it.
	return data, nil
}

// handleBodyError answers a request whose body could not be read.
func (p *proxiedRequest) handleBodyError(err error) {
	if errors.Is(err, errBodyTooLong) {
		p.reject(http.StatusRequestEntityTooLarge, string(errBodyTooLong))
		return
	}
	if errors.Is(err, errUploadEnded) {
		p.refuse(err.Error(), otherRouterDelay)
		return
	}
	if errors.Is(err, errNoMemory) {
		p.refuse(err.Error(), shortRetryDelay)
		return
	}
	if p.request.Context().Err() != nil || errors.Is(p.conn.Ending(), inbound.ErrClosedForOthers) {
		p.abortAbandoned()
		return
	}
	p.reject(http.StatusBadRequest, err.Error())
}
