package relay

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// histogramSamples is the number of latencies that a histogram samples.
	histogramSamples = 512

	// classHistogramSamples is the same for the histograms of one class.
	classHistogramSamples = 256
)

// requestMetrics counts the outcomes of requests: in total, by class, and by
// service. The metrics of a class are registered with its first outcome, as a plan
// may have thousands of classes without requests; those of classes and services
// that left the plan are unregistered.
type requestMetrics struct {
	registry metrics.Registry

	// Requests of callers, and their outcomes.
	requests  metrics.Counter
	served    metrics.Counter
	refused   metrics.Counter
	failed    metrics.Counter
	abandoned metrics.Counter

	// quarantined counts the requests that a verdict on a part of their prompts refused, and stale
	// those that were refused for lack of a current plan.
	quarantined metrics.Counter
	stale       metrics.Counter

	// firstByte is the time to the first byte of a response, in milliseconds.
	firstByte metrics.Histogram

	// resumed counts the retries after the response had begun, and stranded the runs that were
	// stopped for a migration and did not go on.
	retries  metrics.Counter
	resumed  metrics.Counter
	stranded metrics.Counter

	// silent counts the times that a server made no progress for longer than a healthy one takes,
	// crashes the servers that ended while attempts were in progress there, and probes the health
	// checks by which the links to the servers are judged.
	silent  metrics.Counter
	crashes metrics.Counter
	probes  metrics.Counter

	// limited counts the attempts sent to servers that name a limit, unpermitted the choices that
	// found no server with a permit left, keptBack the permits that were denied, and unanswered
	// those for which no home answered.
	limited     metrics.Counter
	unpermitted metrics.Counter
	keptBack    metrics.Counter
	unanswered  metrics.Counter

	// handovers counts the requests that another router took, handoversDeclined the offers that one
	// did not take, and handedOver the requests of other routers that this one took.
	handovers         metrics.Counter
	handoversDeclined metrics.Counter
	handedOver        metrics.Counter

	// mu guards the fields below. classes holds the classes of the plan; the
	// value is nil before the first outcome.
	mu       sync.RWMutex
	classes  map[string]*classMetrics
	services map[string]*serviceMetrics
}

// classMetrics counts the requests of a class.
type classMetrics struct {
	served    metrics.Counter
	late      metrics.Counter
	paused    metrics.Counter
	refused   metrics.Counter
	failed    metrics.Counter
	abandoned metrics.Counter

	// firstByte is the time to the first byte of a response, expected the time
	// that was expected when the server was chosen, and gap the longest pause
	// between the events of a stream, in milliseconds. paused counts the late
	// responses whose first byte was in time.
	firstByte metrics.Histogram
	expected  metrics.Histogram
	gap       metrics.Histogram
}

// serviceMetrics counts the attempts at a service's servers by their results. taken
// counts the retries that were taken from the budget and not returned, and further the
// attempts that may have reached a server beyond the first of their request. The
// difference is what no retry was taken for.
type serviceMetrics struct {
	attempts [len(resultNames)]metrics.Counter
	retries  metrics.Counter
	denied   metrics.Counter
	taken    metrics.Counter
	further  metrics.Counter
}

// newRequestMetrics registers the metrics of all requests. Those of services follow
// with updatePlan, and those of classes with class.
func newRequestMetrics(registry metrics.Registry) *requestMetrics {
	return &requestMetrics{
		registry:    registry,
		requests:    metrics.GetOrRegisterCounter("requests.taken", registry),
		served:      metrics.GetOrRegisterCounter("requests.served", registry),
		refused:     metrics.GetOrRegisterCounter("requests.refused", registry),
		failed:      metrics.GetOrRegisterCounter("requests.failed", registry),
		abandoned:   metrics.GetOrRegisterCounter("requests.abandoned", registry),
		retries:     metrics.GetOrRegisterCounter("attempts.repeated", registry),
		resumed:     metrics.GetOrRegisterCounter("attempts.resumed", registry),
		stranded:    metrics.GetOrRegisterCounter("migrations.stranded", registry),
		silent:      metrics.GetOrRegisterCounter("attempts.silent", registry),
		quarantined: metrics.GetOrRegisterCounter("requests.quarantined", registry),
		crashes:     metrics.GetOrRegisterCounter("servers.crashed", registry),
		limited:     metrics.GetOrRegisterCounter("attempts.limited", registry),
		unpermitted: metrics.GetOrRegisterCounter("requests.limited", registry),
		keptBack:    metrics.GetOrRegisterCounter("permits.denied", registry),
		unanswered:  metrics.GetOrRegisterCounter("permits.unanswered", registry),
		probes:      metrics.GetOrRegisterCounter("servers.probed", registry),
		handovers:   metrics.GetOrRegisterCounter("handovers.sent", registry),
		handedOver:  metrics.GetOrRegisterCounter("handovers.taken", registry),

		handoversDeclined: metrics.GetOrRegisterCounter("handovers.declined", registry),

		stale: metrics.GetOrRegisterCounter("keys.stale", registry),
		firstByte: metrics.GetOrRegisterHistogram("answers.first", registry,
			metrics.NewUniformSample(histogramSamples)),
		classes:  make(map[string]*classMetrics),
		services: make(map[string]*serviceMetrics),
	}
}

// updatePlan takes over the classes and services of a plan. It registers metrics for
// the services, and unregisters those of classes and services that left the plan.
func (m *requestMetrics) updatePlan(plan Plan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	classes := make(map[string]*classMetrics, len(plan.Classes))
	for i := range plan.Classes {
		name := plan.Classes[i].Name
		classes[name] = m.classes[name]
	}
	services := make(map[string]*serviceMetrics, len(plan.Services))
	for i := range plan.Services {
		name := plan.Services[i].Name
		if services[name] = m.services[name]; services[name] == nil {
			services[name] = m.newService("service." + name)
		}
	}
	for name, registered := range m.classes {
		if _, ok := classes[name]; !ok && registered != nil {
			m.dropClass("class." + name)
		}
	}
	for name := range m.services {
		if services[name] == nil {
			m.dropService("service." + name)
		}
	}
	m.classes, m.services = classes, services
}

// newClass registers the metrics of a class.
func (m *requestMetrics) newClass(prefix string) *classMetrics {
	return &classMetrics{
		served:    metrics.GetOrRegisterCounter(prefix+".served", m.registry),
		late:      metrics.GetOrRegisterCounter(prefix+".late", m.registry),
		paused:    metrics.GetOrRegisterCounter(prefix+".paused", m.registry),
		refused:   metrics.GetOrRegisterCounter(prefix+".refused", m.registry),
		failed:    metrics.GetOrRegisterCounter(prefix+".failed", m.registry),
		abandoned: metrics.GetOrRegisterCounter(prefix+".abandoned", m.registry),
		firstByte: metrics.GetOrRegisterHistogram(prefix+".first", m.registry,
			metrics.NewUniformSample(classHistogramSamples)),
		expected: metrics.GetOrRegisterHistogram(prefix+".expected", m.registry,
			metrics.NewUniformSample(classHistogramSamples)),
		gap: metrics.GetOrRegisterHistogram(prefix+".gap", m.registry,
			metrics.NewUniformSample(classHistogramSamples)),
	}
}

// dropClass unregisters the metrics of a class.
func (m *requestMetrics) dropClass(prefix string) {
	for _, name := range []string{"served", "late", "paused", "refused", "failed", "abandoned", "first", "expected", "gap"} {
		m.registry.Unregister(prefix + "." + name)
	}
}

// newService registers the metrics of a service.
func (m *requestMetrics) newService(prefix string) *serviceMetrics {
	s := &serviceMetrics{
		retries: metrics.GetOrRegisterCounter(prefix+".repeats", m.registry),
		denied:  metrics.GetOrRegisterCounter(prefix+".denied", m.registry),
		taken:   metrics.GetOrRegisterCounter(prefix+".taken", m.registry),
		further: metrics.GetOrRegisterCounter(prefix+".further", m.registry),
	}
	for i, name := range resultNames {
		s.attempts[i] = metrics.GetOrRegisterCounter(prefix+"."+name, m.registry)
	}
	return s
}

// dropService unregisters the metrics of a service.
func (m *requestMetrics) dropService(prefix string) {
	for _, name := range []string{"repeats", "denied", "taken", "further"} {
		m.registry.Unregister(prefix + "." + name)
	}
	for _, name := range resultNames {
		m.registry.Unregister(prefix + "." + name)
	}
}

// class returns the metrics of a class, or nil if it is no longer in the plan.
func (m *requestMetrics) class(name string) *classMetrics {
	m.mu.RLock()
	c, ok := m.classes[name]
	m.mu.RUnlock()
	if c != nil || !ok {
		return c
	}
	return m.registerClass(name)
}

// registerClass registers the metrics of a class, unless that has been done or the
// class is no longer in the plan.
func (m *requestMetrics) registerClass(name string) *classMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.classes[name]
	if c == nil && ok {
		c = m.newClass("class." + name)
		m.classes[name] = c
	}
	return c
}

// service returns the metrics of a service, or nil if it is no longer in the
// plan.
func (m *requestMetrics) service(name string) *serviceMetrics {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.services[name]
}

// recordFirstByte records the time to the first byte of a response.
func (m *requestMetrics) recordFirstByte(d time.Duration) {
	m.firstByte.Update(d.Milliseconds())
}

// countClass counts an outcome of the request in its class. A request without a
// class, or whose class left the plan, counts only in the totals.
func (p *proxiedRequest) countClass(counter func(*classMetrics) metrics.Counter) {
	if p.class == nil || p.handedOver != nil {
		return
	}
	if c := p.relay.metrics.class(p.class.Name); c != nil {
		counter(c).Inc(1)
	}
}

// count counts the request, or an outcome of it, unless it came from another router, which
// counts it.
func (p *proxiedRequest) count(counter metrics.Counter) {
	if p.handedOver == nil {
		counter.Inc(1)
	}
}

// countFailed counts a request that failed.
func (p *proxiedRequest) countFailed() {
	p.count(p.relay.metrics.failed)
	p.countClass(func(c *classMetrics) metrics.Counter { return c.failed })
}

// countAttempt counts the result of an attempt.
func (p *proxiedRequest) countAttempt(result attemptResult) {
	if s := p.relay.metrics.service(p.service); s != nil {
		s.attempts[result].Inc(1)
	}
}

// countLimited counts an attempt that is sent to a server which names a limit.
func (p *proxiedRequest) countLimited(target *backendServer) {
	if !p.relay.limits.Limited(target.usage.key) {
		return
	}
	first := len(p.tried) == 1 && p.executions == 0 && p.rejections == 0
	target.usage.limit.recordAttempt(first)
	p.relay.metrics.limited.Inc(1)
}

// countWritten counts an attempt of which a byte may have reached a server.
func (p *proxiedRequest) countWritten() {
	p.written++
	if p.written == 1 {
		return
	}
	if s := p.relay.metrics.service(p.service); s != nil {
		s.further.Inc(1)
	}
}

// countTaken counts retries taken from the budget, or returned if n is negative.
func (p *proxiedRequest) countTaken(n int64) {
	if s := p.relay.metrics.service(p.service); s != nil {
		s.taken.Inc(n)
	}
}

// countRetry counts a retry, or one that the budget denied.
func (p *proxiedRequest) countRetry(allowed bool) {
	s := p.relay.metrics.service(p.service)
	if allowed {
		p.relay.metrics.retries.Inc(1)
	}
	switch {
	case s == nil:
	case allowed:
		s.retries.Inc(1)
	default:
		s.denied.Inc(1)
	}
}

// countServed counts a complete response in its class and records its latency.
func (p *proxiedRequest) countServed() {
	if p.handedOver != nil {
		return
	}
	c := p.relay.metrics.class(p.class.Name)
	if c == nil {
		return
	}
	c.served.Inc(1)
	if p.isLate() {
		c.late.Inc(1)
	}
	if p.isLate() && !p.startedLate() {
		c.paused.Inc(1)
	}
	if p.class.Kind == Stream {
		c.gap.Update(p.longestGap.Milliseconds())
	}
	c.firstByte.Update(p.timeToFirstByte.Milliseconds())
	c.expected.Update(p.choice.ExpectedLatency.Milliseconds())
}
