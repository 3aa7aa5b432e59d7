package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// take takes a retry from the budget and reports whether there was one.
func (p *proxiedRequest) take(now time.Time) bool {
	if !p.relay.retryBudget.Take(now, p.service) {
		return false
	}
	p.countTaken(1)
	return true
}

// takeRejected takes a retry for a request that was rejected and has not run.
func (p *proxiedRequest) takeRejected(now time.Time) bool {
	if !p.relay.retryBudget.TakeRejected(now, p.service) {
		return false
	}
	p.countTaken(1)
	return true
}

// giveBack returns a retry that was taken at a time and not sent.
func (p *proxiedRequest) giveBack(takenAt time.Time) {
	p.relay.retryBudget.Return(takenAt, p.service)
	p.countTaken(-1)
}

// takeSpeculative takes a speculative retry and reports whether there was one.
func (p *proxiedRequest) takeSpeculative(now time.Time) bool {
	if !p.relay.retryBudget.TakeSpeculative(now, p.service) {
		return false
	}
	p.countTaken(1)
	return true
}

// giveBackSpeculative returns a speculative retry that was taken at a time and not sent.
func (p *proxiedRequest) giveBackSpeculative(takenAt time.Time) {
	p.relay.retryBudget.ReturnSpeculative(takenAt, p.service)
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
