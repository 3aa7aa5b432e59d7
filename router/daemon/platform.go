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
	// These rate limits keep one router from exhausting the table service, which
	// sustains several hundred writes and about two thousand reads per second for
	// all routers together.
	readsPerSecond   = 200
	listsPerSecond   = 50
	commitsPerSecond = 100
	burst            = 100

	// maxOpenDuration is the longest time between two probes of a table that does
	// not answer, and thus the longest delay until its recovery is noticed.
	maxOpenDuration = 3 * time.Second
)

// platformClients holds the clients of the platform's services.
type platformClients struct {
	remote    *remote.Table
	table     *guard.Guard
	revisions *revision.Store
	vmWatcher *vm.Watcher

	// disconnected is set once the router has been killed.
	disconnected atomic.Bool
}

// newPlatformClients returns clients of the services that the settings name. The
// VM watcher reports leaving VMs to inst.
func newPlatformClients(s *settings.Settings, inst *installer) *platformClients {
	p := &platformClients{
		remote:    remote.New(remote.Config{URL: "http://" + s.Table.Address, Timeout: s.Table.Timeout}),
		vmWatcher: vm.NewWatcher(vm.NewClient(s.VMList.Address, s.VMList.Timeout), inst.setLeaving),
	}
	config := guard.Config{MaxOpenDuration: maxOpenDuration}
	for kind := range config.Timeout {
		config.Timeout[kind] = s.Table.Timeout
	}
	config.RateLimits[table.KindRead] = guard.RateLimit{PerSecond: readsPerSecond, Burst: burst}
	config.RateLimits[table.KindList] = guard.RateLimit{PerSecond: listsPerSecond, Burst: burst}
	config.RateLimits[table.KindCommit] = guard.RateLimit{PerSecond: commitsPerSecond, Burst: burst}
	p.table = guard.New(disconnectableTable{p.remote, &p.disconnected}, config)
	p.revisions = revision.NewStore(p.table, revision.Config{})
	return p
}

// tableState returns the result and time of the last call to the table service.
func (p *platformClients) tableState() operators.TableStatus {
	statistics := p.table.Statistics()
	if statistics.Failed.After(statistics.Answered) {
		return operators.TableStatus{State: "failing", At: statistics.Failed}
	}
	return operators.TableStatus{State: "answering", At: statistics.Answered}
}

// revisionSource reads revisions for replication.
type revisionSource struct {
	store *revision.Store
}

// Head implements spread.Source.
func (s revisionSource) Head(ctx context.Context) (uint64, error) {
	head, err := s.store.Head(ctx)
	if err != nil {
		return 0, fmt.Errorf("read newest revision: %w", err)
	}
	return head, nil
}

// Since implements spread.Source.
func (s revisionSource) Since(ctx context.Context, after uint64) (spread.Delta, error) {
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

func (p *platformClients) source() spread.Source {
	return revisionSource{p.revisions}
}
