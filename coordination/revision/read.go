package revision

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

const (
	// ErrRegressed means that the table holds a lower revision than was seen
	// before, for example because it was restored from a backup.
	ErrRegressed = errors.ConstError("table holds a lower revision")

	// errCompacted means that a compaction removed rows while they were read.
	errCompacted = errors.ConstError("rows were compacted while being read")
)

// PollResult is the result of Poll. Head is the newest revision in the table.
// If Reset is set, the log no longer reaches back to the polled revision, and
// the caller must call Load. Otherwise Entries follow the polled revision
// without gaps; if they end before Head, the caller polls again.
type PollResult struct {
	Head    uint64
	Entries []Entry
	Reset   bool
}

// Load reads the stored snapshot and applies all later entries. Errors wrap
// those of package table, or ErrCorrupt.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	loaded, err := s.load(ctx)
	if err != nil {
		return nil, fmt.Errorf("load revisions: %w", err)
	}
	return loaded.snapshot(), nil
}

// Head returns the newest revision, or zero if there is none. It costs one read
// of the table. Errors wrap those of package table, or ErrCorrupt.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return 0, fmt.Errorf("read newest revision: %w", err)
	}
	return h.revision, nil
}

// Poll returns the entries after a revision. It costs one read of the table if
// there are none, and otherwise a read and a list. The error wraps ErrRegressed
// if the newest revision in the table is lower than after.
func (s *Store) Poll(ctx context.Context, after uint64) (PollResult, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return PollResult{}, fmt.Errorf("poll revisions: %w", err)
	}
	if h.revision < after {
		return PollResult{}, fmt.Errorf("poll revisions: %d after %d: %w", h.revision, after, ErrRegressed)
	}
	polled := PollResult{Head: h.revision}
	if h.revision == after {
		return polled, nil
	}
	rows, err := s.table.List(ctx, table.Range{
		Prefix: s.config.logPrefix(), After: s.config.logKey(after), Limit: pageSize,
	})
	if err != nil {
		return PollResult{}, fmt.Errorf("poll revisions: %w", err)
	}
	polled.Entries, err = entriesAfter(rows, after, h.revision)
	if errors.Is(err, ErrGap) || err == nil && len(polled.Entries) == 0 {
		return PollResult{Head: h.revision, Reset: true}, nil
	}
	if err != nil {
		return PollResult{}, fmt.Errorf("poll revisions: %w", err)
	}
	return polled, nil
}

// entriesAfter decodes log rows and returns the entries with revisions above
// after and up to last. The error wraps ErrGap if a revision is missing.
func entriesAfter(rows []table.Row, after, last uint64) ([]Entry, error) {
	var entries []Entry
	next := after + 1
	for _, row := range rows {
		batch, err := decodeBatch(row.Value)
		if err != nil {
			return nil, fmt.Errorf("row %q: %w", row.Key, err)
		}
		for _, entry := range batch {
			if entry.Revision <= after || entry.Revision > last {
				continue
			}
			if entry.Revision != next {
				return nil, fmt.Errorf("row %q: %w", row.Key, ErrGap)
			}
			entries = append(entries, entry)
			next++
		}
	}
	return entries, nil
}

// readHead reads and decodes the head row.
func (s *Store) readHead(ctx context.Context) (head, error) {
	rows, err := s.table.Read(ctx, s.config.headKey())
	if err != nil {
		return head{}, fmt.Errorf("read head: %w", err)
	}
	return decodeHead(rows[0].Value, rows[0].Version)
}

// listRows returns all rows whose key starts with prefix and sorts after the
// key after. It reads them in pages of pageSize rows.
func (s *Store) listRows(ctx context.Context, prefix, after string) ([]table.Row, error) {
	var all []table.Row
	for {
		page, err := s.table.List(ctx, table.Range{Prefix: prefix, After: after, Limit: pageSize})
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		after = page[len(page)-1].Key
	}
}

// load reads the whole state. It starts over, up to maxLoadAttempts times in
// all, if a compaction removes rows meanwhile.
func (s *Store) load(ctx context.Context) (*state, error) {
	for range maxLoadAttempts {
		loaded, err := s.loadOnce(ctx)
		if !errors.Is(err, errCompacted) {
			return loaded, err
		}
	}
	return nil, fmt.Errorf("%w: snapshot not whole", ErrCorrupt)
}

// loadOnce reads the head row, the snapshot and the log once. It returns
// errCompacted if rows are missing.
func (s *Store) loadOnce(ctx context.Context) (*state, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	loaded := newState()
	loaded.head = h
	loaded.head.revision = h.snapshot
	if err := s.loadParts(ctx, loaded); err != nil {
		return nil, err
	}
	rows, err := s.listRows(ctx, s.config.logPrefix(), "")
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if err := loaded.applyRow(row, h.revision); err != nil {
			return nil, err
		}
	}
	if loaded.head.revision != h.revision {
		return nil, errCompacted
	}
	return loaded, nil
}

// applyRow applies the entries of a log row up to the revision last. Of entries
// that the state already covers it keeps only the tokens.
func (s *state) applyRow(row table.Row, last uint64) error {
	entries, err := decodeBatch(row.Value)
	if err != nil {
		return fmt.Errorf("row %q: %w", row.Key, err)
	}
	for _, entry := range entries {
		switch {
		case entry.Revision <= s.head.revision:
			s.addToken(entry)
		case entry.Revision > last:
			return nil
		case entry.Revision > s.head.revision+1:
			return errCompacted
		default:
			if err := s.apply(entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadParts reads the rows of the snapshot that the head of target refers to.
func (s *Store) loadParts(ctx context.Context, target *state) error {
	h := target.head
	for from := 0; from < h.parts; from += pageSize {
		keys := make([]string, 0, pageSize)
		for part := from; part < min(from+pageSize, h.parts); part++ {
			keys = append(keys, s.config.partKey(h.snapshot, h.generation, part))
		}
		rows, err := s.table.Read(ctx, keys...)
		if err != nil {
			return fmt.Errorf("read snapshot: %w", err)
		}
		for _, row := range rows {
			if row.Version == 0 {
				return errCompacted
			}
			records, err := decodePart(row.Value)
			if err != nil {
				return fmt.Errorf("row %q: %w", row.Key, err)
			}
			for _, r := range records {
				target.records[r.Key] = r
			}
		}
	}
	return nil
}

// refresh brings the committer's state up to date with the head row.
func (s *Store) refresh(ctx context.Context) error {
	if s.state == nil {
		return s.reload(ctx)
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	known := s.state.head
	if h.version == known.version {
		return nil
	}
	if h.revision < known.revision {
		return fmt.Errorf("head at %d after %d: %w", h.revision, known.revision, ErrRegressed)
	}
	rows, err := s.listRows(ctx, s.config.logPrefix(), s.config.logKey(known.revision))
	if err != nil {
		return err
	}
	entries, err := entriesAfter(rows, known.revision, h.revision)
	if err != nil && !errors.Is(err, ErrGap) {
		return err
	}
	if uint64(len(entries)) != h.revision-known.revision {
		return s.reload(ctx)
	}
	for _, entry := range entries {
		if err := s.state.apply(entry); err != nil {
			return err
		}
	}
	s.state.head = h
	return nil
}

// reload replaces the committer's state by one read from the table. The error
// wraps ErrRegressed if that one is older.
func (s *Store) reload(ctx context.Context) error {
	loaded, err := s.load(ctx)
	if err != nil {
		return err
	}
	if s.state != nil && loaded.head.revision < s.state.head.revision {
		return fmt.Errorf("head at %d after %d: %w", loaded.head.revision, s.state.head.revision, ErrRegressed)
	}
	s.state = loaded
	return nil
}
