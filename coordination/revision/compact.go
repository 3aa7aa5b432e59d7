package revision

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

// compactIfDue stores a snapshot if enough entries follow the stored one. A
// failure is tried again after a pause; nothing rests on it.
func (s *Store) compactIfDue(ctx context.Context) {
	if s.state == nil || time.Now().Before(s.compactAt) {
		return
	}
	h := s.state.head
	if h.revision-h.snapshot < uint64(s.settings.CompactAfter) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CommitTimeout)
	defer cancel()
	if err := s.compact(ctx); err != nil {
		s.compactAt = time.Now().Add(compactPause)
	}
}

// compact stores the documents of the state, points the head at them and
// removes what is no longer needed. The pointer of the head only moves forward
// and rows of snapshots below it are never referred to again, so that any
// process may remove them.
func (s *Store) compact(ctx context.Context) error {
	next := s.state.head
	next.snapshot = next.revision
	next.generation = rand.Text()
	records, floor := s.state.kept(time.Now().Add(-s.settings.TombstoneRetention))
	next.floor = floor
	parts, err := encodeParts(records, rowBytes)
	if err != nil {
		return err
	}
	next.parts = len(parts)
	for i, part := range parts {
		write := table.Write{Key: s.settings.partKey(next.snapshot, next.generation, i), Value: part}
		if err := s.commit(ctx, table.Transaction{Writes: []table.Write{write}}); err != nil {
			return fmt.Errorf("write snapshot: %w", err)
		}
	}
	if err := s.point(ctx, next); err != nil {
		return fmt.Errorf("point to snapshot: %w", err)
	}
	s.state.dropMarks()
	s.state.forget(time.Now().Add(-s.settings.LogRetention))
	return s.clean(ctx)
}

// point makes the head name the snapshot, unless it names a newer one.
func (s *Store) point(ctx context.Context, next head) error {
	for {
		h := s.state.head
		if h.generation == next.generation {
			return nil
		}
		if h.snapshot >= next.snapshot {
			return fmt.Errorf("snapshot at %d is there already", h.snapshot)
		}
		h.snapshot, h.generation, h.parts = next.snapshot, next.generation, next.parts
		h.floor = max(h.floor, next.floor)
		value, err := encodeHead(h)
		if err != nil {
			return err
		}
		err = s.commit(ctx, table.Transaction{
			Checks: []table.Check{{Key: s.settings.headKey(), Version: h.version}},
			Writes: []table.Write{{Key: s.settings.headKey(), Value: value}},
		})
		if err != nil && errors.Is(err, table.ErrUnavailable) {
			return err
		}
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
}

// clean removes rows of older snapshots, and log rows that the snapshot holds
// and that are older than KeepLog. Log rows go in the order of their revisions,
// so that what is left of the log has no gap.
func (s *Store) clean(ctx context.Context) error {
	snapshot := s.state.head.snapshot
	parts, err := s.list(ctx, s.settings.snapshotPrefix(), "")
	if err != nil {
		return err
	}
	var keys []string
	for _, row := range parts {
		revision, ok := revisionOf(row.Key, s.settings.snapshotPrefix())
		if ok && revision < snapshot {
			keys = append(keys, row.Key)
		}
	}
	log, err := s.list(ctx, s.settings.logPrefix(), "")
	if err != nil {
		return err
	}
	before := time.Now().Add(-s.settings.LogRetention)
	for _, row := range log {
		revision, ok := revisionOf(row.Key, s.settings.logPrefix())
		entries, err := decodeBatch(row.Value)
		if err != nil {
			return err
		}
		if !ok || revision > snapshot || len(entries) == 0 || !entries[len(entries)-1].At.Before(before) {
			break
		}
		keys = append(keys, row.Key)
	}
	return s.remove(ctx, keys)
}

// remove removes rows in their order, some at a time.
func (s *Store) remove(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), rowsAtOnce)
		var t table.Transaction
		for _, key := range keys[:n] {
			t.Writes = append(t.Writes, table.Write{Key: key, Remove: true})
		}
		if err := s.commit(ctx, t); err != nil {
			return fmt.Errorf("remove rows: %w", err)
		}
		keys = keys[n:]
	}
	return nil
}

// commit writes within the budget of rows.
func (s *Store) commit(ctx context.Context, t table.Transaction) error {
	if err := s.limiter.WaitN(ctx, len(t.Writes)); err != nil {
		return fmt.Errorf("%w: wait for budget: %w", table.ErrUnavailable, err)
	}
	return s.table.Commit(ctx, t)
}
