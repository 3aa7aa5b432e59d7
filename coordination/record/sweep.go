package record

import (
	"context"
	"fmt"
	"strings"
	"time"

	"snipetally.example/coordination/pause"
	"snipetally.example/coordination/table"
)

// sweepRow is a row that no call uses. Its home is the router that removes
// expired rows.
const sweepRow = rootPrefix + "sweep"

// sweepLoop removes expired rows every SweepInterval until the context ends.
func (r *Recorder) sweepLoop(ctx context.Context) {
	for pause.For(ctx, r.config.SweepInterval) {
		if r.homeOf("", sweepRow) != "" {
			continue
		}
		// Rows that could not be removed are left to the next sweep.
		_ = r.Sweep(ctx)
	}
}

// Sweep removes the pages of outcomes and the records of timed keys that have
// expired. Records of other keys stay, without their responses, so that such a
// key never runs again. Several routers may sweep at once.
func (r *Recorder) Sweep(ctx context.Context) error {
	for _, prefix := range []string{pagePrefix, timedPrefix} {
		for {
			more, err := r.sweepBatch(ctx, prefix)
			if err != nil {
				return fmt.Errorf("sweep %s: %w", prefix, err)
			}
			if !more {
				break
			}
			// Writes of records and outcomes take precedence.
			if !pause.For(ctx, jitter(maxBackoff)) {
				return fmt.Errorf("sweep %s: %w", prefix, ctx.Err())
			}
		}
	}
	return nil
}

// sweepBatch removes the oldest expired rows with the prefix in one transaction
// and reports whether there may be more.
func (r *Recorder) sweepBatch(ctx context.Context, prefix string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	r.count.reads.Add(1)
	rows, err := r.config.Table.List(ctx, table.Range{Prefix: prefix, Limit: r.config.MaxRemovals})
	if err != nil {
		return false, fmt.Errorf("list rows: %w", err)
	}
	// Row keys hold the start of an hour, which ends one hour later.
	end := hourString(time.Now().Add(-r.config.Retention - r.config.MaxClockSkew - time.Hour))
	var tx table.Transaction
	for _, row := range rows {
		hour, _, _ := strings.Cut(strings.TrimPrefix(row.Key, prefix), "/")
		if hour >= end {
			break
		}
		tx.Writes = append(tx.Writes, table.Write{Key: row.Key, Remove: true})
	}
	if len(tx.Writes) == 0 {
		return false, nil
	}
	r.count.transactions.Add(1)
	r.count.removed.Add(uint64(len(tx.Writes)))
	if err := r.config.Table.Commit(ctx, tx); err != nil {
		return false, fmt.Errorf("remove rows: %w", err)
	}
	return len(tx.Writes) == r.config.MaxRemovals, nil
}
