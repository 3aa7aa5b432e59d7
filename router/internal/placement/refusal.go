package placement

import "time"

// maxWaitShare is the fraction of its target that a request may wait at a busy
// server. The rest is left for the prefill; with longer waits all requests would
// be late under overload.
const maxWaitShare = 0.7

// shouldRefuse reports whether a request would wait so long at its chosen
// server that the caller should retry later, and sets choice.ExcessWait. The
// request's own prefill does not count, so that long prompts are not refused
// more often, but repeated prefill does, as it takes the place of other
// requests. A server with less than half of its slots taken accepts all
// requests, and every server accepts those of the short group.
func (s *service) shouldRefuse(m *server, req *Request, choice *Choice) bool {
	if s.demand.protected(req) {
		return false
	}
	limit := maxWaitShare * req.Target.Seconds() * req.unavoidableShare(choice.Cached)
	excess := s.wait(m, req, choice.Cached) - limit
	choice.ExcessWait = time.Duration(excess * float64(time.Second))
	return m.load() >= m.Slots/2 && excess > 0
}
