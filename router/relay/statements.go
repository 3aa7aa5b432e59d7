package relay

import (
	"net/http"

	"snipetally.example/router/internal/hop"
)

// observeStatements records what a response says of its server. The response of another server
// at the same address says nothing about this one.
func (p *proxiedRequest) observeStatements(target *backendServer, response *hop.Response) {
	info := p.relay.options.codec.ParseResponse(response.Status, response.Header)
	if response.Status == http.StatusMisdirectedRequest || info.AttemptID != p.info.AttemptID {
		return
	}
	p.relay.limits.Observe(target.usage.key, info.Limit.Named, info.Limit.PerSecond, p.sentAt)
	p.relay.logNamedLimit(target, info.Limit)
	if info.Leaving && target.usage.leavingSaid.CompareAndSwap(false, true) {
		p.relay.logLeaving(target).Str("request", p.info.AttemptID).Msg("backend server says in a response that it leaves")
	}
}
