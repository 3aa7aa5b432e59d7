package schedule

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/share"
)

const (
	// tokenLatencyHalfLife is the half-life of the difference of a measured token
	// latency from the usual one, so that a slow server is tried again.
	tokenLatencyHalfLife = 15 * time.Second

	// reportHalfLife is the time in which a load report loses half its weight.
	reportHalfLife = 2 * time.Second

	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.2

	// initialThrottle is the throttle of an engine whose token latency with all
	// slots in use is not known yet.
	initialThrottle = 0.9

	// minBlock and maxBlock bound the time for which a server is blocked after
	// a failure.
	minBlock = time.Second
	maxBlock = 30 * time.Second
)

// server is the router's state of a backend server.
type server struct {
	*backend.Server
	pool share.PoolName

	// rank orders the servers of a pool, and roundingOffset rounds the slot
	// ranges of routers on this server. They come from independent bits of a
	// hash, so that neighboring servers are rounded differently.
	rank           uint32
	roundingOffset float64
	sets           []*serverSet

	// openPositions holds the server's index in the open list of each of its
	// sets, or -1.
	openPositions []int

	// running counts this router's requests on the server, and borrowed those
	// among them from other partners. ownSlots is the number of the server's
	// slots that belong to this router.
	running  int
	borrowed int
	ownSlots int

	// byTier counts, by tier, this router's requests that are not borrowed.
	byTier [class.Tiers]int

	// latencyCritical counts this router's requests for which a reserve is kept
	// at full weight.
	latencyCritical int

	// prefillTokens is the number of prompt tokens of this router's requests
	// that have no first token yet.
	prefillTokens float64

	// report is the last load report; runningAtReport is the number of this
	// router's requests that were running when it came.
	report          Load
	runningAtReport int

	// tokenLatency is the measured time between two tokens of a response, last
	// updated at tokenLatencyAt, and startDelay the time from dispatch to the
	// first token less the prefill time of the prompt, both in seconds.
	tokenLatency   float64
	tokenLatencyAt time.Time
	startDelay     float64

	// slowRetries counts how often in a row the server was slow when it was
	// tried again.
	slowRetries int

	// throttle is the fraction of the slots that may be used, chosen so that
	// the token latency meets the tightest target.
	throttle float64

	// failures counts failures in a row; the server may not be used until
	// blockedUntil.
	failures     int
	blockedUntil time.Time
}

// newServer returns a server without running requests.
func newServer(s *backend.Server) *server {
	const scale = 1 << 32
	h := xxhash.Sum64String(s.Name)
	throttle := 1.0
	if s.Kind == backend.KindEngine {
		throttle = initialThrottle
	}
	return &server{
		Server:         s,
		rank:           uint32(h >> 32),
		roundingOffset: float64(uint32(h)) / scale,
		throttle:       throttle,
	}
}

// slots returns the number of concurrent requests that the server is meant to
// run.
func (s *server) slots() int {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return s.Slots
}

// usable reports whether the server may receive new requests.
func (s *server) usable(now time.Time) bool {
	return s.State != backend.StateDraining && !now.Before(s.blockedUntil)
}

// outstanding estimates the requests of all routers on the server: the reported
// number, corrected by the router's own changes since and weighted by the age
// of the report.
func (s *server) outstanding(now time.Time) float64 {
	own := float64(s.running)
	if s.report.At.IsZero() {
		return own
	}
	reported := float64(s.report.Running + s.report.Waiting)
	fresh := max(own, reported+own-float64(s.runningAtReport))
	weight := math.Exp2(-float64(now.Sub(s.report.At)) / float64(reportHalfLife))
	return weight*fresh + (1-weight)*max(own, min(fresh, float64(s.slots())))
}

// reportedFull reports whether a recent load report shows that the server has
// no free slot, regardless of the division of slots.
func (s *server) reportedFull(now time.Time) bool {
	const maxReportAge = 2500 * time.Millisecond
	if s.report.At.IsZero() || now.Sub(s.report.At) > maxReportAge {
		return false
	}
	return s.outstanding(now) >= float64(s.slots())
}

// decayedTokenLatency estimates the server's token latency in seconds: the
// measured one, which decays toward usual, that of its set.
func (s *server) decayedTokenLatency(now time.Time, usual float64) float64 {
	if s.tokenLatencyAt.IsZero() {
		return usual
	}
	halfLife := tokenLatencyHalfLife << s.slowRetries
	weight := math.Exp2(-float64(now.Sub(s.tokenLatencyAt)) / float64(halfLife))
	return usual + (s.tokenLatency-usual)*weight
}

// addRunning adds n requests like the ticket's, possibly negative, to the
// server and to all of its sets, which share its slots. The sets may differ
// from those at the time of the grant.
func (s *server) addRunning(t *Ticket, n int) {
	s.running += n
	for _, set := range s.sets {
		set.running += n
	}
	if t.latencyCritical {
		s.latencyCritical += n
	}
	if !t.borrowed {
		s.byTier[t.tier] += n
		return
	}
	s.borrowed += n
	for _, member := range s.sets {
		member.borrowed += n
	}
}

// recordTokenLatency adds a sample of the server's token latency in seconds.
// usual is that of its set. A server that is slow each time it is tried again is
// tried less and less often.
func (s *server) recordTokenLatency(now time.Time, latency, usual float64) {
	const (
		slowFactor      = 1.5
		maxSlowRetries  = 4
		retryGap        = 5 * time.Second
		recoveredFactor = 1.2
	)
	switch {
	case latency < recoveredFactor*usual:
		s.slowRetries = 0
	case latency > slowFactor*usual && !s.tokenLatencyAt.IsZero() && now.Sub(s.tokenLatencyAt) > retryGap:
		s.slowRetries = min(s.slowRetries+1, maxSlowRetries)
		s.tokenLatency = max(s.tokenLatency, latency)
	}
	if s.tokenLatencyAt.IsZero() {
		s.tokenLatency = latency
	} else {
		s.tokenLatency += smoothing * (latency - s.tokenLatency)
	}
	s.tokenLatencyAt = now
}

// recordFailure blocks the server for a time that doubles with each failure in
// a row.
func (s *server) recordFailure(now time.Time) {
	if now.Before(s.blockedUntil) {
		return
	}
	block := min(minBlock<<min(s.failures, 8), maxBlock)
	s.failures++
	s.blockedUntil = now.Add(block)
}

// adjustThrottle adapts the throttle of a server: down while its token latency
// misses the tightest target of its sets, otherwise up.
func (s *server) adjustThrottle(now time.Time) {
	const (
		margin      = 0.97
		down        = 0.95
		up          = 0.02
		minThrottle = 0.5
	)
	tightest := 0.0
	for _, set := range s.sets {
		if set.tightestTarget > 0 && (tightest == 0 || set.tightestTarget < tightest) {
			tightest = set.tightestTarget
		}
	}
	if tightest > 0 && !s.tokenLatencyAt.IsZero() && s.tokenLatency > margin*tightest {
		s.throttle = max(s.throttle*down, minThrottle)
		return
	}
	if s.throttle < initialThrottle || s.saturated(now) {
		s.throttle = min(s.throttle+up, 1)
	}
}

// saturated reports whether all slots that the throttle allows are in use, so
// that the measured token latency shows whether more can be allowed.
func (s *server) saturated(now time.Time) bool {
	if s.Kind != backend.KindEngine {
		return true
	}
	return s.outstanding(now) >= math.Floor(float64(s.slots())*s.throttle)
}

// setOpen adds the server to the open lists of its sets or removes it from
// them.
func (s *server) setOpen(open bool) {
	for i, set := range s.sets {
		position := s.openPositions[i]
		switch {
		case open && position < 0:
			s.openPositions[i] = len(set.open)
			set.open = append(set.open, s)
		case !open && position >= 0:
			set.removeOpen(position)
			s.openPositions[i] = -1
		}
	}
}
