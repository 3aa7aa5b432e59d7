package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// decayTime is the time in which what was learned of a server's failures
	// and latency loses two thirds of its weight, so that a server is tried
	// again.
	decayTime = 4 * time.Second

	// learningRate is the weight of a single observation.
	learningRate = 0.15

	// harmlessFailureRate is the largest share of failed requests that does not
	// count against a server. normalLatencyRatio is the largest ratio of
	// measured to expected time that does not count against an engine.
	harmlessFailureRate = 0.15
	normalLatencyRatio  = 1.5

	// suspensionTime is how long an unreachable server gets no requests.
	suspensionTime = time.Second
)

// Server is a backend server that takes requests.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int

	// Engine marks an inference engine. Other servers are called plain.
	Engine bool

	// CacheTokens is the number of tokens that an engine's KV cache holds, or
	// zero if that is not known.
	CacheTokens int64

	// TokensPerEvent is the number of tokens in an event of an engine's stream,
	// or zero if that is not known.
	TokensPerEvent int

	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration
}

// server holds a balancer's estimates of a backend server.
type server struct {
	Server
	hash uint64

	// queued counts the prompt tokens of this router's requests that wait for
	// their first event; running is the number of its requests in progress.
	queued  Backlog
	running int

	// streams counts this router's streams in progress by the pause that they
	// tolerate.
	streams streamCounts

	// reservedTokens is the number of tokens that this router's requests need
	// of the engine's memory when they end.
	reservedTokens int

	// reported is the load of the other routers by their last reports, and asked
	// the load that the directory gave at askedAt. peers is the newer of the two
	// at the last call of updatePeers.
	reported peerLoad
	asked    peerLoad
	askedAt  time.Time
	peers    peerLoad

	// failureRate is the smoothed share of failed requests; latencyRatio is the
	// smoothed ratio of the measured to the expected time to an answer or its
	// first event. Both decay; decayedAt is when they last did.
	failureRate  float64
	latencyRatio float64
	decayedAt    time.Time

	// unansweredSince is since when requests have been waiting without any of
	// them being answered, or the zero time.
	unansweredSince time.Time

	// suspendedUntil is until when the server gets no requests; warmingUntil is
	// until when it is slow after its start.
	suspendedUntil time.Time
	warmingUntil   time.Time

	// withheldUntil is until when requests of withheldLevel and later ones are kept from
	// the server.
	withheldUntil time.Time
	withheldLevel float64

	// restingUntil is until when the server wants no requests of this router at all.
	restingUntil time.Time
}

// newServer returns the initial estimates of a server.
func newServer(s Server, now time.Time) *server {
	return &server{Server: s, hash: xxhash.Sum64String(s.ID), latencyRatio: 1, decayedAt: now, warmingUntil: now.Add(s.WarmupRemaining)}
}

// askedTTL is how long a load that the directory gave is used.
const askedTTL = 150 * time.Millisecond

// updatePeers sets the load of the other routers.
func (s *server) updatePeers(now time.Time) {
	s.peers = s.reported
	if now.Sub(s.askedAt) < askedTTL {
		s.peers = s.asked
		s.peers.failureRate, s.peers.reports = s.reported.failureRate, s.reported.reports
	}
}

// decay moves the learned values towards those of a healthy server.
func (s *server) decay(now time.Time) {
	if d := now.Sub(s.decayedAt); d > 0 {
		factor := math.Exp(-float64(d) / float64(decayTime))
		s.failureRate *= factor
		s.latencyRatio = 1 + (s.latencyRatio-1)*factor
		s.decayedAt = now
	}
}

// observeLatency updates latencyRatio with the measured time of a request.
func (s *server) observeLatency(now time.Time, measured, expected time.Duration) {
	s.decay(now)
	ratio := float64(measured) / float64(max(expected, time.Millisecond))
	s.latencyRatio += learningRate * (min(ratio, maxLatencyRatio) - s.latencyRatio)
	s.latencyRatio = max(s.latencyRatio, minLatencyRatio)
}

// minLatencyRatio and maxLatencyRatio bound the learned ratio, so that neither
// a very fast nor a hanging answer dominates it for long.
const (
	minLatencyRatio = 0.5
	maxLatencyRatio = 20
)

// observeOutcome updates failureRate with the outcome of a request.
func (s *server) observeOutcome(now time.Time, failed bool) {
	s.decay(now)
	value := 0.0
	if failed {
		value = 1
	}
	s.failureRate += learningRate * (value - s.failureRate)
}

// slowdown returns the factor by which the server is slower than normal, 1 if
// it is not.
func (s *server) slowdown() float64 {
	if s.latencyRatio <= normalLatencyRatio {
		return 1
	}
	return s.latencyRatio
}

// excessFailureRate returns the share of failed requests beyond
// harmlessFailureRate, at this router or on average at the others, whichever is
// larger.
func (s *server) excessFailureRate() float64 {
	return max(s.failureRate-harmlessFailureRate, s.peers.meanFailureRate()-harmlessFailureRate, 0)
}

// queuedTokens returns the prompt tokens that wait at the server.
func (s *server) queuedTokens() int { return s.queued.total() + s.peers.queued.total() }

// queuedTokensBefore returns the prompt tokens that the server processes before
// those of a new request of a priority.
func (s *server) queuedTokensBefore(priority int) int {
	return s.queued.upTo(priority) + s.peers.queued.upTo(priority)
}

// load returns the number of requests in progress at the server.
func (s *server) load() int { return s.running + s.peers.running }

// requestsAhead returns the number of requests that wait for a slot before a
// new one of a priority. The share of the waiting requests that goes first is
// estimated from the queued prompt tokens.
func (s *server) requestsAhead(priority int) float64 {
	over := float64(s.load() + 1 - max(s.Slots, 1))
	if over <= 0 {
		return 0
	}
	backlog := s.queuedTokens()
	if backlog == 0 {
		return over
	}
	return min(over, 1+over*float64(s.queuedTokensBefore(priority))/float64(backlog))
}

// fits reports whether the server's memory is large enough for the prompt of a request, if it had no other. One
// that is not rejects the request as if it were full.
func (s *server) fits(req *Request) bool {
	return !s.Engine || s.CacheTokens <= 0 || int64(req.PromptTokens) <= s.CacheTokens
}

// boundTokens returns the tokens that a request takes of the server's memory, which are no more than it has whatever the
// caller claims.
func (s *server) boundTokens(tokens int) int {
	if s.CacheTokens <= 0 {
		return tokens
	}
	return int(min(int64(tokens), s.CacheTokens))
}

// memoryExcess returns by what fraction the requests in progress, and one that
// needs more tokens, exceed the engine's memory. It is zero if the size of the
// memory is not known.
func (s *server) memoryExcess(need int) float64 {
	if s.CacheTokens == 0 {
		return 0
	}
	return max(float64(s.reservedTokens+s.peers.reservedTokens+need)/float64(s.CacheTokens)-1, 0)
}

// unansweredFor returns for how long the server has answered none of the
// requests that wait there.
func (s *server) unansweredFor(now time.Time) time.Duration {
	if s.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(s.unansweredSince)
}
