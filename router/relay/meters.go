package relay

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// samples is the number of latencies that a histogram keeps.
	samples = 512

	// classSamples is the same for one class.
	classSamples = 256
)

// meters counts what happens to requests: all together, by class, and by
// service. Classes that left the plan leave the meters, so that their number
// does not grow with time.
type meters struct {
	registry metrics.Registry

	requests  metrics.Counter
	served    metrics.Counter
	refused   metrics.Counter
	failed    metrics.Counter
	abandoned metrics.Counter
	repeats   metrics.Counter
	resumed   metrics.Counter
	stale     metrics.Counter
	first     metrics.Histogram

	// mu guards the fields below.
	mu       sync.RWMutex
	classes  map[string]*classMeters
	services map[string]*serviceMeters
}

// classMeters counts the requests of a class.
type classMeters struct {
	served    metrics.Counter
	late      metrics.Counter
	refused   metrics.Counter
	failed    metrics.Counter
	abandoned metrics.Counter

	// first is the time to the first byte of an answer, expected that which
	// was expected when the server was chosen, in milliseconds.
	first    metrics.Histogram
	expected metrics.Histogram
}

// serviceMeters counts the attempts at a service's servers by their results.
type serviceMeters struct {
	attempts [len(resultNames)]metrics.Counter
	repeats  metrics.Counter
	denied   metrics.Counter
}

// newMeters registers the meters.
func newMeters(registry metrics.Registry) *meters {
	return &meters{
		registry:  registry,
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
		classes:  make(map[string]*classMeters),
		services: make(map[string]*serviceMeters),
	}
}

// follow makes meters for the classes and services of a plan and drops those of
// classes and services that left it.
func (m *meters) follow(plan Plan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	classes := make(map[string]*classMeters, len(plan.Classes))
	for i := range plan.Classes {
		name := plan.Classes[i].Name
		if classes[name] = m.classes[name]; classes[name] == nil {
			classes[name] = m.newClass("class." + name)
		}
	}
	services := make(map[string]*serviceMeters, len(plan.Services))
	for i := range plan.Services {
		name := plan.Services[i].Name
		if services[name] = m.services[name]; services[name] == nil {
			services[name] = m.newService("service." + name)
		}
	}
	for name := range m.classes {
		if classes[name] == nil {
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

// newClass registers the meters of a class.
func (m *meters) newClass(prefix string) *classMeters {
	return &classMeters{
		served:    metrics.GetOrRegisterCounter(prefix+".served", m.registry),
		late:      metrics.GetOrRegisterCounter(prefix+".late", m.registry),
		refused:   metrics.GetOrRegisterCounter(prefix+".refused", m.registry),
		failed:    metrics.GetOrRegisterCounter(prefix+".failed", m.registry),
		abandoned: metrics.GetOrRegisterCounter(prefix+".abandoned", m.registry),
		first: metrics.GetOrRegisterHistogram(prefix+".first", m.registry,
			metrics.NewUniformSample(classSamples)),
		expected: metrics.GetOrRegisterHistogram(prefix+".expected", m.registry,
			metrics.NewUniformSample(classSamples)),
	}
}

// dropClass unregisters the meters of a class.
func (m *meters) dropClass(prefix string) {
	for _, name := range []string{"served", "late", "refused", "failed", "abandoned", "first", "expected"} {
		m.registry.Unregister(prefix + "." + name)
	}
}

// newService registers the meters of a service.
func (m *meters) newService(prefix string) *serviceMeters {
	s := &serviceMeters{
		repeats: metrics.GetOrRegisterCounter(prefix+".repeats", m.registry),
		denied:  metrics.GetOrRegisterCounter(prefix+".denied", m.registry),
	}
	for i, name := range resultNames {
		s.attempts[i] = metrics.GetOrRegisterCounter(prefix+"."+name, m.registry)
	}
	return s
}

// dropService unregisters the meters of a service.
func (m *meters) dropService(prefix string) {
	m.registry.Unregister(prefix + ".repeats")
	m.registry.Unregister(prefix + ".denied")
	for _, name := range resultNames {
		m.registry.Unregister(prefix + "." + name)
	}
}

// class returns the meters of a class, or nil if the plan has it no more.
func (m *meters) class(name string) *classMeters {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.classes[name]
}

// service returns the meters of a service, or nil if the plan has it no more.
func (m *meters) service(name string) *serviceMeters {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.services[name]
}

// answered counts the time to the first byte of an answer.
func (m *meters) answered(d time.Duration) {
	m.first.Update(d.Milliseconds())
}

// countClass counts an outcome of the request in its class. A request without a
// class, or whose class left the plan, counts only in the totals.
func (x *exchange) countClass(counter func(*classMeters) metrics.Counter) {
	if x.class == nil {
		return
	}
	if c := x.relay.meters.class(x.class.Name); c != nil {
		counter(c).Inc(1)
	}
}

// countFailed counts a request that failed.
func (x *exchange) countFailed() {
	x.relay.meters.failed.Inc(1)
	x.countClass(func(c *classMeters) metrics.Counter { return c.failed })
}

// countAttempt counts how an attempt ended.
func (x *exchange) countAttempt(outcome result) {
	if s := x.relay.meters.service(x.service); s != nil {
		s.attempts[outcome].Inc(1)
	}
}

// countRepeat counts a repeat, or one that the budget did not allow.
func (x *exchange) countRepeat(allowed bool) {
	s := x.relay.meters.service(x.service)
	switch {
	case s == nil:
	case allowed:
		s.repeats.Inc(1)
	default:
		s.denied.Inc(1)
	}
}

// countServed counts a whole answer with its times.
func (x *exchange) countServed(late bool) {
	c := x.relay.meters.class(x.class.Name)
	if c == nil {
		return
	}
	c.served.Inc(1)
	if late {
		c.late.Inc(1)
	}
	c.first.Update(x.firstAfter.Milliseconds())
	c.expected.Update(x.choice.ExpectedLatency.Milliseconds())
}
