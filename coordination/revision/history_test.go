package revision_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

// plan is a drawn history: the faults of consecutive calls of the table and the
// commands of operators, each of whom uses one of two stores.
type plan struct {
	reads   []memory.Fault
	commits []memory.Fault
	steps   [][]step
	keepLog time.Duration
}

// step is one command of an operator. Copies are sent at once; a further one is
// sent after everything else.
type step struct {
	key    int
	remove bool
	pause  time.Duration
	copies int

	// patience bounds the wait of the caller; zero is unbounded.
	patience time.Duration
}

func drawPlan(rt *rapid.T) plan {
	fault := rapid.Custom(func(rt *rapid.T) memory.Fault {
		return memory.Fault{
			Mode:  memory.Mode(rapid.IntRange(0, 4).Draw(rt, "mode")),
			Delay: time.Duration(rapid.SampledFrom([]int{0, 0, 5, 300, 3000}).Draw(rt, "delay")) * time.Millisecond,
		}
	})
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{
			key:      rapid.IntRange(0, 2).Draw(rt, "key"),
			remove:   rapid.IntRange(0, 4).Draw(rt, "remove") == 0,
			pause:    time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * time.Millisecond,
			copies:   rapid.IntRange(1, 2).Draw(rt, "copies"),
			patience: time.Duration(rapid.SampledFrom([]int{0, 0, 10, 700}).Draw(rt, "patience")) * time.Millisecond,
		}
	})
	// Outages are runs of one fault.
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
	return plan{
		reads:   outages("read"),
		commits: outages("commit"),
		steps:   rapid.SliceOfN(rapid.SliceOfN(one, 1, 5), 2, 3).Draw(rt, "steps"),
		keepLog: rapid.SampledFrom([]time.Duration{time.Second, time.Hour}).Draw(rt, "keep"),
	}
}

// deadlines gives each call of a table a deadline.
type deadlines struct{ table.Table }

func (d deadlines) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return d.Table.Read(ctx, keys...)
}

func (d deadlines) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return d.Table.List(ctx, r)
}

func (d deadlines) Commit(ctx context.Context, t table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return d.Table.Commit(ctx, t)
}

// result is how one copy of a command ended.
type result struct {
	command revision.Command
	outcome revision.Outcome
	err     error
	late    bool
}

// history runs a plan and returns all results and the store.
func history(t *testing.T, p plan) ([]result, *revision.Store) {
	tab := memory.New()
	var reads, commits atomic.Int64
	tab.SetFaults(func(kind table.Kind) memory.Fault {
		faults, calls := p.reads, &reads
		if kind == table.KindCommit {
			faults, calls = p.commits, &commits
		}
		if n := int(calls.Add(1)) - 1; n < len(faults) {
			return faults[n]
		}
		return memory.Fault{}
	})
	settings := revision.Settings{CompactAfter: 3, LogRetention: p.keepLog, TombstoneRetention: time.Second, CommitTimeout: 2 * time.Second}
	var stores []*revision.Store
	for range 2 {
		store, stop := start(t, deadlines{tab}, settings)
		defer stop()
		stores = append(stores, store)
	}
	var mu sync.Mutex
	var results []result
	commit := func(store *revision.Store, c revision.Command, patience time.Duration, late bool) {
		ctx := t.Context()
		if patience > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, patience)
			defer cancel()
		}
		outcome, err := store.Commit(ctx, c)
		mu.Lock()
		defer mu.Unlock()
		results = append(results, result{c, outcome, err, late})
	}
	var operators sync.WaitGroup
	for o, steps := range p.steps {
		operators.Go(func() {
			for i, st := range steps {
				time.Sleep(st.pause)
				base, err := stores[0].Load(t.Context())
				if err != nil {
					continue
				}
				c := set(fmt.Sprint("operator ", o), fmt.Sprint(o, "-", i), base.Revision, fmt.Sprint("key ", st.key), fmt.Sprint(o, "-", i))
				c.Changes[0].Remove = st.remove
				var copies sync.WaitGroup
				for n := range st.copies {
					copies.Go(func() { commit(stores[(o+n)%2], c, st.patience, false) })
				}
				copies.Wait()
			}
		})
	}
	operators.Wait()
	time.Sleep(time.Minute)
	tab.SetFaults(nil)
	for _, r := range append([]result(nil), results...) {
		commit(stores[0], r.command, 0, true)
	}
	return results, stores[1]
}

// check returns what is wrong with a history.
func check(ctx context.Context, p plan, results []result, store *revision.Store) string {
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
			return fmt.Sprintf("revision %d was given to %s and %s", at, owner, token)
		}
		accepted[token], owners[at] = at, token
	}
	snapshot, err := store.Load(ctx)
	if err != nil {
		return err.Error()
	}
	for _, r := range results {
		if failure := checkResult(p, r, accepted, snapshot); failure != "" {
			return failure
		}
	}
	if p.keepLog == time.Hour {
		if failure := checkRefusals(results); failure != "" {
			return failure
		}
		return checkLog(ctx, results, accepted, snapshot, store)
	}
	return ""
}

// checkResult returns what is wrong with one result.
func checkResult(p plan, r result, accepted map[string]uint64, snapshot *revision.Snapshot) string {
	var superseded *revision.SupersededError
	first, done := accepted[r.command.Token]
	switch {
	case errors.As(r.err, &superseded):
		if superseded.Revision <= r.command.Base {
			return fmt.Sprintf("%v: not after base", superseded)
		}
		if done && p.keepLog == time.Hour {
			return fmt.Sprintf("command %s was accepted and refused: %v", r.command.Token, superseded)
		}
	case r.late && r.err != nil:
		return fmt.Sprintf("command failed at a healthy table: %v", r.err)
	}
	if done && first > snapshot.Revision {
		return fmt.Sprintf("accepted command %s at %d is lost", r.command.Token, first)
	}
	document, ok := snapshot.Documents[r.command.Changes[0].Key]
	if done && ok && document.Revision < first {
		return fmt.Sprintf("document went back to %d from %d", document.Revision, first)
	}
	return ""
}

// checkRefusals checks that a command of which all copies were refused for
// certain had not taken effect when it was repeated later.
func checkRefusals(results []result) string {
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

// checkLog replays the whole log and compares it with the results.
func checkLog(ctx context.Context, results []result, accepted map[string]uint64, snapshot *revision.Snapshot, store *revision.Store) string {
	bases := make(map[string]uint64)
	for _, r := range results {
		bases[r.command.Token] = r.command.Base
	}
	journal := revision.NewJournal(1 << 20)
	written := make(map[string]uint64)
	for journal.Current().Revision < snapshot.Revision {
		tail, err := store.Poll(ctx, journal.Current().Revision)
		if err != nil || tail.Reset {
			return fmt.Sprintf("poll: %v, reset %v", err, tail.Reset)
		}
		for _, entry := range tail.Entries {
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
		if err := journal.Apply(tail.Entries...); err != nil {
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
		p := drawPlan(rt)
		var failure string
		synctest.Test(t, func(t *testing.T) {
			results, store := history(t, p)
			failure = check(t.Context(), p, results, store)
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}
