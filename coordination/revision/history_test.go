package revision_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

// history is a random test case: the faults of consecutive calls of the table
// and the commands of several operators, which are sent to two stores.
type history struct {
	reads        []memory.Fault
	commits      []memory.Fault
	steps        [][]step
	logRetention time.Duration
}

// step is one command of an operator. Its copies are sent concurrently, and
// again after all steps.
type step struct {
	key    int
	remove bool
	pause  time.Duration
	copies int

	// timeout bounds the wait of the caller. Zero means no bound.
	timeout time.Duration
}

// drawHistory draws a random history.
func drawHistory(rt *rapid.T) history {
	fault := rapid.Custom(func(rt *rapid.T) memory.Fault {
		return memory.Fault{
			Mode:  memory.Mode(rapid.IntRange(0, 4).Draw(rt, "mode")),
			Delay: time.Duration(rapid.SampledFrom([]int{0, 0, 5, 300, 3000}).Draw(rt, "delay")) * time.Millisecond,
		}
	})
	anyStep := rapid.Custom(func(rt *rapid.T) step {
		return step{
			key:     rapid.IntRange(0, 2).Draw(rt, "key"),
			remove:  rapid.IntRange(0, 4).Draw(rt, "remove") == 0,
			pause:   time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * time.Millisecond,
			copies:  rapid.IntRange(1, 2).Draw(rt, "copies"),
			timeout: time.Duration(rapid.SampledFrom([]int{0, 0, 10, 700}).Draw(rt, "timeout")) * time.Millisecond,
		}
	})
	// A fault repeats for a run of calls, as in an outage.
	outages := func(label string) []memory.Fault {
		var faults []memory.Fault
		for range rapid.IntRange(0, 6).Draw(rt, label+" runs") {
			run := fault.Draw(rt, label+" fault")
			for range rapid.SampledFrom([]int{1, 1, 2, 20}).Draw(rt, label+" length") {
				faults = append(faults, run)
			}
		}
		return faults
	}
	return history{
		reads:        outages("read"),
		commits:      outages("commit"),
		steps:        rapid.SliceOfN(rapid.SliceOfN(anyStep, 1, 5), 2, 3).Draw(rt, "steps"),
		logRetention: rapid.SampledFrom([]time.Duration{time.Second, time.Hour}).Draw(rt, "log retention"),
	}
}

// timeoutTable is a table whose calls have a deadline of one second.
type timeoutTable struct{ table.Table }

func (t timeoutTable) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return t.Table.Read(ctx, keys...)
}

func (t timeoutTable) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return t.Table.List(ctx, r)
}

func (t timeoutTable) Commit(ctx context.Context, tx table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return t.Table.Commit(ctx, tx)
}

// commandResult is the outcome of one copy of a command.
type commandResult struct {
	command revision.Command
	outcome revision.Outcome
	err     error

	// late marks the copies sent after all steps, without faults.
	late bool
}

// runHistory runs a history and returns all results and one of the stores.
func runHistory(t *testing.T, h history) ([]commandResult, *revision.Store) {
	tab := memory.New()
	var reads, commits atomic.Int64
	tab.SetFaults(func(kind table.Kind) memory.Fault {
		faults, calls := h.reads, &reads
		if kind == table.KindCommit {
			faults, calls = h.commits, &commits
		}
		if n := int(calls.Add(1)) - 1; n < len(faults) {
			return faults[n]
		}
		return memory.Fault{}
	})
	config := revision.Config{CompactAfter: 3, LogRetention: h.logRetention, TombstoneRetention: time.Second, CommitTimeout: 2 * time.Second}
	var stores []*revision.Store
	for range 2 {
		store, stop := startStore(t, timeoutTable{tab}, config)
		defer stop()
		stores = append(stores, store)
	}
	var mu sync.Mutex
	var results []commandResult
	commit := func(store *revision.Store, c revision.Command, timeout time.Duration, late bool) {
		ctx := t.Context()
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		outcome, err := store.Commit(ctx, c)
		mu.Lock()
		defer mu.Unlock()
		results = append(results, commandResult{c, outcome, err, late})
	}
	var operators sync.WaitGroup
	for o, steps := range h.steps {
		operators.Go(func() {
			for i, st := range steps {
				time.Sleep(st.pause)
				base, err := stores[0].Load(t.Context())
				if err != nil {
					continue
				}
				c := setCommand(fmt.Sprint("operator ", o), fmt.Sprint(o, "-", i), base.Revision, fmt.Sprint("key ", st.key), fmt.Sprint(o, "-", i))
				c.Changes[0].Remove = st.remove
				var copies sync.WaitGroup
				for n := range st.copies {
					copies.Go(func() { commit(stores[(o+n)%2], c, st.timeout, false) })
				}
				copies.Wait()
			}
		})
	}
	operators.Wait()
	time.Sleep(time.Minute)
	tab.SetFaults(nil)
	for _, r := range append([]commandResult(nil), results...) {
		commit(stores[0], r.command, 0, true)
	}
	return results, stores[1]
}

// checkHistory returns the first violation found in the results of a history,
// or the empty string.
func checkHistory(ctx context.Context, h history, results []commandResult, store *revision.Store) string {
	accepted := make(map[string]uint64)
	owners := make(map[uint64]string)
	for _, r := range results {
		if r.err != nil {
			continue
		}
		token, at := r.command.Token, r.outcome.Revision
		if old, ok := accepted[token]; ok && old != at {
			return fmt.Sprintf("command %s took effect at %d and %d", token, old, at)
		}
		if owner, ok := owners[at]; ok && owner != token {
			return fmt.Sprintf("revision %d was assigned to %s and %s", at, owner, token)
		}
		accepted[token], owners[at] = at, token
	}
	snapshot, err := store.Load(ctx)
	if err != nil {
		return err.Error()
	}
	for _, r := range results {
		if failure := checkResult(h, r, accepted, snapshot); failure != "" {
			return failure
		}
	}
	if h.logRetention == time.Hour {
		if failure := checkRefusals(results); failure != "" {
			return failure
		}
		return checkLog(ctx, results, accepted, snapshot, store)
	}
	return ""
}

// checkResult returns the violation in one result, or the empty string.
func checkResult(h history, r commandResult, accepted map[string]uint64, snapshot *revision.Snapshot) string {
	var superseded *revision.SupersededError
	first, done := accepted[r.command.Token]
	switch {
	case errors.As(r.err, &superseded):
		if superseded.Revision <= r.command.Base {
			return fmt.Sprintf("%v: not after base", superseded)
		}
		if done && h.logRetention == time.Hour {
			return fmt.Sprintf("command %s was accepted and refused: %v", r.command.Token, superseded)
		}
	case r.late && r.err != nil:
		return fmt.Sprintf("command failed without faults: %v", r.err)
	}
	if done && first > snapshot.Revision {
		return fmt.Sprintf("accepted command %s at %d is lost", r.command.Token, first)
	}
	document, ok := snapshot.Documents[r.command.Changes[0].Key]
	if done && ok && document.Revision < first {
		return fmt.Sprintf("document regressed to %d from %d", document.Revision, first)
	}
	return ""
}

// checkRefusals checks that a command whose copies all failed with an error
// other than table.ErrUncertain had not taken effect when it was repeated
// later.
func checkRefusals(results []commandResult) string {
	possible := make(map[string]bool)
	for _, r := range results {
		token := r.command.Token
		if !r.late {
			possible[token] = possible[token] || r.err == nil || errors.Is(r.err, table.ErrUncertain)
			continue
		}
		if r.outcome.Repeated && !possible[token] {
			return fmt.Sprintf("command %s took effect although all its copies were refused", token)
		}
		possible[token] = true
	}
	return ""
}

// checkLog replays the whole log and compares it with the results and the
// snapshot.
func checkLog(ctx context.Context, results []commandResult, accepted map[string]uint64, snapshot *revision.Snapshot, store *revision.Store) string {
	bases := make(map[string]uint64)
	for _, r := range results {
		bases[r.command.Token] = r.command.Base
	}
	journal := revision.NewJournal(1 << 20)
	written := make(map[string]uint64)
	for journal.Current().Revision < snapshot.Revision {
		polled, err := store.Poll(ctx, journal.Current().Revision)
		if err != nil || polled.Reset {
			return fmt.Sprintf("poll: %v, reset %v", err, polled.Reset)
		}
		for _, entry := range polled.Entries {
			if at, ok := accepted[entry.Token]; !ok || at != entry.Revision {
				return fmt.Sprintf("entry %d of %s was reported as %d", entry.Revision, entry.Token, at)
			}
			for _, change := range entry.Changes {
				if written[change.Key] > bases[entry.Token] {
					return fmt.Sprintf("entry %d overwrote %d from base %d", entry.Revision, written[change.Key], bases[entry.Token])
				}
				written[change.Key] = entry.Revision
			}
		}
		if err := journal.Apply(polled.Entries...); err != nil {
			return err.Error()
		}
	}
	if fmt.Sprint(journal.Current().Documents) != fmt.Sprint(snapshot.Documents) {
		return "the log and the stored snapshot differ"
	}
	return ""
}

func TestCommandsTakeEffectOnceInOneOrderUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		bubble.Run(t, rt, func(t *testing.T) string {
			results, store := runHistory(t, h)
			return checkHistory(t.Context(), h, results, store)
		})
	})
}
