package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"snipetally.example/router/internal/class"
)

// Names of metrics. Each is followed by a dot and the name of a class.
const (
	// MetricCompleted counts requests that were answered whole.
	MetricCompleted = "request.whole"

	// MetricTargetsMet counts requests that were answered whole and within the targets
	// of their class.
	MetricTargetsMet = "request.met"

	// MetricQueueTime is the time that requests wait for a backend server.
	MetricQueueTime = "request.waited"

	// MetricFirstToken is the time to the first part of an answer.
	MetricFirstToken = "request.first"

	// MetricBetweenTokens is the mean time between two tokens of an answer.
	MetricBetweenTokens = "request.between"

	// MetricOutputTokens counts the tokens that callers got.
	MetricOutputTokens = "token.given"

	// MetricWastedTokens counts the tokens of answers that were not whole.
	MetricWastedTokens = "token.wasted"

	// MetricRefused counts refusals. It is followed by the code, too.
	MetricRefused = "request.refused"
)

// meter notes how requests ended.
type meter struct {
	registry metrics.Registry
}

// timing tells when the parts of an answer were given.
type timing struct {
	arrived time.Time
	first   time.Time
	last    time.Time
	tokens  int
}

// end notes the end of an answer. An answer without tokens begins here, too.
func (t *timing) end() {
	if t.first.IsZero() {
		t.first = time.Now()
	}
}

// between returns the mean time between two tokens, or zero.
func (t *timing) between() time.Duration {
	if t.tokens < 2 || t.last.IsZero() {
		return 0
	}
	return t.last.Sub(t.first) / time.Duration(t.tokens-1)
}

// met reports whether the answer kept the targets of the class.
func (t *timing) met(c *class.Class) bool {
	if t.first.Sub(t.arrived) > c.FirstTokenTarget {
		return false
	}
	return c.BetweenTokensTarget == 0 || t.between() <= c.BetweenTokensTarget
}

// whole notes an answer that was given whole.
func (m *meter) whole(c *class.Class, t *timing) {
	m.count(MetricCompleted+"."+c.Name, 1)
	m.count(MetricOutputTokens+"."+c.Name, t.tokens)
	m.timer(MetricFirstToken + "." + c.Name).Update(t.first.Sub(t.arrived))
	if t.between() > 0 {
		m.timer(MetricBetweenTokens + "." + c.Name).Update(t.between())
	}
	if t.met(c) {
		m.count(MetricTargetsMet+"."+c.Name, 1)
	}
}

// waited notes the time that a request waited for a backend server.
func (m *meter) waited(c *class.Class, d time.Duration) {
	m.timer(MetricQueueTime + "." + c.Name).Update(d)
}

// refused notes a refusal or an answer that was cut.
func (m *meter) refused(class string, code Code) {
	m.count(MetricRefused+"."+class+"."+string(code), 1)
}

// wasted notes tokens of an attempt that gave no whole answer.
func (m *meter) wasted(c *class.Class, tokens int) {
	if tokens > 0 {
		m.count(MetricWastedTokens+"."+c.Name, tokens)
	}
}

func (m *meter) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

func (m *meter) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, m.registry)
}
