package record

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"snipetally.example/coordination/pause"
	"snipetally.example/coordination/table"
)

// maxConcurrentLists bounds the number of windows that a batch reads
// concurrently.
const maxConcurrentLists = 32

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
