package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

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

// state is the state dump.
type state struct {
	VM       string
	Version  int64
	Age      time.Duration
	Ready    bool
	Inflight int64
	Servers  []placement.Belief
}

// serveState writes what the process believes, as JSON.
func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	s := state{
		VM:       n.config.VM,
		Age:      n.relay.age(),
		Ready:    n.relay.ready(),
		Inflight: n.relay.inProgress(),
		Servers:  n.relay.board.Beliefs(time.Now()),
	}
	if v := n.relay.view.Load(); v != nil {
		s.Version = v.plan.Version
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		n.log.Problem(err).Msg("state dump not written")
	}
}
