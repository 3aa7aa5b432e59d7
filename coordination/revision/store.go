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
// newest revision; a transaction of commands checks and replaces it, so that
// revisions rise by one without gaps whoever writes. Log rows hold the entries
// and snapshot rows the documents at some revision.
//
// Load and Poll may be called at any time. Commit needs Run to be running.
type Store struct {
	table    table.Table
	settings Settings
	limiter  *rate.Limiter
	queue    chan *request
	stopped  chan struct{}
	stopOnce sync.Once

	// The fields below are owned by Run.

	// state is what the committer knows, or nil.
	state *state

	// compactAt is the earliest time of the next compaction.
	compactAt time.Time
}

// request is a command on its way.
type request struct {
	command Command
	stage   atomic.Int32

	// done receives one reply and has room for it.
	done chan reply
}

// reply is the end of a request.
type reply struct {
	outcome Outcome
	err     error
}

// Stages of a request. A queued request becomes taken or withdrawn, once.
const (
	queued int32 = iota
	taken
	withdrawn
)

// NewStore returns a store in the table.
func NewStore(t table.Table, settings Settings) *Store {
	settings = settings.withDefaults()
	return &Store{
		table:    t,
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(settings.RowsPerSecond), rowsAtOnce),
		queue:    make(chan *request, queueLength),
		stopped:  make(chan struct{}),
	}
}

// Commit makes a command take effect, at most once for each token. Errors:
// *SupersededError if a document was written after the base; ErrInvalid or
// ErrFuture; table.ErrUnavailable if the command did not and will not take
// effect; table.ErrUncertain if it may have. After the last two the caller may
// repeat the command with the same token and base.
func (s *Store) Commit(ctx context.Context, command Command) (Outcome, error) {
	if err := command.validate(); err != nil {
		return Outcome{}, fmt.Errorf("commit: %w", err)
	}
	r := &request{command: command, done: make(chan reply, 1)}
	select {
	case s.queue <- r:
	case <-ctx.Done():
		return Outcome{}, fmt.Errorf("commit: %w: %w", table.ErrUnavailable, ctx.Err())
	case <-s.stopped:
		return Outcome{}, fmt.Errorf("commit: store stopped: %w", table.ErrUnavailable)
	}
	return r.wait(ctx, s.stopped)
}

// wait waits for the reply, the end of ctx or the end of the committer.
func (r *request) wait(ctx context.Context, stopped <-chan struct{}) (Outcome, error) {
	var cause error
	select {
	case reply := <-r.done:
		return reply.outcome, reply.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-stopped:
		cause = context.Canceled
	}
	if r.stage.CompareAndSwap(queued, withdrawn) {
		return Outcome{}, fmt.Errorf("commit: %w: %w", table.ErrUnavailable, cause)
	}
	select {
	case reply := <-r.done:
		return reply.outcome, reply.err
	default:
		return Outcome{}, fmt.Errorf("commit: %w: %w", table.ErrUncertain, cause)
	}
}

// Run writes commands until ctx ends. It is called once.
func (s *Store) Run(ctx context.Context) error {
	defer s.stopOnce.Do(func() { close(s.stopped) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.queue:
			s.settle(ctx, s.gather(ctx, first))
			s.compactIfDue(ctx)
		}
	}
}

// gather waits shortly for further commands and takes up all of them.
func (s *Store) gather(ctx context.Context, first *request) []*request {
	timer := time.NewTimer(s.settings.BatchDelay)
	defer timer.Stop()
	var batch []*request
	add := func(r *request) {
		if r.stage.CompareAndSwap(queued, taken) {
			batch = append(batch, r)
		}
	}
	add(first)
	for len(batch) < s.settings.MaxBatch {
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

// isUncertain reports whether a commit may have taken effect.
func isUncertain(err error) bool {
	certain := errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable)
	return err != nil && (!certain || errors.Is(err, table.ErrUncertain))
}
