package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// samples is the number of latencies that a histogram keeps.
const samples = 512

// meters counts what happens to requests. The names are fixed, so that their
// number does not grow with the traffic.
type meters struct {
	requests  metrics.Counter
	served    metrics.Counter
	refused   metrics.Counter
	failed    metrics.Counter
	abandoned metrics.Counter
	repeats   metrics.Counter
	resumed   metrics.Counter
	stale     metrics.Counter
	first     metrics.Histogram
}

// newMeters registers the meters.
func newMeters(registry metrics.Registry) meters {
	return meters{
		requests:  metrics.GetOrRegisterCounter("requests.taken", registry),
		served:    metrics.GetOrRegisterCounter("requests.served", registry),
		refused:   metrics.GetOrRegisterCounter("requests.refused", registry),
		failed:    metrics.GetOrRegisterCounter("requests.failed", registry),
		abandoned: metrics.GetOrRegisterCounter("requests.abandoned", registry),
		repeats:   metrics.GetOrRegisterCounter("attempts.repeated", registry),
		resumed:   metrics.GetOrRegisterCounter("attempts.resumed", registry),
		stale:     metrics.GetOrRegisterCounter("keys.stale", registry),
		first: metrics.GetOrRegisterHistogram("answers.first", registry,
			metrics.NewUniformSample(samples)),
	}
}

// answered counts the time to the first byte of an answer.
func (m *meters) answered(d time.Duration) {
	m.first.Update(d.Milliseconds())
}
