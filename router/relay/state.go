package relay

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/quarantine"
)

// state is the JSON state dump. The field names are part of the format. Version
// and Age are those of the plan in force; Age is in nanoseconds, and both are -1
// without a plan. ServersAge is the age of the list of servers in nanoseconds,
// negative without one.
type state struct {
	VM       string
	Version  int64
	Age      time.Duration
	Ready    bool
	Inflight int64

	// Reach is the state of the links to the servers, and Unheard the time in nanoseconds
	// since any of them was heard, or since the start before the first one.
	Reach   string
	Unheard time.Duration

	ServersAge time.Duration
	Servers    []placement.ServerState

	// Limits are the limits that servers name.
	Limits []limitState

	// Brittle are the servers that say that they are brittle.
	Brittle []brittleState

	// Quarantine holds the verdicts on prompt parts, and Suspects the parts that
	// crashes speak against.
	Quarantine []quarantine.VerdictState
	Suspects   []quarantine.SuspectState
}

// serveState writes the state dump.
func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	age, ok := n.relay.planAge()
	if !ok {
		age = -1
	}
	s := state{
		VM:       n.config.VM,
		Version:  n.relay.planVersion(),
		Age:      age,
		Ready:    n.relay.ready(),
		Inflight: n.relay.inProgress(),

		Reach:   n.uplink.State().String(),
		Unheard: n.relay.reach().Unheard,

		ServersAge: n.relay.serversAge(),
		Servers:    n.relay.balancer.ServerStates(time.Now()),

		Suspects: n.quarantine.Ledger().SuspectStates(),
	}
	s.Limits = n.relay.limitStates()
	s.Brittle = n.relay.brittleStates()
	for _, v := range n.quarantine.Ledger().Verdicts() {
		s.Quarantine = append(s.Quarantine, v.State())
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		n.log.Failure(err).Msg("state dump not written")
	}
}

// limitState is the limit of a server in the state dump. PerSecond is the number of requests a
// second that it takes from all routers together, Age is in nanoseconds since a response
// that named it, and Home is the router that gives the permits.
type limitState struct {
	Server    string
	Service   string
	PerSecond float64
	Age       time.Duration
	Home      string
}

// limitStates returns the limits in force, by server.
func (r *relay) limitStates() []limitState {
	var states []limitState
	for _, s := range *r.servers.Load() {
		if limit, ok := r.limits.Limit(s.usage.key); ok {
			states = append(states, limitState{
				Server: s.ID, Service: s.Service, PerSecond: limit.PerSecond, Age: r.options.clock() - limit.At,
				Home: r.limits.Home(s.usage.key).Addr().String(),
			})
		}
	}
	slices.SortFunc(states, func(a, b limitState) int { return strings.Compare(a.Server, b.Server) })
	return states
}

// brittleState is a brittle server in the state dump. Tolerated is the number of requests that it can
// reject in a second, Age is in nanoseconds since a response that said so, and Home is the router
// that gives its places.
type brittleState struct {
	Server    string
	Service   string
	Tolerated int
	Age       time.Duration
	Home      string
}

// brittleStates returns the servers that say that they are brittle, by server.
func (r *relay) brittleStates() []brittleState {
	var states []brittleState
	for _, s := range *r.servers.Load() {
		if said, known := r.limits.Brittleness(s.usage.placeKey); known && said.Brittle {
			states = append(states, brittleState{
				Server: s.ID, Service: s.Service, Tolerated: said.Tolerated, Age: r.options.clock() - said.At,
				Home: r.limits.Home(s.usage.placeKey).Addr().String(),
			})
		}
	}
	slices.SortFunc(states, func(a, b brittleState) int { return strings.Compare(a.Server, b.Server) })
	return states
}
