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

// batchBuckets is the number of buckets that rows are hashed to. The records of new
// attempts for the rows of one bucket are batched by one router.
const batchBuckets = 1

// errUnknownServer means that an attempt's backend server is not in the plan.
const errUnknownServer = errors.ConstError("no such backend server")

// newRecorder returns the recorder of this router. The records of new attempts are
// batched by routers of this router's region. The recorder uses the router's
// incarnation in the membership, so that other routers can tell whether it still
// runs.
func newRecorder(r *Router) (*record.Recorder, error) {
	self := r.cluster.node.Self()
	config := record.Config{
		Table:       r.platform.table,
		VM:          self.Name,
		Incarnation: incarnation(self),
		Homes: &record.RendezvousLocator{
			Self:       self.Name,
			Buckets:    batchBuckets,
			Candidates: r.cluster.liveInRegion,
		},
		Peers:    records.NewClient(r.cluster.roundTripper, r.cluster.scheme, r.cluster.Address),
		Liveness: r.cluster,
		Prober:   &prober{router: r},
	}
	if objects := r.settings.ObjectStore; objects.Address != "" {
		config.Store = object.NewStore(objects.Address, objects.Timeout)
	}
	recorder, err := record.New(config)
	if err != nil {
		return nil, fmt.Errorf("open recorder: %w", err)
	}
	return recorder, nil
}

// incarnation returns a member's incarnation in hexadecimal.
func incarnation(m membership.Member) string {
	return strconv.FormatUint(m.Incarnation, 16)
}

// liveInRegion returns the names of the live routers in this router's region. They
// are the same for every partner.
func (c *cluster) liveInRegion(string) []string {
	self := c.node.Self()
	var names []string
	for _, member := range c.node.View().Live() {
		if member.Region == self.Region {
			names = append(names, member.Name)
		}
	}
	return names
}

// Live reports whether the VM is live under the given incarnation. It implements
// record.Liveness.
func (c *cluster) Live(vm, want string) bool {
	member, ok := c.node.View().Find(vm)
	return ok && member.State.Live() && incarnation(member) == want
}

// prober queries backend servers for the state of attempts.
type prober struct {
	router *Router
}

// Probe implements record.Prober.
func (p *prober) Probe(ctx context.Context, target, id string) (record.Report, error) {
	snapshot := p.router.fleet.Acquire()
	if snapshot == nil {
		return record.Report{}, errUnknownServer
	}
	defer snapshot.Release()
	t := caller.ParseTarget(target)
	server, ok := snapshot.Servers[t.Server]
	if !ok {
		return record.Report{}, fmt.Errorf("probe %s: %w", t.Server, errUnknownServer)
	}
	service := server.Kind == backend.KindService
	if service && !snapshot.ReportsStatus(server.Service) {
		return record.Report{State: record.ReportUnknown}, nil
	}
	state, err := attempt.QueryState(ctx, p.router.links.Get(server.Address), service, id, t.Epoch)
	if err != nil {
		return record.Report{}, fmt.Errorf("probe %s: %w", t.Server, err)
	}
	return record.Report{State: reportState(state)}, nil
}

// reportState converts the state of an attempt to that of a report.
func reportState(state attempt.State) record.ReportState {
	switch state {
	case attempt.StateRan:
		return record.ReportDone
	case attempt.StateRunning:
		return record.ReportRunning
	case attempt.StateNotRun:
		return record.ReportNotRun
	}
	return record.ReportUnknown
}
