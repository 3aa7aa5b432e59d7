package record

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"snipetally.example/coordination/internal/pause"
	"snipetally.example/coordination/table"
)

const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond

	// batchTimeoutPercent and commitTimeoutPercent are the percentages of
	// CallTimeout within which a batch is written and Commit returns, so that a
	// slow or unavailable table does not make a home look as if it had failed.
	batchTimeoutPercent  = 80
	commitTimeoutPercent = 90

	// maxConcurrentLists bounds the number of windows that a batch reads
	// concurrently.
	maxConcurrentLists = 32
)

// submission is an entry that waits for its result.
type submission struct {
	entry Entry

	// result has a buffer of one, so that the submitter may stop waiting.
	result chan CommitResult
}

// batcher combines entries into few transactions.
type batcher struct {
	config  *Config
	count   *counters
	wakeups chan struct{}

	// mu guards queue, busy and windows. A row is busy while a transaction that
	// writes it is in flight. The window of a busy row is changed only by that
	// transaction's goroutine.
	mu      sync.Mutex
	queue   []*submission
	busy    map[string]bool
	windows windowCache
}

// newBatcher returns a batcher that commits entries while its run method runs.
func newBatcher(config *Config, count *counters) *batcher {
	return &batcher{
		config:  config,
		count:   count,
		wakeups: make(chan struct{}, 1),
		busy:    make(map[string]bool),
		windows: newWindowCache(),
	}
}

// submit queues an entry and waits for its result. It returns CommitUncertain
// if the context ends first.
func (b *batcher) submit(ctx context.Context, entry Entry) CommitResult {
	s := &submission{entry: entry, result: make(chan CommitResult, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, s)
	b.mu.Unlock()
	b.wake()
	select {
	case result := <-s.result:
		return result
	case <-ctx.Done():
		return CommitUncertain
	}
}

// wake makes run check the queue.
func (b *batcher) wake() {
	select {
	case b.wakeups <- struct{}{}:
	default:
	}
}

// run commits batches until the context ends, and then waits for those in
// flight. Entries that are still queued get no result, so that their submitters
// treat them as uncertain.
func (b *batcher) run(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	semaphore := make(chan struct{}, b.config.MaxInFlight)
	var lastStart time.Time
	for {
		batch := b.take()
		if batch == nil {
			select {
			case <-b.wakeups:
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, time.Until(lastStart.Add(b.config.MinWriteInterval))) {
			return
		}
		batch = b.fill(batch)
		lastStart = time.Now()
		inFlight.Go(func() {
			defer func() { <-semaphore }()
			rows := rowsOf(batch)
			b.commit(ctx, batch)
			b.release(rows)
		})
	}
}

// take removes the first entries from the queue that can share a batch. It
// returns nil if there are none.
func (b *batcher) take() []*submission {
	return b.fill(nil)
}

// fill adds entries of the queue to a batch, up to MaxBatch, and marks their
// rows as busy. Two entries for one location never share a batch, because the
// second would fail the first. A row is in one transaction at a time, because a
// window is appended to in order.
func (b *batcher) fill(batch []*submission) []*submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := make(map[string]bool, len(batch))
	for _, s := range batch {
		taken[s.entry.Row] = true
		taken[s.entry.Row+s.entry.Slot] = true
	}
	rest := b.queue[:0]
	for _, s := range b.queue {
		row, name := s.entry.Row, s.entry.Row+s.entry.Slot
		if len(batch) >= b.config.MaxBatch || taken[name] || b.busy[row] && !taken[row] {
			rest = append(rest, s)
			continue
		}
		taken[row], taken[name] = true, true
		b.busy[row] = true
		batch = append(batch, s)
	}
	clear(b.queue[len(rest):])
	b.queue = rest
	return batch
}

// rowsOf returns the rows of a batch.
func rowsOf(batch []*submission) []string {
	rows := make([]string, 0, len(batch))
	for _, s := range batch {
		rows = append(rows, s.entry.Row)
	}
	return rows
}

// release marks rows as no longer busy.
func (b *batcher) release(rows []string) {
	b.mu.Lock()
	for _, row := range rows {
		delete(b.busy, row)
	}
	b.windows.evict(b.busy)
	b.mu.Unlock()
	b.wake()
}

// commit writes a batch and completes each entry. An entry whose check fails is
// found by reading the rows back, and does not fail the others.
func (b *batcher) commit(ctx context.Context, batch []*submission) {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout*batchTimeoutPercent/100)
	defer cancel()
	fallback := CommitRejected
	backoff := minBackoff
	if b.needsReadBack(batch) {
		batch = b.resolve(ctx, batch)
	}
	for len(batch) > 0 && ctx.Err() == nil {
		err := b.transact(ctx, batch)
		if err == nil {
			completeAll(batch, CommitApplied)
			return
		}
		unavailable := errors.Is(err, table.ErrUnavailable)
		conflict := errors.Is(err, table.ErrConflict)
		if !unavailable && !conflict {
			fallback = CommitUncertain
			b.count.uncertain.Add(1)
		}
		before := len(batch)
		if !unavailable {
			batch = b.resolve(ctx, batch)
		}
		if conflict && len(batch) < before {
			continue
		}
		pause.For(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	completeAll(batch, fallback)
}

// transact commits a batch as one transaction.
func (b *batcher) transact(ctx context.Context, batch []*submission) error {
	tx, err := b.plan(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	b.config.observe(ctx, StepCommit)
	b.count.transactions.Add(1)
	b.count.rows.Add(uint64(len(tx.Writes)))
	err = b.config.Table.Commit(ctx, tx)
	b.config.observe(ctx, StepCommitDone)
	if err != nil {
		return fmt.Errorf("commit records: %w", err)
	}
	b.addCommitted(batch)
	return nil
}

// plan returns the transaction for a batch. It writes one row for each record
// that has its own row, and appends one row to each window.
func (b *batcher) plan(batch []*submission) (table.Transaction, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var tx table.Transaction
	byWindow := make(map[string][]*submission)
	for _, s := range batch {
		if isWindow(s.entry.Row) {
			byWindow[s.entry.Row] = append(byWindow[s.entry.Row], s)
			continue
		}
		tx.Checks = append(tx.Checks, table.Check{Key: s.entry.Row, Version: s.entry.Version})
		tx.Writes = append(tx.Writes, table.Write{Key: s.entry.Row, Value: s.entry.Value})
	}
	for row, submissions := range byWindow {
		value, err := encodeBatch(submissions)
		if err != nil {
			return tx, fmt.Errorf("plan batch: %w: %w", table.ErrUnavailable, err)
		}
		key := b.windows.get(row).nextRow(row)
		tx.Checks = append(tx.Checks, table.Check{Key: key})
		tx.Writes = append(tx.Writes, table.Write{Key: key, Value: value})
	}
	return tx, nil
}

// resolve reads the locations of a batch back, completes the entries that are
// decided and returns the others.
func (b *batcher) resolve(ctx context.Context, batch []*submission) []*submission {
	rows := b.readBack(ctx, batch)
	var rest []*submission
	for _, s := range batch {
		result := CommitUncertain
		if isWindow(s.entry.Row) {
			result = b.compareWindow(&s.entry)
		} else if row, ok := rows[s.entry.Row]; ok {
			result = compareRow(&s.entry, &row)
		}
		if result == CommitUncertain {
			rest = append(rest, s)
			continue
		}
		s.result <- result
	}
	return rest
}

// readBack reads the rows of a batch and refreshes its windows. A row that
// could not be read is left out, and a window that could not be read stays as
// it was: both are read again after the next conflict.
func (b *batcher) readBack(ctx context.Context, batch []*submission) map[string]table.Row {
	var keys []string
	var group errgroup.Group
	group.SetLimit(maxConcurrentLists)
	seen := make(map[string]bool)
	for _, s := range batch {
		row := s.entry.Row
		if !isWindow(row) {
			keys = append(keys, row)
			continue
		}
		if !seen[row] {
			seen[row] = true
			group.Go(func() error { return b.refresh(ctx, row) })
		}
	}
	found := make(map[string]table.Row)
	rows, err := b.readKeys(ctx, keys)
	_ = group.Wait() // A window that could not be read is read again.
	if err != nil {
		return found
	}
	for i, key := range keys {
		found[key] = rows[i]
	}
	return found
}

// readKeys reads rows, if there are any to read.
func (b *batcher) readKeys(ctx context.Context, keys []string) ([]table.Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	return readRows(ctx, b.config, b.count, keys...)
}

// completeAll gives all entries of a batch the same result.
func completeAll(batch []*submission, result CommitResult) {
	for _, s := range batch {
		s.result <- result
	}
}

// readRows reads rows of the table within CallTimeout.
func readRows(ctx context.Context, config *Config, count *counters, keys ...string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, config.CallTimeout)
	defer cancel()
	config.observe(ctx, StepRead)
	count.reads.Add(1)
	rows, err := config.Table.Read(ctx, keys...)
	config.observe(ctx, StepReadDone)
	if err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	if len(rows) != len(keys) {
		return nil, fmt.Errorf("read rows: %d of %d: %w", len(rows), len(keys), table.ErrUncertain)
	}
	return rows, nil
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
