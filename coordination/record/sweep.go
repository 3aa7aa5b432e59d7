package record

import (
	"context"
	"fmt"
	"strings"
	"time"

	"snipetally.example/coordination/table"
)

// sweepRow is a row that no call uses. Its home is the router that removes
// expired rows.
const sweepRow = root + "sweep"

// sweeper removes expired rows from time to time until the context ends.
func (b *Recorder) sweeper(ctx context.Context) {
	for sleep(ctx, b.config.SweepInterval) {
		if b.homeOf("", sweepRow) != "" {
			continue
		}
		// What fails is left to the next sweep.
		_ = b.Sweep(ctx)
	}
}

// Sweep removes the pages of outcomes and the records of timed keys that have
// expired. Records of other keys stay, without their answers, so that such a
// key never runs again. It may run on several routers at once.
func (b *Recorder) Sweep(ctx context.Context) error {
	for _, prefix := range []string{pageRoot, timedRoot} {
		for {
			more, err := b.sweepSome(ctx, prefix)
			if err != nil {
				return fmt.Errorf("sweep %s: %w", prefix, err)
			}
			if !more {
				break
			}
			// Begins and outcomes go first.
			if !sleep(ctx, jitter(backoffLimit)) {
				return fmt.Errorf("sweep %s: %w", prefix, ctx.Err())
			}
		}
	}
	return nil
}

// sweepSome removes the oldest rows with the prefix in one transaction and
// reports whether there may be more.
func (b *Recorder) sweepSome(ctx context.Context, prefix string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	b.count.reads.Add(1)
	rows, err := b.config.Table.List(ctx, table.Range{Prefix: prefix, Limit: b.config.MaxRemovals})
	if err != nil {
		return false, fmt.Errorf("list rows: %w", err)
	}
	// An hour is over one hour after its number, hence the second one.
	end := hour(time.Now().Add(-b.config.Retention - b.config.MaxClockSkew - time.Hour))
	var tx table.Transaction
	for _, row := range rows {
		at, _, _ := strings.Cut(strings.TrimPrefix(row.Key, prefix), "/")
		if at >= end {
			break
		}
		tx.Writes = append(tx.Writes, table.Write{Key: row.Key, Remove: true})
	}
	if len(tx.Writes) == 0 {
		return false, nil
	}
	b.count.transactions.Add(1)
	b.count.removed.Add(uint64(len(tx.Writes)))
	if err := b.config.Table.Commit(ctx, tx); err != nil {
		return false, fmt.Errorf("remove rows: %w", err)
	}
	return len(tx.Writes) == b.config.MaxRemovals, nil
}
