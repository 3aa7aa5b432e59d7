package attempt

import (
	"cmp"
	"context"
	"sync"
	"time"

	"snipetally.example/coordination/pause"
	"snipetally.example/router/internal/link"
)

const (
	// maxCancelTries is how often a cancel is sent before the slot is released
	// without a confirmation. The backoff between tries starts at cancelBackoff
	// and doubles.
	maxCancelTries = 3
	cancelBackoff  = 200 * time.Millisecond

	// maxStatusTries is how often a status query is sent, each time on a new
	// connection and with twice the timeout. A server that stands still for a
	// second or two answers the last one.
	maxStatusTries = 3

	defaultMaxResponseBytes = 16 << 20
	maxErrorBody            = 64 << 10
)

// Config configures a Runner. Zero fields get defaults.
type Config struct {
	// MaxResponseBytes bounds the size of a non-streaming response.
	MaxResponseBytes int64
}

// Runner makes attempts. It owns the goroutines that cancel abandoned attempts on
// their servers. Close must be called.
type Runner struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// NewRunner returns a Runner with the given configuration.
func NewRunner(config Config) *Runner {
	config.MaxResponseBytes = cmp.Or(config.MaxResponseBytes, defaultMaxResponseBytes)
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{config: config, ctx: ctx, cancel: cancel}
}

// Close waits for pending cancels until the context ends, then stops them. No
// attempt may be running.
func (r *Runner) Close(ctx context.Context) {
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	r.group.Wait()
	r.cancel()
}

// cancelInBackground cancels an attempt on its server in a new goroutine and then
// calls release, also if no try succeeded. It returns immediately.
func (r *Runner) cancelInBackground(l *link.Link, attempt string, release func()) {
	r.group.Go(func() {
		defer release()
		for try := range maxCancelTries {
			if r.cancelOnce(l, attempt, try) {
				return
			}
			if !pause.For(r.ctx, cancelBackoff<<try) {
				return
			}
		}
	})
}
