package revision

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"snipetally.example/coordination/table"
)

// Store keeps documents in the platform's table service. A head row holds the
// newest revision; each transaction of commands checks and replaces it, so that
// revisions rise by one without gaps even if several processes write. Log rows
// hold the entries and snapshot rows the documents at some revision.
//
// Load, Head and Poll may be called at any time. Commit needs Run to be
// running.
type Store struct {
	table    table.Table
	config   Config
	limiter  *rate.Limiter
	queue    chan *request
	stopped  chan struct{}
	stopOnce sync.Once

	// The fields below are owned by Run.

	// state is the committer's copy of the stored state. It is nil until the first
	// batch.
	state *state

	// nextCompaction is the earliest time of the next compaction.
	nextCompaction time.Time
}

// request is a command that waits for its result.
type request struct {
	command Command
	stage   atomic.Int32

	// done receives the one result and has a buffer of one.
	done chan result
}

// result is the outcome or error of a request.
type result struct {
	outcome Outcome
	err     error
}

// Stages of a request. A queued request becomes either taken, when the
// committer starts to process it, or withdrawn, when its caller gives up before
// that.
const (
	queued int32 = iota
	taken
	withdrawn
)

// NewStore returns a store that keeps its rows in table t.
func NewStore(t table.Table, config Config) *Store {
	config = config.withDefaults()
	return &Store{
		table:   t,
		config:  config,
		limiter: rate.NewLimiter(rate.Limit(config.RowsPerSecond), rowBurst),
		queue:   make(chan *request, queueLength),
		stopped: make(chan struct{}),
	}
}

// Commit applies a command, at most once for each token. The error is or wraps
//   - a *SupersededError if a document was written after the base,
//   - ErrInvalid or ErrUnknownBase,
//   - the error of the command's Check,
//   - table.ErrUnavailable if the command did not and will not take effect, or
//   - table.ErrUncertain if it may have taken effect or may still do so.
//
// After the last two the caller may repeat the command with the same token and
// base.
func (s *Store) Commit(ctx context.Context, command Command) (Outcome, error) {
	if err := command.validate(); err != nil {
		return Outcome{}, fmt.Errorf("commit: %w", err)
	}
	r := &request{command: command, done: make(chan result, 1)}
	select {
	case s.queue <- r:
	case <-ctx.Done():
		return Outcome{}, fmt.Errorf("commit: %w: %w", table.ErrUnavailable, ctx.Err())
	case <-s.stopped:
		return Outcome{}, fmt.Errorf("commit: store stopped: %w", table.ErrUnavailable)
	}
	return r.wait(ctx, s.stopped)
}

// wait waits for the result, the end of ctx or the end of Run.
func (r *request) wait(ctx context.Context, stopped <-chan struct{}) (Outcome, error) {
	var cause error
	select {
	case result := <-r.done:
		return result.outcome, result.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-stopped:
		cause = context.Canceled
	}
	if r.stage.CompareAndSwap(queued, withdrawn) {
		return Outcome{}, fmt.Errorf("commit: %w: %w", table.ErrUnavailable, cause)
	}
	select {
	case result := <-r.done:
		return result.outcome, result.err
	default:
		return Outcome{}, fmt.Errorf("commit: %w: %w", table.ErrUncertain, cause)
	}
}

// Run commits queued commands until ctx ends. It must be called only once.
func (s *Store) Run(ctx context.Context) error {
	defer s.stopOnce.Do(func() { close(s.stopped) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.queue:
			s.commitBatch(ctx, s.collectBatch(ctx, first))
			s.compactIfDue(ctx)
		}
	}
}

// collectBatch takes further requests from the queue for up to BatchDelay and
// returns at most MaxBatch of them, without those that were withdrawn.
func (s *Store) collectBatch(ctx context.Context, first *request) []*request {
	timer := time.NewTimer(s.config.BatchDelay)
	defer timer.Stop()
	var batch []*request
	add := func(r *request) {
		if r.stage.CompareAndSwap(queued, taken) {
			batch = append(batch, r)
		}
	}
	add(first)
	for len(batch) < s.config.MaxBatch {
		select {
		case r := <-s.queue:
			add(r)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// isUncertain reports whether a commit that returned err may have taken effect
// although it failed.
func isUncertain(err error) bool {
	certain := errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable)
	return err != nil && (!certain || errors.Is(err, table.ErrUncertain))
}
