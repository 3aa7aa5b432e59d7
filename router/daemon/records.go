package daemon

import (
	"context"
	"fmt"
	"strconv"

	"github.com/juju/errors"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/record"
	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/caller"
	"snipetally.example/router/internal/object"
	records "snipetally.example/wire/record"
)

// buckets is the number of groups of rows whose begins are batched together.
const buckets = 1

// errNoServer says that an attempt's backend server is not in the plan.
const errNoServer = errors.ConstError("no such backend server")

// newBook returns the records of this router. The begins of a partner's calls
// are batched by routers of the region, and the router's incarnation is that
// of the membership, so that others can tell whether it still runs.
func newBook(r *Router) (*record.Recorder, error) {
	self := r.network.pool.Self()
	config := record.Config{
		Table:       r.platform.table,
		VM:          self.Name,
		Incarnation: incarnation(self),
		Homes: &record.RendezvousLocator{
			Self:       self.Name,
			Buckets:    buckets,
			Candidates: r.network.near,
		},
		Peers:    records.NewClient(r.network.tripper, r.network.scheme, r.network.Address),
		Liveness: r.network,
		Prober:   &prober{router: r},
	}
	if objects := r.settings.ObjectStore; objects.Address != "" {
		config.Store = object.NewStore(objects.Address, objects.Timeout)
	}
	book, err := record.New(config)
	if err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	return book, nil
}

// incarnation returns the name of a member's incarnation.
func incarnation(m membership.Member) string {
	return strconv.FormatUint(m.Incarnation, 16)
}

// near returns the live VMs of the own region.
func (n *network) near(string) []string {
	self := n.pool.Self()
	var names []string
	for _, member := range n.pool.Members().Live() {
		if member.Region == self.Region {
			names = append(names, member.Name)
		}
	}
	return names
}

// Live implements record.Liveness.
func (n *network) Live(vm, wanted string) bool {
	member, ok := n.pool.Members().Find(vm)
	return ok && member.State.Live() && incarnation(member) == wanted
}

// prober asks backend servers about attempts.
type prober struct {
	router *Router
}

// Probe implements record.Prober.
func (p *prober) Probe(ctx context.Context, target, id string) (record.Report, error) {
	snapshot := p.router.fleet.Acquire()
	if snapshot == nil {
		return record.Report{}, errNoServer
	}
	defer snapshot.Release()
	t := caller.ParseTarget(target)
	server, ok := snapshot.Servers[t.Server]
	if !ok {
		return record.Report{}, fmt.Errorf("probe %s: %w", t.Server, errNoServer)
	}
	service := server.Kind == backend.KindService
	if service && !snapshot.ReportsStatus(server.Service) {
		return record.Report{State: record.ReportUnknown}, nil
	}
	standing, err := attempt.QueryState(ctx, p.router.links.Get(server.Address), service, id, t.Epoch)
	if err != nil {
		return record.Report{}, fmt.Errorf("probe %s: %w", t.Server, err)
	}
	return record.Report{State: reportOf(standing)}, nil
}

func reportOf(standing attempt.State) record.ReportState {
	switch standing {
	case attempt.StateRan:
		return record.ReportDone
	case attempt.StateRunning:
		return record.ReportRunning
	case attempt.StateNotRun:
		return record.ReportNotRun
	}
	return record.ReportUnknown
}
