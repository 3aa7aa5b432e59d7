// Package progress bounds calls whose responses may be large by the progress that
// they make. A timeout for the whole of a call would have to fit the slowest link
// and the largest response; one that is too short throws away what has arrived, and
// a retry starts over.
package progress

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
)

// ErrSilent means that nothing of a call passed for too long.
const ErrSilent = errors.ConstError("no progress")

// Timeouts bound a call.
type Timeouts struct {
	// Begin is how long it may take until the first byte passes.
	Begin time.Duration

	// Stall is how long nothing may pass after that.
	Stall time.Duration

	// Total bounds the whole call, as a peer may send bytes without end.
	Total time.Duration
}

// Watch is a call that is bounded by its progress. Its methods may be called from
// any goroutine.
type Watch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	stop    context.CancelFunc
	silence *time.Timer
	stall   time.Duration
}

// Begin returns a context for a call, which is canceled if the call makes no
// progress. The caller must call Stop at the end of the call.
func Begin(ctx context.Context, timeouts Timeouts) (context.Context, *Watch) {
	totalCtx, stop := context.WithTimeout(ctx, timeouts.Total)
	callCtx, cancel := context.WithCancelCause(totalCtx)
	return callCtx, &Watch{
		ctx: callCtx, cancel: cancel, stop: stop, stall: timeouts.Stall,
		silence: time.AfterFunc(timeouts.Begin, func() { cancel(ErrSilent) }),
	}
}

// Passed records that a number of bytes passed.
func (w *Watch) Passed(bytes int) {
	if bytes > 0 {
		w.silence.Reset(w.stall)
	}
}

// Cancel ends the call for a reason.
func (w *Watch) Cancel(cause error) { w.cancel(cause) }

// Stop releases the resources of the call after its end.
func (w *Watch) Stop() {
	w.silence.Stop()
	w.stop()
}

// Explain adds to the error of the call why the context was canceled, if it was.
func (w *Watch) Explain(err error) error {
	cause := context.Cause(w.ctx)
	if err == nil || cause == nil {
		return err
	}
	return fmt.Errorf("%w: %w", cause, err)
}

// Reader returns a reader that records what is read from r as progress.
func (w *Watch) Reader(r io.Reader) io.Reader { return &reader{watch: w, reader: r} }

// reader implements Watch.Reader.
type reader struct {
	watch  *Watch
	reader io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.watch.Passed(n)
	return n, err //nolint:wrapcheck // A reader passes on io.EOF.
}
