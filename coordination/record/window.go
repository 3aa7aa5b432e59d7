package record

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"snipetally.example/coordination/table"
)

const (
	// maxCachedWindows is the number of windows that a batcher keeps in memory.
	maxCachedWindows = 16

	// emptyWindowAge is the age from which a window that is not in memory is
	// read before it is written to. A younger window is assumed to be empty,
	// and the check of the write fails if it is not.
	emptyWindowAge = 3 * time.Second

	// listPageSize is the number of rows that are listed per call.
	listPageSize = 500

	rowDigits = 6
)

// window is the known part of the rows of one second. The rows are numbered
// without gaps and never replaced. A router that knows all earlier rows appends
// a row by a transaction that checks that its number is free. If a slot has
// several records, the last one counts.
type window struct {
	next    int
	records map[string][]byte
}

// nextRow returns the key of the row that is appended next.
func (w *window) nextRow(row string) string {
	return row + fmt.Sprintf("%0*x", rowDigits, w.next)
}

// lastRow returns the key of the last known row, or an empty string if none is
// known.
func (w *window) lastRow(row string) string {
	if w.next == 0 {
		return ""
	}
	return row + fmt.Sprintf("%0*x", rowDigits, w.next-1)
}

// windowCache holds the windows in memory by row prefix, and their prefixes in
// the order of their first use.
type windowCache struct {
	byRow map[string]*window
	order []string
}

// newWindowCache returns an empty cache.
func newWindowCache() windowCache {
	return windowCache{byRow: make(map[string]*window)}
}

// get returns a window. It adds an empty one if the window is not in memory.
func (w *windowCache) get(row string) *window {
	found := w.byRow[row]
	if found == nil {
		found = &window{records: make(map[string][]byte)}
		w.byRow[row] = found
		w.order = append(w.order, row)
	}
	return found
}

// evict removes the oldest windows that are not busy. The next write to such a
// window fails its check, and the window is read again from its first row. A
// window with a transaction in flight is kept: the transaction's rows are added
// to what is known of the window, which must be complete from the first row on.
func (w *windowCache) evict(busy map[string]bool) {
	excess := len(w.order) - maxCachedWindows
	kept := w.order[:0]
	for _, row := range w.order {
		if excess > 0 && !busy[row] {
			delete(w.byRow, row)
			excess--
			continue
		}
		kept = append(kept, row)
	}
	w.order = kept
}

// needsReadBack reports whether a batch has to be compared with the table
// before it is written: it writes to an old window that is not in memory, or
// what is in memory already decides one of its entries.
func (b *batcher) needsReadBack(batch []*submission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range batch {
		if !isWindow(s.entry.Row) {
			continue
		}
		w := b.windows.byRow[s.entry.Row]
		if w == nil && time.Since(windowTime(s.entry.Row)) > emptyWindowAge {
			return true
		}
		if w != nil && w.compare(&s.entry) != CommitUncertain {
			return true
		}
	}
	return false
}

// windowTime returns the second of a window.
func windowTime(row string) time.Time {
	parts := strings.Split(strings.TrimPrefix(row, timedPrefix), "/")
	if len(parts) < 2 {
		return time.Time{}
	}
	second, err := strconv.ParseInt(parts[1], 16, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(second, 0)
}

// addCommitted adds the rows of a committed batch to the windows in memory.
func (b *batcher) addCommitted(batch []*submission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	extended := make(map[string]bool)
	for _, s := range batch {
		if !isWindow(s.entry.Row) {
			continue
		}
		w := b.windows.get(s.entry.Row)
		if !extended[s.entry.Row] {
			extended[s.entry.Row] = true
			w.next++
		}
		w.records[s.entry.Slot] = s.entry.Value
	}
}

// refresh reads the rows of a window that are not known yet.
func (b *batcher) refresh(ctx context.Context, row string) error {
	b.mu.Lock()
	w := b.windows.get(row)
	after := w.lastRow(row)
	b.mu.Unlock()
	rows, err := listWindow(ctx, b.config, b.count, row, after)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range rows {
		if r.Key != w.nextRow(row) {
			return fmt.Errorf("row %q out of order: %w", r.Key, table.ErrConflict)
		}
		slots, err := decodeBatch(r.Value)
		if err != nil {
			return err
		}
		for _, slot := range slots {
			w.records[slot.GetName()] = slot.GetRecord()
		}
		w.next++
	}
	return nil
}

// compareWindow compares an entry with what is known of its window.
func (b *batcher) compareWindow(entry *Entry) CommitResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.windows.get(entry.Row).compare(entry)
}

// compare compares an entry with the record in its slot. The result is
// uncertain while the record is the one that the entry replaces.
func (w *window) compare(entry *Entry) CommitResult {
	value, ok := w.records[entry.Slot]
	if !ok && entry.Replaces == "" {
		return CommitUncertain
	}
	if !ok {
		return CommitConflict
	}
	if bytes.Equal(value, entry.Value) {
		return CommitApplied
	}
	s, err := decodeRecord(value)
	switch {
	case err != nil:
		return CommitConflict
	case s.attempt == entry.Replaces:
		return CommitUncertain
	case s.attempt == entry.Attempt:
		return CommitApplied
	}
	return CommitConflict
}

// listWindow lists the rows of a window that sort after a given row.
func listWindow(ctx context.Context, config *Config, count *counters, row, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, config.CallTimeout)
	defer cancel()
	var all []table.Row
	for {
		config.observe(ctx, StepRead)
		count.reads.Add(1)
		rows, err := config.Table.List(ctx, table.Range{Prefix: row, After: after, Limit: listPageSize})
		config.observe(ctx, StepReadDone)
		if err != nil {
			return nil, fmt.Errorf("list window: %w", err)
		}
		all = append(all, rows...)
		if len(rows) < listPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// loadRecord reads the record at a location. The version is zero if there is
// none. In a window any other version has no meaning.
func (r *Recorder) loadRecord(ctx context.Context, loc location) (*storedRecord, uint64, error) {
	if isWindow(loc.row) {
		return r.loadSlot(ctx, loc)
	}
	rows, err := readRows(ctx, &r.config, &r.count, loc.row)
	if err != nil {
		return nil, 0, err
	}
	if rows[0].Version == 0 {
		return nil, 0, nil
	}
	s, err := decodeRecord(rows[0].Value)
	return s, rows[0].Version, err
}

// loadSlot reads a record in a window.
func (r *Recorder) loadSlot(ctx context.Context, loc location) (*storedRecord, uint64, error) {
	rows, err := listWindow(ctx, &r.config, &r.count, loc.row, "")
	if err != nil {
		return nil, 0, err
	}
	var last []byte
	for _, row := range rows {
		slots, err := decodeBatch(row.Value)
		if err != nil {
			return nil, 0, err
		}
		for _, slot := range slots {
			if slot.GetName() == loc.slot {
				last = slot.GetRecord()
			}
		}
	}
	if last == nil {
		return nil, 0, nil
	}
	s, err := decodeRecord(last)
	return s, 1, err
}
