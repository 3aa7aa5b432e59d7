package record

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"snipetally.example/coordination/table"
)

const (
	backoffStart = 2 * time.Millisecond
	backoffLimit = 100 * time.Millisecond

	// flightShare and verdictShare are the percentages of the time for one
	// call in which a batch is written and a verdict is given, so that a home
	// is not taken for dead while only the table is.
	flightShare  = 80
	verdictShare = 90

	// listsAtOnce bounds the windows that a batch reads at once.
	listsAtOnce = 32
)

// submission is an entry that waits for its verdict.
type submission struct {
	entry Entry

	// done has room for the verdict, so that a submitter may leave.
	done chan CommitResult
}

// batcher collects entries into few transactions.
type batcher struct {
	config *Config
	count  *counters
	kick   chan struct{}

	// mu guards queue, busy and windows. The window of a busy row is changed
	// only by the flight that made it busy.
	mu      sync.Mutex
	queue   []*submission
	busy    map[string]bool
	windows windows
}

// newBatcher returns a batcher that works while its run method does.
func newBatcher(config *Config, count *counters) *batcher {
	return &batcher{
		config:  config,
		count:   count,
		kick:    make(chan struct{}, 1),
		busy:    make(map[string]bool),
		windows: newWindows(),
	}
}

// submit hands in an entry and waits for the verdict.
func (b *batcher) submit(ctx context.Context, entry Entry) CommitResult {
	s := &submission{entry: entry, done: make(chan CommitResult, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, s)
	b.mu.Unlock()
	b.wake()
	select {
	case verdict := <-s.done:
		return verdict
	case <-ctx.Done():
		return CommitUncertain
	}
}

// wake makes run look at the queue.
func (b *batcher) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// run commits batches until the context ends, and then waits for those under
// way. Entries that are left get no verdict, so that their submitters treat
// them as uncertain.
func (b *batcher) run(ctx context.Context) {
	var flights sync.WaitGroup
	defer flights.Wait()
	slots := make(chan struct{}, b.config.MaxInFlight)
	var started time.Time
	for {
		batch := b.take()
		if batch == nil {
			select {
			case <-b.kick:
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, time.Until(started.Add(b.config.Pace))) {
			return
		}
		batch = b.fill(batch)
		started = time.Now()
		flights.Go(func() {
			defer func() { <-slots }()
			rows := rowsOf(batch)
			b.commit(ctx, batch)
			b.release(rows)
		})
	}
}

// take removes the first entries from the queue that can share a batch, or
// returns nil if there is none.
func (b *batcher) take() []*submission {
	return b.fill(nil)
}

// fill adds entries of the queue to a batch up to its largest size and makes
// their rows busy. Two entries of a place never share a batch, because the
// second would fail the first, and a row is in one flight at a time, because a
// window is appended to in order.
func (b *batcher) fill(batch []*submission) []*submission {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[string]bool, len(batch))
	for _, s := range batch {
		own[s.entry.Row] = true
		own[s.entry.Row+s.entry.Slot] = true
	}
	rest := b.queue[:0]
	for _, s := range b.queue {
		row, name := s.entry.Row, s.entry.Row+s.entry.Slot
		if len(batch) >= b.config.MaxBatch || own[name] || b.busy[row] && !own[row] {
			rest = append(rest, s)
			continue
		}
		own[row], own[name] = true, true
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

// release ends the flight of rows.
func (b *batcher) release(rows []string) {
	b.mu.Lock()
	for _, row := range rows {
		delete(b.busy, row)
	}
	b.windows.trim(b.busy)
	b.mu.Unlock()
	b.wake()
}

// commit writes a batch and gives each entry its verdict. An entry whose check
// fails is found by reading the rows back and does not fail the others.
func (b *batcher) commit(ctx context.Context, batch []*submission) {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout*flightShare/100)
	defer cancel()
	rest := CommitRejected
	pause := backoffStart
	if b.doubts(batch) {
		batch = b.settle(ctx, batch)
	}
	for len(batch) > 0 && ctx.Err() == nil {
		err := b.transact(ctx, batch)
		if err == nil {
			answer(batch, CommitApplied)
			return
		}
		refused := errors.Is(err, table.ErrUnavailable)
		conflict := errors.Is(err, table.ErrConflict)
		if !refused && !conflict {
			rest = CommitUncertain
			b.count.uncertain.Add(1)
		}
		left := len(batch)
		if !refused {
			batch = b.settle(ctx, batch)
		}
		if conflict && len(batch) < left {
			continue
		}
		sleep(ctx, jitter(pause))
		pause = min(2*pause, backoffLimit)
	}
	answer(batch, rest)
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
	b.extend(batch)
	return nil
}

// plan returns the transaction for a batch: a row for each record that has its
// own, and one more row for each window.
func (b *batcher) plan(batch []*submission) (table.Transaction, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var tx table.Transaction
	shared := make(map[string][]*submission)
	for _, s := range batch {
		if isWindow(s.entry.Row) {
			shared[s.entry.Row] = append(shared[s.entry.Row], s)
			continue
		}
		tx.Checks = append(tx.Checks, table.Check{Key: s.entry.Row, Version: s.entry.Version})
		tx.Writes = append(tx.Writes, table.Write{Key: s.entry.Row, Value: s.entry.Value})
	}
	for row, members := range shared {
		value, err := encodeBatch(members)
		if err != nil {
			return tx, fmt.Errorf("plan batch: %w: %w", table.ErrUnavailable, err)
		}
		key := b.windows.get(row).nextRow(row)
		tx.Checks = append(tx.Checks, table.Check{Key: key})
		tx.Writes = append(tx.Writes, table.Write{Key: key, Value: value})
	}
	return tx, nil
}

// settle reads the places of a batch back, answers the entries that are
// decided and returns the others.
func (b *batcher) settle(ctx context.Context, batch []*submission) []*submission {
	rows := b.readBack(ctx, batch)
	var rest []*submission
	for _, s := range batch {
		verdict := CommitUncertain
		if isWindow(s.entry.Row) {
			verdict = b.judgeWindow(&s.entry)
		} else if row, ok := rows[s.entry.Row]; ok {
			verdict = judgeRow(&s.entry, &row)
		}
		if verdict == CommitUncertain {
			rest = append(rest, s)
			continue
		}
		s.done <- verdict
	}
	return rest
}

// readBack reads the rows of a batch and refreshes its windows. A row that
// could not be read is left out, and a window is left as it was: both are read
// again after the next conflict.
func (b *batcher) readBack(ctx context.Context, batch []*submission) map[string]table.Row {
	var keys []string
	var group errgroup.Group
	group.SetLimit(listsAtOnce)
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
	_ = group.Wait() // What is missing is read again.
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

// answer gives all entries of a batch the same verdict.
func answer(batch []*submission, verdict CommitResult) {
	for _, s := range batch {
		s.done <- verdict
	}
}

// readRows reads rows of the table within the time for one call.
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

// sleep waits and reports whether the context still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a duration between one half and the whole of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
