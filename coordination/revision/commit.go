package revision

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

// batchCommit is the progress of committing one batch of requests.
type batchCommit struct {
	// pending holds the requests without a reply.
	pending []*request

	// uncertain means that a transaction that checks for checkedVersion of the
	// head row may still take effect. It cannot once the head row has another
	// version.
	uncertain      bool
	checkedVersion uint64

	// stale means that the state must be refreshed before the next write.
	stale   bool
	lastErr error
	backoff time.Duration
}

// commitBatch retries a batch until every request has its result or the commit
// timeout ends. Each round replies to the requests that the state decides and
// writes the others on top of the state's head. If the outcome of a write is
// unknown, the head row is read back: if its version has changed, either the
// log holds the tokens or the transaction can never take effect; if it has not
// changed, the same check makes a second write safe.
func (s *Store) commitBatch(ctx context.Context, batch []*request) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CommitTimeout)
	defer cancel()
	b := &batchCommit{pending: batch, stale: s.state == nil, backoff: initialBackoff}
	for len(b.pending) > 0 && ctx.Err() == nil {
		if err := s.commitOnce(ctx, b); err != nil {
			b.lastErr = err
			b.sleepBackoff(ctx)
		}
	}
	for _, r := range b.pending {
		r.done <- result{err: b.finalError(ctx)}
	}
}

// finalError returns the error for requests that are still pending when ctx
// ends.
func (b *batchCommit) finalError(ctx context.Context) error {
	kind := error(table.ErrUnavailable)
	if b.uncertain {
		kind = table.ErrUncertain
	}
	if b.lastErr == nil {
		return fmt.Errorf("commit: %w: %w", kind, ctx.Err())
	}
	// Only the text of the last error is kept. Wrapping it would expose its kind,
	// which may be wrong for a transaction of an earlier round.
	return fmt.Errorf("commit: %w: %s", kind, b.lastErr.Error())
}

// sleepBackoff waits for the backoff with jitter, or until ctx ends, and
// doubles the backoff up to maxBackoff.
func (b *batchCommit) sleepBackoff(ctx context.Context) {
	timer := time.NewTimer(b.backoff/2 + rand.N(b.backoff))
	defer timer.Stop()
	b.backoff = min(2*b.backoff, maxBackoff)
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// commitOnce replies to the pending requests that the state decides and writes
// as many of the others as fit in one row.
func (s *Store) commitOnce(ctx context.Context, b *batchCommit) error {
	if b.stale || b.baseAhead(s.state) {
		if err := s.refresh(ctx); err != nil {
			return err
		}
		b.stale = false
		b.uncertain = b.uncertain && s.state.head.version == b.checkedVersion
	}
	selected, entries := s.selectRequests(b)
	if len(entries) == 0 {
		return nil
	}
	if err := s.limiter.WaitN(ctx, 2); err != nil {
		return fmt.Errorf("wait for budget: %w", err)
	}
	b.checkedVersion = s.state.head.version
	err := s.writeEntries(ctx, entries)
	if err == nil {
		return s.acknowledge(ctx, b, selected, entries)
	}
	b.uncertain = b.uncertain || isUncertain(err)
	b.stale = !errors.Is(err, table.ErrUnavailable) || b.uncertain
	return err
}

// baseAhead reports whether the base of a pending request is newer than the
// state.
func (b *batchCommit) baseAhead(s *state) bool {
	for _, r := range b.pending {
		if r.command.Base > s.head.revision {
			return true
		}
	}
	return false
}

// selectRequests replies to the requests that have a final decision and returns
// those to be written next with their entries. A request that shares a document
// or token with an earlier one waits for the next round, which decides it by
// the new state.
func (s *Store) selectRequests(b *batchCommit) ([]*request, []Entry) {
	var selected, pending []*request
	var entries []Entry
	bytes := 0
	touched := make(map[string]bool)
	now := time.Now().UTC()
	for _, r := range b.pending {
		d := s.state.decide(r.command)
		if !d.final && r.command.Base > s.state.head.revision {
			d = decision{final: true, err: fmt.Errorf("commit: %w: %d after %d", ErrUnknownBase, r.command.Base, s.state.head.revision)}
		}
		if d.final {
			r.done <- result{outcome: d.outcome, err: d.err}
			continue
		}
		entry := r.command.entry(s.state.head.revision+uint64(len(entries))+1, now)
		n := entrySize(entry)
		if bytes+n > maxRowBytes || markTouched(touched, r.command) {
			pending = append(pending, r)
			continue
		}
		if err := s.runCheck(r.command, append(entries, entry)); err != nil {
			r.done <- result{err: fmt.Errorf("commit: %w", err)}
			continue
		}
		pending = append(pending, r)
		bytes += n
		selected = append(selected, r)
		entries = append(entries, entry)
	}
	b.pending = pending
	return selected, entries
}

// runCheck calls the Check function of a command, if it is set, with the
// snapshot after the entries. The last entry is that of the command.
func (s *Store) runCheck(command Command, entries []Entry) error {
	if command.Check == nil {
		return nil
	}
	next, err := s.state.snapshot().ApplyAll(entries)
	if err != nil {
		return fmt.Errorf("try command: %w", err)
	}
	if err := command.Check(next); err != nil {
		return fmt.Errorf("check command: %w", err)
	}
	return nil
}

// markTouched adds the command's token and documents to seen and reports
// whether any of them was there already.
func markTouched(seen map[string]bool, command Command) bool {
	names := []string{"token " + command.Token}
	for _, change := range command.Changes {
		names = append(names, "document "+change.Key)
	}
	shared := false
	for _, name := range names {
		shared = shared || seen[name]
		seen[name] = true
	}
	return shared
}

// writeEntries commits the entries as one log row together with the new head
// row. The transaction checks that the head row still has the version in the
// state and that the log row does not exist.
func (s *Store) writeEntries(ctx context.Context, entries []Entry) error {
	row, err := encodeBatch(entries)
	if err != nil {
		return err
	}
	next := s.state.head
	next.revision += uint64(len(entries))
	value, err := encodeHead(next)
	if err != nil {
		return err
	}
	key := s.config.logKey(next.revision)
	return s.table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: s.config.headKey(), Version: next.version}, {Key: key}},
		Writes: []table.Write{{Key: s.config.headKey(), Value: value}, {Key: key, Value: row}},
	})
}

// acknowledge replies to the requests that were written, resets the backoff and
// refreshes the state, which reads the version of the new head row.
func (s *Store) acknowledge(ctx context.Context, b *batchCommit, selected []*request, entries []Entry) error {
	written := make(map[*request]bool, len(selected))
	for i, r := range selected {
		r.done <- result{outcome: Outcome{Revision: entries[i].Revision}}
		written[r] = true
	}
	var pending []*request
	for _, r := range b.pending {
		if !written[r] {
			pending = append(pending, r)
		}
	}
	b.pending, b.uncertain, b.backoff = pending, false, initialBackoff
	b.stale = true
	return s.refresh(ctx)
}
