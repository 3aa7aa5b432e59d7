package revision

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

// attempt is the work on one batch of requests.
type attempt struct {
	pending []*request

	// uncertain says that a transaction with checked as the version of the head
	// may still take effect. It cannot once the head has another version.
	uncertain bool
	checked   uint64

	// stale says that the state must be refreshed before the next write.
	stale bool
	cause error
	pause time.Duration
}

// settle works on a batch until each request has its reply. Each round judges
// the requests by the state and writes the rest on top of the head that the
// state holds. An answer that was lost is settled by reading back: if the head
// has moved, the log holds the tokens or the transaction can never take effect;
// if it has not moved, the same check makes a second write safe.
func (s *Store) settle(ctx context.Context, batch []*request) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.CommitTimeout)
	defer cancel()
	a := &attempt{pending: batch, stale: s.state == nil, pause: firstPause}
	for len(a.pending) > 0 && ctx.Err() == nil {
		if err := s.round(ctx, a); err != nil {
			a.cause = err
			a.rest(ctx)
		}
	}
	for _, r := range a.pending {
		r.done <- reply{err: a.failure(ctx)}
	}
}

// failure is the error for requests that are given up.
func (a *attempt) failure(ctx context.Context) error {
	kind := error(table.ErrUnavailable)
	if a.uncertain {
		kind = table.ErrUncertain
	}
	if a.cause == nil {
		return fmt.Errorf("commit: %w: %w", kind, ctx.Err())
	}
	// The text of the cause is kept and its kind is not, since the cause of the
	// last round need not say what became of an earlier one.
	return fmt.Errorf("commit: %w: %s", kind, a.cause.Error())
}

// rest waits for a growing time with jitter.
func (a *attempt) rest(ctx context.Context) {
	timer := time.NewTimer(a.pause/2 + rand.N(a.pause))
	defer timer.Stop()
	a.pause = min(2*a.pause, longestPause)
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// round judges the pending requests and writes as many as fit in one row.
func (s *Store) round(ctx context.Context, a *attempt) error {
	if a.stale || a.ahead(s.state) {
		if err := s.refresh(ctx); err != nil {
			return err
		}
		a.stale = false
		a.uncertain = a.uncertain && s.state.head.version == a.checked
	}
	chosen, entries := s.choose(a)
	if len(entries) == 0 {
		return nil
	}
	if err := s.limiter.WaitN(ctx, 2); err != nil {
		return fmt.Errorf("wait for budget: %w", err)
	}
	a.checked = s.state.head.version
	err := s.write(ctx, entries)
	if err == nil {
		return s.accept(ctx, a, chosen, entries)
	}
	a.uncertain = a.uncertain || isUncertain(err)
	a.stale = !errors.Is(err, table.ErrUnavailable) || a.uncertain
	return err
}

// ahead reports whether a request names a base that the state has not reached.
func (a *attempt) ahead(s *state) bool {
	for _, r := range a.pending {
		if r.command.Base > s.head.revision {
			return true
		}
	}
	return false
}

// choose replies to the requests with a final verdict and returns those to be
// written next with their entries. A request that touches a document of one
// chosen before waits for the next round, which judges it by the outcome.
func (s *Store) choose(a *attempt) ([]*request, []Entry) {
	var chosen, pending []*request
	var entries []Entry
	bytes := 0
	touched := make(map[string]bool)
	now := time.Now().UTC()
	for _, r := range a.pending {
		v := s.state.judge(r.command)
		if !v.done && r.command.Base > s.state.head.revision {
			v = verdict{done: true, err: fmt.Errorf("commit: %w: %d after %d", ErrUnknownBase, r.command.Base, s.state.head.revision)}
		}
		if v.done {
			r.done <- reply{outcome: v.outcome, err: v.err}
			continue
		}
		entry := r.command.entry(s.state.head.revision+uint64(len(entries))+1, now)
		n := size(entry)
		if bytes+n > rowBytes || touches(touched, r.command) {
			pending = append(pending, r)
			continue
		}
		if err := s.check(r.command, append(entries, entry)); err != nil {
			r.done <- reply{err: fmt.Errorf("commit: %w", err)}
			continue
		}
		pending = append(pending, r)
		bytes += n
		chosen = append(chosen, r)
		entries = append(entries, entry)
	}
	a.pending = pending
	return chosen, entries
}

// check calls the check of a command, if it has one, with the snapshot after
// the entries, of which the command's is the last.
func (s *Store) check(command Command, entries []Entry) error {
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

// touches reports whether the command shares its token or a document with
// those seen before, and adds them.
func touches(seen map[string]bool, command Command) bool {
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

// write commits entries on top of the head of the state.
func (s *Store) write(ctx context.Context, entries []Entry) error {
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
	key := s.settings.logKey(next.revision)
	return s.table.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: s.settings.headKey(), Version: next.version}, {Key: key}},
		Writes: []table.Write{{Key: s.settings.headKey(), Value: value}, {Key: key, Value: row}},
	})
}

// accept replies to the requests that were written and takes their entries
// into the state. The version of the new head is read with the next refresh.
func (s *Store) accept(ctx context.Context, a *attempt, chosen []*request, entries []Entry) error {
	written := make(map[*request]bool, len(chosen))
	for i, r := range chosen {
		r.done <- reply{outcome: Outcome{Revision: entries[i].Revision}}
		written[r] = true
	}
	var pending []*request
	for _, r := range a.pending {
		if !written[r] {
			pending = append(pending, r)
		}
	}
	a.pending, a.uncertain, a.pause = pending, false, firstPause
	a.stale = true
	return s.refresh(ctx)
}
