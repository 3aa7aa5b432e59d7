package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/spread"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/guard"
	"snipetally.example/coordination/table/remote"
	"snipetally.example/router/internal/operators"
	"snipetally.example/router/internal/settings"
	"snipetally.example/router/internal/vm"
)

const (
	// The budgets keep one router from using up the table service, which bears
	// several hundred writes and about two thousand reads a second for all.
	readsPerSecond   = 200
	listsPerSecond   = 50
	commitsPerSecond = 100
	burst            = 100

	// longestOpen is the longest time between two probes of a table that does
	// not answer, and so the delay with which its return is noticed.
	longestOpen = 3 * time.Second
)

// platform is the way to the platform's services.
type platform struct {
	remote    *remote.Table
	table     *guard.Guard
	revisions *revision.Store
	list      *vm.Watcher

	// severed is set when the router was killed.
	severed atomic.Bool
}

// newPlatform returns the way to the services that the settings name. Installed is told what the VM list says.
func newPlatform(s *settings.Settings, installed *installer) *platform {
	p := &platform{
		remote: remote.New(remote.Settings{URL: "http://" + s.Table.Address, Timeout: s.Table.Timeout}),
		list:   vm.NewWatcher(vm.NewClient(s.VMList.Address, s.VMList.Timeout), installed.listed),
	}
	limits := guard.Settings{MaxOpenDuration: longestOpen}
	for kind := range limits.Timeout {
		limits.Timeout[kind] = s.Table.Timeout
	}
	limits.RateLimits[table.KindRead] = guard.RateLimit{PerSecond: readsPerSecond, Burst: burst}
	limits.RateLimits[table.KindList] = guard.RateLimit{PerSecond: listsPerSecond, Burst: burst}
	limits.RateLimits[table.KindCommit] = guard.RateLimit{PerSecond: commitsPerSecond, Burst: burst}
	p.table = guard.New(severable{p.remote, &p.severed}, limits)
	p.revisions = revision.NewStore(p.table, revision.Settings{})
	return p
}

// tableState tells how the last call to the table service ended.
func (p *platform) tableState() operators.TableStatus {
	statistics := p.table.Statistics()
	if statistics.Failed.After(statistics.Answered) {
		return operators.TableStatus{State: "failing", At: statistics.Failed}
	}
	return operators.TableStatus{State: "answering", At: statistics.Answered}
}

// source reads revisions for the spreading.
type source struct {
	store *revision.Store
}

// Head implements spread.Source.
func (s source) Head(ctx context.Context) (uint64, error) {
	head, err := s.store.Head(ctx)
	if err != nil {
		return 0, fmt.Errorf("read newest revision: %w", err)
	}
	return head, nil
}

// Since implements spread.Source.
func (s source) Since(ctx context.Context, after uint64) (spread.Delta, error) {
	var delta spread.Delta
	for {
		tail, err := s.store.Poll(ctx, after)
		if err != nil {
			return spread.Delta{}, fmt.Errorf("read revisions: %w", err)
		}
		if tail.Reset {
			delta.Snapshot, err = s.store.Load(ctx)
			if err != nil {
				return spread.Delta{}, fmt.Errorf("read snapshot: %w", err)
			}
			delta.Entries = nil
			return delta, nil
		}
		delta.Entries = append(delta.Entries, tail.Entries...)
		if n := len(tail.Entries); n > 0 {
			after = tail.Entries[n-1].Revision
		}
		if after >= tail.Head || len(tail.Entries) == 0 {
			return delta, nil
		}
	}
}

func (p *platform) source() spread.Source {
	return source{p.revisions}
}
