package relay

import (
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/inbound"
)

// serveReady answers the readiness check.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.relay.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveMetrics writes the metrics as text.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(n.metrics, w)
}

// callReporter returns a function that counts calls to a table by kind, the failed
// ones, and the bytes received, and logs responses with changes. In the line,
// received holds the size of the response in bytes, open how long the call was in
// progress in milliseconds, changes the number of rows, and indirect whether it came
// through another router.
func (n *Node) callReporter(table string) func(feed.CallReport) {
	prefix := "table." + table + "."
	counters := map[feed.Call]metrics.Counter{
		feed.ReadCall:  metrics.GetOrRegisterCounter(prefix+feed.ReadCall.String(), n.metrics),
		feed.WatchCall: metrics.GetOrRegisterCounter(prefix+feed.WatchCall.String(), n.metrics),
		feed.CheckCall: metrics.GetOrRegisterCounter(prefix+feed.CheckCall.String(), n.metrics),
	}
	failed := metrics.GetOrRegisterCounter(prefix+"failed", n.metrics)
	received := metrics.GetOrRegisterCounter(prefix+"received", n.metrics)
	return func(report feed.CallReport) {
		counters[report.Call].Inc(1)
		received.Inc(report.Bytes)
		if report.Err != nil && !errors.Is(report.Err, feed.ErrDropped) {
			failed.Inc(1)
		}
		if report.Err == nil && report.Changes > 0 {
			n.log.StateChange().Str("table", table).Stringer("call", report.Call).Bool("indirect", report.Indirect).
				Int64("era", report.Era).Int64("revision", report.Revision).Int("changes", report.Changes).Int64("received", report.Bytes).
				Dur("open", report.Open).Msg("changes received")
		}
	}
}

// registerGauges registers gauges that are computed when read: the version of
// the plan and its age in milliseconds, both -1 without a plan, for how
// many milliseconds a newer version has been known to exist, 0 if none is, the age of
// the list of servers in milliseconds, -1 without one, the number of other routers that are heard, the time since any server was heard in
// milliseconds, -1 before the first one, the state of the links to the servers, 0 if they
// are reached, the newest era of the store of the tables, the number of requests in progress, what
// connections hold of each resource, the number of log lines that were dropped, of the limits of servers in force, and those of
// the prompt parts that crashes speak against and of the verdicts in force.
func (n *Node) registerGauges() {
	gauges := map[string]func() int64{
		"plan.version":      n.relay.planVersion,
		"plan.age":          n.relay.planAgeMilliseconds,
		"plan.missing":      func() int64 { return n.plans.MissingFor().Milliseconds() },
		"store.era":         n.config.Eras.Newest,
		"servers.age":       func() int64 { return n.relay.serversAge().Milliseconds() },
		"requests.inflight": n.relay.inProgress,
		"log.lost":          n.log.DroppedLines,
		"limits.known":      n.limits.Count,
		"brittle.known":     n.limits.BrittleServers,
		"routers.live":      func() int64 { return int64(len(n.broadcaster.Live(time.Now()))) },
		"servers.unheard":   n.relay.unheardMilliseconds,
		"servers.reach":     func() int64 { return int64(n.uplink.State()) },
		"quarantine.suspects": func() int64 {
			suspects, _ := n.quarantine.Ledger().Counts()
			return int64(suspects)
		},
		"quarantine.verdicts": func() int64 {
			_, verdicts := n.quarantine.Ledger().Counts()
			return int64(verdicts)
		},
	}
	for _, resource := range inbound.Resources() {
		gauges[resource.String()+".held"] = func() int64 { return n.inbound.Held(resource) }
	}
	for name, value := range gauges {
		if err := n.metrics.Register(name, metrics.NewFunctionalGauge(value)); err != nil {
			n.log.Failure(err).Str("meter", name).Msg("metric not registered")
		}
	}
}

// unheardMilliseconds returns the time since any server was heard, or -1 before the first one.
func (r *relay) unheardMilliseconds() int64 {
	reach := r.reach()
	if !reach.Heard {
		return -1
	}
	return reach.Unheard.Milliseconds()
}

// planVersion returns the version of the plan in force, or -1 without one.
func (r *relay) planVersion() int64 {
	if version := r.planInForce(); version > 0 {
		return version
	}
	return -1
}

// planAgeMilliseconds returns the age of the plan in force, or -1 without one.
func (r *relay) planAgeMilliseconds() int64 {
	age, ok := r.planAge()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}
