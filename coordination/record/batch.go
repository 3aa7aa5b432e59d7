package record

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipetally.example/coordination/pause"
)

const (
	// minBackoff and maxBackoff bound the time before a call to the table or to
	// another router is repeated.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond

	// batchTimeoutPercent and commitTimeoutPercent are the percentages of
	// CallTimeout within which a batch is written and Commit returns, so that a
	// slow or unavailable table does not make a home look as if it had failed.
	batchTimeoutPercent  = 80
	commitTimeoutPercent = 90
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

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
