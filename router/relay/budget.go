package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// take takes a retry from the budget by one of its methods, and reports whether there
// was one.
func (p *proxiedRequest) take(now time.Time, method func(now time.Time, service string) bool) bool {
	if !method(now, p.service) {
		return false
	}
	p.countTaken(1)
	return true
}

// giveBack returns a retry that was taken at a time and not sent, by the budget's method
// for its kind.
func (p *proxiedRequest) giveBack(takenAt time.Time, method func(takenAt time.Time, service string)) {
	method(takenAt, p.service)
	p.countTaken(-1)
}

// addBudgetFields adds what the retry budget counts of the request's service:
//
//   - asked, retried: the requests and the retries of this router in the window that
//     ends now
//   - part: the router's part of the retries that all may send beyond the ratio
//   - written: the attempts of this request of which a byte may have reached a server
func (p *proxiedRequest) addBudgetFields(event *zerolog.Event) *zerolog.Event {
	usage := p.relay.retryBudget.Usage(time.Now(), p.service)
	return event.Int("asked", usage.Requests).Int("retried", usage.Retries).Float64("part", usage.Part).Int("written", p.written)
}
