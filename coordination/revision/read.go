package revision

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

const (
	// ErrRegressed says that the table holds a lower revision than was seen
	// before, for example because it was restored from a backup.
	ErrRegressed = errors.ConstError("table holds a lower revision")

	// errMoved says that rows were removed by a compaction while being read.
	errMoved = errors.ConstError("rows were compacted while being read")
)

// PollResult is the answer of a poll. Head is the newest revision in the table. If
// Reset is set, the log no longer reaches back far enough, and the caller must
// Load. Otherwise Entries follow the polled revision without gaps; they may
// end before Head, in which case the caller polls again.
type PollResult struct {
	Head    uint64
	Entries []Entry
	Reset   bool
}

// Load reads the newest snapshot, with all entries applied. Errors wrap those
// of package table, or ErrCorrupt.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	loaded, err := s.load(ctx)
	if err != nil {
		return nil, fmt.Errorf("load revisions: %w", err)
	}
	return loaded.snapshot(), nil
}

// Head reads the newest revision, which is zero if there is none. It costs one
// read. Errors wrap those of package table, or ErrCorrupt.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return 0, fmt.Errorf("read newest revision: %w", err)
	}
	return h.revision, nil
}

// Poll reads the entries after a revision. It costs one read if there are none
// and a read and a list otherwise. The error wraps ErrRegressed if the table is
// behind the caller.
func (s *Store) Poll(ctx context.Context, after uint64) (PollResult, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return PollResult{}, fmt.Errorf("poll revisions: %w", err)
	}
	if h.revision < after {
		return PollResult{}, fmt.Errorf("poll revisions: %d after %d: %w", h.revision, after, ErrRegressed)
	}
	tail := PollResult{Head: h.revision}
	if h.revision == after {
		return tail, nil
	}
	rows, err := s.table.List(ctx, table.Range{
		Prefix: s.settings.logPrefix(), After: s.settings.logKey(after), Limit: pageRows,
	})
	if err != nil {
		return PollResult{}, fmt.Errorf("poll revisions: %w", err)
	}
	tail.Entries, err = following(rows, after, h.revision)
	if errors.Is(err, ErrGap) || err == nil && len(tail.Entries) == 0 {
		return PollResult{Head: h.revision, Reset: true}, nil
	}
	if err != nil {
		return PollResult{}, fmt.Errorf("poll revisions: %w", err)
	}
	return tail, nil
}

// following decodes log rows and returns the entries after one revision and up
// to another. The error wraps ErrGap if one is missing.
func following(rows []table.Row, after, upTo uint64) ([]Entry, error) {
	var entries []Entry
	next := after + 1
	for _, row := range rows {
		batch, err := decodeBatch(row.Value)
		if err != nil {
			return nil, fmt.Errorf("row %q: %w", row.Key, err)
		}
		for _, entry := range batch {
			if entry.Revision <= after || entry.Revision > upTo {
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

// readHead reads the head row.
func (s *Store) readHead(ctx context.Context) (head, error) {
	rows, err := s.table.Read(ctx, s.settings.headKey())
	if err != nil {
		return head{}, fmt.Errorf("read head: %w", err)
	}
	return decodeHead(rows[0].Value, rows[0].Version)
}

// list reads all rows with a prefix after a key, page by page.
func (s *Store) list(ctx context.Context, prefix, after string) ([]table.Row, error) {
	var all []table.Row
	for {
		page, err := s.table.List(ctx, table.Range{Prefix: prefix, After: after, Limit: pageRows})
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

// load reads the whole state. Compactions that remove rows meanwhile make it
// start over.
func (s *Store) load(ctx context.Context) (*state, error) {
	for range loadAttempts {
		loaded, err := s.loadOnce(ctx)
		if !errors.Is(err, errMoved) {
			return loaded, err
		}
	}
	return nil, fmt.Errorf("%w: snapshot not whole", ErrCorrupt)
}

// loadOnce reads head, snapshot and log once.
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
	rows, err := s.list(ctx, s.settings.logPrefix(), "")
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if err := loaded.take(row, h.revision); err != nil {
			return nil, err
		}
	}
	if loaded.head.revision != h.revision {
		return nil, errMoved
	}
	return loaded, nil
}

// take applies the entries of a log row up to a revision, and keeps the tokens
// of those that the snapshot holds already.
func (s *state) take(row table.Row, upTo uint64) error {
	entries, err := decodeBatch(row.Value)
	if err != nil {
		return fmt.Errorf("row %q: %w", row.Key, err)
	}
	for _, entry := range entries {
		switch {
		case entry.Revision <= s.head.revision:
			s.remember(entry)
		case entry.Revision > upTo:
			return nil
		case entry.Revision > s.head.revision+1:
			return errMoved
		default:
			if err := s.apply(entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadParts reads the rows of the snapshot that the head names.
func (s *Store) loadParts(ctx context.Context, target *state) error {
	h := target.head
	for from := 0; from < h.parts; from += pageRows {
		keys := make([]string, 0, pageRows)
		for part := from; part < min(from+pageRows, h.parts); part++ {
			keys = append(keys, s.settings.partKey(h.snapshot, h.generation, part))
		}
		rows, err := s.table.Read(ctx, keys...)
		if err != nil {
			return fmt.Errorf("read snapshot: %w", err)
		}
		for _, row := range rows {
			if row.Version == 0 {
				return errMoved
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

// refresh brings the state of the committer up to the head row.
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
	rows, err := s.list(ctx, s.settings.logPrefix(), s.settings.logKey(known.revision))
	if err != nil {
		return err
	}
	entries, err := following(rows, known.revision, h.revision)
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

// reload replaces the state of the committer by a fresh one, unless that is
// older.
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
