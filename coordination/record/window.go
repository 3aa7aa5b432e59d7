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
	// windowLimit is the number of windows that a batcher remembers.
	windowLimit = 16

	// windowAge is the age at which a window that is not remembered is read
	// before it is written to. A younger one is taken to be empty, and the
	// table tells if it is not.
	windowAge = 3 * time.Second

	// listLimit is the number of rows that are listed at once.
	listLimit = 500

	rowDigits = 6
)

// window is the known part of the rows of one second. The rows are numbered
// without gaps and never replaced: a row is appended by a transaction that
// checks that its number is free, made by a router that knows all rows before
// it. Of several records in a slot the last one counts.
type window struct {
	next    int
	records map[string][]byte
}

// nextRow returns the key of the row that is appended next.
func (w *window) nextRow(row string) string {
	return row + fmt.Sprintf("%0*x", rowDigits, w.next)
}

// lastRow returns the key of the last known row, or an empty string.
func (w *window) lastRow(row string) string {
	if w.next == 0 {
		return ""
	}
	return row + fmt.Sprintf("%0*x", rowDigits, w.next-1)
}

// windows are the remembered windows, in the order of their first use.
type windows struct {
	known map[string]*window
	order []string
}

// newWindows returns an empty set.
func newWindows() windows {
	return windows{known: make(map[string]*window)}
}

// get returns a window, which is empty if it was not remembered.
func (w *windows) get(row string) *window {
	found := w.known[row]
	if found == nil {
		found = &window{records: make(map[string][]byte)}
		w.known[row] = found
		w.order = append(w.order, row)
	}
	return found
}

// trim forgets the oldest windows that are not busy. The next write to such a
// window fails its check, and the window is read again from its first row. One
// in flight is kept: its flight adds to what is known of it, which has to be
// known from the first row on.
func (w *windows) trim(busy map[string]bool) {
	excess := len(w.order) - windowLimit
	kept := w.order[:0]
	for _, row := range w.order {
		if excess > 0 && !busy[row] {
			delete(w.known, row)
			excess--
			continue
		}
		kept = append(kept, row)
	}
	w.order = kept
}

// doubts reports whether a batch has to be held against the table before it is
// written: it belongs to an old window that is not remembered, or what is
// remembered speaks against one of its entries.
func (b *batcher) doubts(batch []*submission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range batch {
		if !isWindow(s.entry.Row) {
			continue
		}
		w := b.windows.known[s.entry.Row]
		if w == nil && time.Since(windowTime(s.entry.Row)) > windowAge {
			return true
		}
		if w != nil && w.judge(&s.entry) != CommitUncertain {
			return true
		}
	}
	return false
}

// windowTime returns the second of a window.
func windowTime(row string) time.Time {
	parts := strings.Split(strings.TrimPrefix(row, timedRoot), "/")
	if len(parts) < 2 {
		return time.Time{}
	}
	second, err := strconv.ParseInt(parts[1], 16, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(second, 0)
}

// extend notes the rows of a batch that was committed.
func (b *batcher) extend(batch []*submission) {
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

// judgeWindow compares an entry with what is known of its window.
func (b *batcher) judgeWindow(entry *Entry) CommitResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.windows.get(entry.Row).judge(entry)
}

// judge compares an entry with the record in its slot. It is uncertain while
// the record is the one that the entry replaces.
func (w *window) judge(entry *Entry) CommitResult {
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

// listWindow lists the rows of a window that sort after a row.
func listWindow(ctx context.Context, config *Config, count *counters, row, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, config.CallTimeout)
	defer cancel()
	var all []table.Row
	for {
		config.observe(ctx, StepRead)
		count.reads.Add(1)
		rows, err := config.Table.List(ctx, table.Range{Prefix: row, After: after, Limit: listLimit})
		config.observe(ctx, StepReadDone)
		if err != nil {
			return nil, fmt.Errorf("list window: %w", err)
		}
		all = append(all, rows...)
		if len(rows) < listLimit {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// load reads the record at a place. The version is zero if there is none, and
// has no meaning in a window otherwise.
func (b *Recorder) load(ctx context.Context, at place) (*stored, uint64, error) {
	if isWindow(at.row) {
		return b.loadSlot(ctx, at)
	}
	rows, err := readRows(ctx, &b.config, &b.count, at.row)
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
func (b *Recorder) loadSlot(ctx context.Context, at place) (*stored, uint64, error) {
	rows, err := listWindow(ctx, &b.config, &b.count, at.row, "")
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
			if slot.GetName() == at.slot {
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
