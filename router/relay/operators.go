package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/placement"
)

// serveReady answers whether callers should be sent here.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.relay.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveMetrics writes the counters and histograms as text.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(n.metrics, w)
}

// callCounter returns a function that counts calls to a table by their kinds.
func (n *Node) callCounter(table string) func(feed.Call, error) {
	prefix := "table." + table + "."
	counters := map[feed.Call]metrics.Counter{
		feed.ReadCall:  metrics.GetOrRegisterCounter(prefix+feed.ReadCall.String(), n.metrics),
		feed.WatchCall: metrics.GetOrRegisterCounter(prefix+feed.WatchCall.String(), n.metrics),
	}
	failed := metrics.GetOrRegisterCounter(prefix+"failed", n.metrics)
	return func(call feed.Call, err error) {
		counters[call].Inc(1)
		if err != nil {
			failed.Inc(1)
		}
	}
}

// registerGauges registers what is read when somebody asks: the version and age
// of the plan in milliseconds, or -1 without one, the requests in progress, and
// the log lines that found no room.
func (n *Node) registerGauges() {
	gauges := map[string]func() int64{
		"plan.version":      n.relay.version,
		"plan.age":          func() int64 { return max(n.relay.age(), -time.Millisecond).Milliseconds() },
		"requests.inflight": n.relay.inProgress,
		"log.lost":          n.log.DroppedLines,
	}
	for name, value := range gauges {
		if err := n.metrics.Register(name, metrics.NewFunctionalGauge(value)); err != nil {
			n.log.Failure(err).Str("meter", name).Msg("meter not registered")
		}
	}
}

// version returns the version of the plan in force, or -1 without one.
func (r *relay) version() int64 {
	if v := r.view.Load(); v != nil {
		return v.plan.Version
	}
	return -1
}

// state is the state dump.
type state struct {
	VM       string
	Version  int64
	Age      time.Duration
	Ready    bool
	Inflight int64
	Servers  []placement.ServerState
}

// serveState writes what the process believes, as JSON.
func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	s := state{
		VM:       n.config.VM,
		Version:  n.relay.version(),
		Age:      n.relay.age(),
		Ready:    n.relay.ready(),
		Inflight: n.relay.inProgress(),
		Servers:  n.relay.board.ServerStates(time.Now()),
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		n.log.Failure(err).Msg("state dump not written")
	}
}
