package attempt

import (
	"context"
	"sync"
	"time"

	"snipetally.example/router/internal/link"
)

const (
	// cancelTries is how often a cancel is sent before its slot is given up.
	cancelTries = 3
	cancelPause = 200 * time.Millisecond

	// statusTries is how often the status is asked for, each time on a new
	// connection.
	statusTries = 2

	defaultMaxAnswer = 16 << 20
	maxRefusal       = 64 << 10
)

// Config describes a runner. Zero fields get defaults.
type Config struct {
	// MaxResponseBytes bounds an answer that is not streamed, in bytes.
	MaxResponseBytes int64
}

// Runner makes attempts. It owns the goroutines that cancel abandoned attempts
// on their servers. Close must be called.
type Runner struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// NewRunner returns a runner.
func NewRunner(config Config) *Runner {
	if config.MaxResponseBytes == 0 {
		config.MaxResponseBytes = defaultMaxAnswer
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{config: config, ctx: ctx, cancel: cancel}
}

// Close waits for the cancels under way until the context ends, and then gives
// them up. No attempt may be running.
func (r *Runner) Close(ctx context.Context) {
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	r.group.Wait()
	r.cancel()
}

// abandon cancels an attempt on its server and then calls release. It returns
// at once.
func (r *Runner) abandon(l *link.Link, attempt string, release func()) {
	r.group.Go(func() {
		defer release()
		for try := range cancelTries {
			if r.cancelOnce(l, attempt, try) {
				return
			}
			if !wait(r.ctx, cancelPause<<try) {
				return
			}
		}
	})
}

// wait waits for d and reports whether the context still holds.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
