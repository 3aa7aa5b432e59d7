// Package memory implements table.Table in memory. It replaces the platform's
// table service in tests and demonstrations, and can simulate its faults.
package memory

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"snipetally.example/coordination/table"
)

// Table is an in-memory table. The zero value is an empty table without faults.
// It waits only on timers and contexts, so that it works in a synctest bubble.
type Table struct {
	// mu guards the fields below.
	mu   sync.Mutex
	rows map[string]table.Row

	// version is the version of the rows that the last commit wrote.
	version uint64
	faults  FaultFunc
	counts  Counts
}

var _ table.Table = (*Table)(nil)

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[string]table.Row)}
}

// Read implements table.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	return t.readWithFault(ctx, table.KindRead, func() []table.Row {
		t.mu.Lock()
		defer t.mu.Unlock()
		rows := make([]table.Row, 0, len(keys))
		for _, key := range keys {
			rows = append(rows, t.get(key))
		}
		return rows
	})
}

// List implements table.Table.
func (t *Table) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	return t.readWithFault(ctx, table.KindList, func() []table.Row {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.list(r)
	})
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, tx table.Transaction) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("commit: %w: %w", table.ErrUnavailable, err)
	}
	err := t.commitWithFault(ctx, t.nextFault(table.KindCommit), func() error { return t.apply(tx) })
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// apply checks and applies a transaction atomically. The error wraps
// table.ErrConflict.
func (t *Table) apply(tx table.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range tx.Checks {
		if t.rows[check.Key].Version != check.Version {
			return fmt.Errorf("row %q: %w", check.Key, table.ErrConflict)
		}
	}
	t.version++
	for _, write := range tx.Writes {
		t.put(write)
	}
	t.counts.Rows += len(tx.Writes)
	return nil
}

// list returns copies of the rows in the range. The caller holds t.mu.
func (t *Table) list(r table.Range) []table.Row {
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, r.Prefix) && key > r.After {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if r.Limit > 0 && len(keys) > r.Limit {
		keys = keys[:r.Limit]
	}
	rows := make([]table.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.get(key))
	}
	return rows
}

// get returns a copy of the row at key. The caller holds t.mu.
func (t *Table) get(key string) table.Row {
	row := t.rows[key]
	row.Key = key
	row.Value = append([]byte(nil), row.Value...)
	return row
}

// put applies one write with the current version. The caller holds t.mu.
func (t *Table) put(write table.Write) {
	if write.Remove {
		delete(t.rows, write.Key)
		return
	}
	if t.rows == nil {
		t.rows = make(map[string]table.Row)
	}
	t.rows[write.Key] = table.Row{
		Key:     write.Key,
		Value:   append([]byte(nil), write.Value...),
		Version: t.version,
	}
}
