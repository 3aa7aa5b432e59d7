package revision

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

// compactIfDue stores a snapshot if at least CompactAfter entries follow the
// stored one. A failed compaction is retried after compactRetryDelay; commits
// and reads do not depend on it.
func (s *Store) compactIfDue(ctx context.Context) {
	if s.state == nil || time.Now().Before(s.nextCompaction) {
		return
	}
	h := s.state.head
	if h.revision-h.snapshot < uint64(s.config.CompactAfter) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.CommitTimeout)
	defer cancel()
	if err := s.compact(ctx); err != nil {
		s.nextCompaction = time.Now().Add(compactRetryDelay)
	}
}

// compact writes a snapshot of the state, updates the head row to refer to it
// and removes obsolete rows. The snapshot revision in the head row only rises,
// and rows of older snapshots are never referred to again, so any process may
// remove them.
func (s *Store) compact(ctx context.Context) error {
	next := s.state.head
	next.snapshot = next.revision
	next.generation = rand.Text()
	records, floor := s.state.retainedRecords(time.Now().Add(-s.config.TombstoneRetention))
	next.tombstoneFloor = floor
	parts, err := encodeParts(records, maxRowBytes)
	if err != nil {
		return err
	}
	next.parts = len(parts)
	for i, part := range parts {
		write := table.Write{Key: s.config.partKey(next.snapshot, next.generation, i), Value: part}
		if err := s.commitRows(ctx, table.Transaction{Writes: []table.Write{write}}); err != nil {
			return fmt.Errorf("write snapshot: %w", err)
		}
	}
	if err := s.updateHead(ctx, next); err != nil {
		return fmt.Errorf("update head: %w", err)
	}
	s.state.dropTombstones()
	s.state.expireTokens(time.Now().Add(-s.config.LogRetention))
	return s.removeObsoleteRows(ctx)
}

// updateHead makes the head row refer to the snapshot of next. It returns an
// error if the head row refers to another snapshot that is not older.
func (s *Store) updateHead(ctx context.Context, next head) error {
	for {
		h := s.state.head
		if h.generation == next.generation {
			return nil
		}
		if h.snapshot >= next.snapshot {
			return fmt.Errorf("head refers to snapshot at revision %d already", h.snapshot)
		}
		h.snapshot, h.generation, h.parts = next.snapshot, next.generation, next.parts
		h.tombstoneFloor = max(h.tombstoneFloor, next.tombstoneFloor)
		value, err := encodeHead(h)
		if err != nil {
			return err
		}
		err = s.commitRows(ctx, table.Transaction{
			Checks: []table.Check{{Key: s.config.headKey(), Version: h.version}},
			Writes: []table.Write{{Key: s.config.headKey(), Value: value}},
		})
		if err != nil && errors.Is(err, table.ErrUnavailable) {
			return err
		}
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
}

// removeObsoleteRows removes the rows of older snapshots, and the log rows that
// the snapshot covers and that are older than LogRetention. Log rows are
// removed in the order of their revisions, so that the remaining log has no
// gap.
func (s *Store) removeObsoleteRows(ctx context.Context) error {
	snapshot := s.state.head.snapshot
	parts, err := s.listRows(ctx, s.config.snapshotPrefix(), "")
	if err != nil {
		return err
	}
	var keys []string
	for _, row := range parts {
		revision, ok := revisionOf(row.Key, s.config.snapshotPrefix())
		if ok && revision < snapshot {
			keys = append(keys, row.Key)
		}
	}
	log, err := s.listRows(ctx, s.config.logPrefix(), "")
	if err != nil {
		return err
	}
	before := time.Now().Add(-s.config.LogRetention)
	for _, row := range log {
		revision, ok := revisionOf(row.Key, s.config.logPrefix())
		entries, err := decodeBatch(row.Value)
		if err != nil {
			return err
		}
		if !ok || revision > snapshot || len(entries) == 0 || !entries[len(entries)-1].At.Before(before) {
			break
		}
		keys = append(keys, row.Key)
	}
	return s.removeRows(ctx, keys)
}

// removeRows removes rows in the given order, at most rowBurst per transaction.
func (s *Store) removeRows(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), rowBurst)
		var tx table.Transaction
		for _, key := range keys[:n] {
			tx.Writes = append(tx.Writes, table.Write{Key: key, Remove: true})
		}
		if err := s.commitRows(ctx, tx); err != nil {
			return fmt.Errorf("remove rows: %w", err)
		}
		keys = keys[n:]
	}
	return nil
}

// commitRows commits a transaction within the limit of rows per second.
func (s *Store) commitRows(ctx context.Context, tx table.Transaction) error {
	if err := s.limiter.WaitN(ctx, len(tx.Writes)); err != nil {
		return fmt.Errorf("%w: wait for budget: %w", table.ErrUnavailable, err)
	}
	return s.table.Commit(ctx, tx)
}
