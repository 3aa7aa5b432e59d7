package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"snipetally.example/router/internal/class"
)

// Names of metrics. Each is followed by a dot and the name of a class.
const (
	// MetricCompleted counts requests whose response was sent in full.
	MetricCompleted = "request.whole"

	// MetricTargetsMet counts requests whose response was sent in full and
	// within the latency targets of their class.
	MetricTargetsMet = "request.met"

	// MetricQueueTime is the time that requests wait for a backend server.
	MetricQueueTime = "request.waited"

	// MetricFirstToken is the time from the arrival of a request to the first
	// token of its response.
	MetricFirstToken = "request.first"

	// MetricBetweenTokens is the mean time between two tokens of a response.
	MetricBetweenTokens = "request.between"

	// MetricOutputTokens counts the tokens of completed responses.
	MetricOutputTokens = "token.given"

	// MetricWastedTokens counts the tokens of attempts that did not complete.
	MetricWastedTokens = "token.wasted"

	// MetricRefused counts refusals. The name is followed by the class and then
	// by the code.
	MetricRefused = "request.refused"
)

// requestMetrics records how requests ended.
type requestMetrics struct {
	registry metrics.Registry
}

// timing holds the times and the number of the tokens of a response.
type timing struct {
	arrived    time.Time
	firstToken time.Time
	lastToken  time.Time
	tokens     int
}

// finish marks the end of a response. For a response without token events, it
// also counts as the time of the first token.
func (t *timing) finish() {
	if t.firstToken.IsZero() {
		t.firstToken = time.Now()
	}
}

// tokenInterval returns the mean time between two tokens, or zero if there are
// fewer than two.
func (t *timing) tokenInterval() time.Duration {
	if t.tokens < 2 || t.lastToken.IsZero() {
		return 0
	}
	return t.lastToken.Sub(t.firstToken) / time.Duration(t.tokens-1)
}

// metTargets reports whether the response met the latency targets of the class.
func (t *timing) metTargets(c *class.Class) bool {
	if t.firstToken.Sub(t.arrived) > c.FirstTokenTarget {
		return false
	}
	return c.BetweenTokensTarget == 0 || t.tokenInterval() <= c.BetweenTokensTarget
}

// completed records a response that was sent in full.
func (m *requestMetrics) completed(c *class.Class, t *timing) {
	m.count(MetricCompleted+"."+c.Name, 1)
	m.count(MetricOutputTokens+"."+c.Name, t.tokens)
	m.timer(MetricFirstToken + "." + c.Name).Update(t.firstToken.Sub(t.arrived))
	if t.tokenInterval() > 0 {
		m.timer(MetricBetweenTokens + "." + c.Name).Update(t.tokenInterval())
	}
	if t.metTargets(c) {
		m.count(MetricTargetsMet+"."+c.Name, 1)
	}
}

// queued records the time that a request waited for a backend server.
func (m *requestMetrics) queued(c *class.Class, d time.Duration) {
	m.timer(MetricQueueTime + "." + c.Name).Update(d)
}

// refused records a refusal or an interrupted response.
func (m *requestMetrics) refused(class string, code Code) {
	m.count(MetricRefused+"."+class+"."+string(code), 1)
}

// wasted records the tokens of an attempt that did not complete.
func (m *requestMetrics) wasted(c *class.Class, tokens int) {
	if tokens > 0 {
		m.count(MetricWastedTokens+"."+c.Name, tokens)
	}
}

func (m *requestMetrics) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

func (m *requestMetrics) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, m.registry)
}
