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
	// paceHalfLife is the time in which a measured pace that differs from the
	// others fades, so that a straggler is tried again.
	paceHalfLife = 15 * time.Second

	// reportHalfLife is the time in which a load report loses half its weight.
	reportHalfLife = 2 * time.Second

	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.2

	// firstThrottle is the throttle of an engine whose pace with all slots in
	// use is not known yet.
	firstThrottle = 0.9

	firstBlock = time.Second
	lastBlock  = 30 * time.Second
)

// server is what a router knows of a backend server.
type server struct {
	*backend.Server
	pool share.PoolName

	// rank orders the servers of a pool, and offset rounds the ranges of
	// routers on this server. They are independent of each other, so that
	// neighbors are rounded differently.
	rank   uint32
	offset float64
	sets   []*set

	// positions holds the server's place in the open list of each of its
	// sets, or -1.
	positions []int

	// running counts the own requests on the server, and own the slots of it
	// that belong to this router.
	running  int
	borrowed int
	own      int

	// levels counts the own requests that are not borrowed by tier.
	levels [class.Tiers]int

	// pressing counts the own requests that a reserve is kept for.
	pressing int

	// prefill is the number of prompt tokens of own requests that have no
	// first token yet.
	prefill float64

	// report is the last load report; atReport counts the own requests that
	// were running when it came.
	report   Load
	atReport int

	// pace is the measured time for a token, and start the time from dispatch
	// to first token beyond the prompt's own, both in seconds.
	pace   float64
	paceAt time.Time
	start  float64

	// relapses counts how often in a row the server was found slow again.
	relapses int

	// throttle is the fraction of the slots that is used, so that the pace
	// meets the tightest target.
	throttle float64

	// blocked is when a server that failed may be tried again.
	failures int
	blocked  time.Time
}

// newServer returns a server without requests.
func newServer(s *backend.Server) *server {
	const fraction = 1 << 32
	h := xxhash.Sum64String(s.Name)
	throttle := 1.0
	if s.Kind == backend.Engine {
		throttle = firstThrottle
	}
	return &server{
		Server:   s,
		rank:     uint32(h >> 32),
		offset:   float64(uint32(h)) / fraction,
		throttle: throttle,
	}
}

// slots returns the number of requests that the server runs well at once.
func (s *server) slots() int {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return s.Slots
}

// usable reports whether the server may receive new work.
func (s *server) usable(now time.Time) bool {
	return s.State != backend.Leaving && !now.Before(s.blocked)
}

// outstanding estimates the requests of all routers on the server: the reported
// number with the own changes since, weighed by the report's age.
func (s *server) outstanding(now time.Time) float64 {
	own := float64(s.running)
	if s.report.At.IsZero() {
		return own
	}
	reported := float64(s.report.Running + s.report.Waiting)
	fresh := max(own, reported+own-float64(s.atReport))
	trust := math.Exp2(-float64(now.Sub(s.report.At)) / float64(reportHalfLife))
	return trust*fresh + (1-trust)*max(own, min(fresh, float64(s.slots())))
}

// full reports whether a recent load report tells that the server has no slot
// left, whatever the division says.
func (s *server) full(now time.Time) bool {
	const recent = 2500 * time.Millisecond
	if s.report.At.IsZero() || now.Sub(s.report.At) > recent {
		return false
	}
	return s.outstanding(now) >= float64(s.slots())
}

// paceOf estimates the server's time for a token in seconds, given the usual
// one of its kind.
func (s *server) paceOf(now time.Time, usual float64) float64 {
	if s.paceAt.IsZero() {
		return usual
	}
	halfLife := paceHalfLife << s.relapses
	keep := math.Exp2(-float64(now.Sub(s.paceAt)) / float64(halfLife))
	return usual + (s.pace-usual)*keep
}

// count adds n requests like the ticket's to the server and to all of its sets,
// which share its slots. The sets may be others than when the ticket was granted.
func (s *server) count(t *Ticket, n int) {
	s.running += n
	for _, member := range s.sets {
		member.running += n
	}
	if t.pressing {
		s.pressing += n
	}
	if !t.borrowed {
		s.levels[t.level] += n
		return
	}
	s.borrowed += n
	for _, member := range s.sets {
		member.borrowed += n
	}
}

// measure takes in a sample of the server's pace in seconds, given the usual
// one of its kind. A server that is slow each time that it is tried again is
// tried less and less often.
func (s *server) measure(now time.Time, pace, usual float64) {
	const (
		slow     = 1.5
		most     = 4
		anew     = 5 * time.Second
		recovers = 1.2
	)
	switch {
	case pace < recovers*usual:
		s.relapses = 0
	case pace > slow*usual && !s.paceAt.IsZero() && now.Sub(s.paceAt) > anew:
		s.relapses = min(s.relapses+1, most)
		s.pace = max(s.pace, pace)
	}
	if s.paceAt.IsZero() {
		s.pace = pace
	} else {
		s.pace += smoothing * (pace - s.pace)
	}
	s.paceAt = now
}

// failed blocks the server for a time that doubles with each failure in a row.
func (s *server) failed(now time.Time) {
	if now.Before(s.blocked) {
		return
	}
	block := min(firstBlock<<min(s.failures, 8), lastBlock)
	s.failures++
	s.blocked = now.Add(block)
}

// set holds the servers of one owner that run one model or service.
type set struct {
	target  string
	service bool
	owner   string
	servers []*server

	// open holds the servers on which this router has a free slot.
	open []*server

	// own is the number of slots that belong to this router, running counts
	// its requests, and borrowed those of other partners among them.
	own      int
	running  int
	borrowed int

	// excess counts the requests beyond the own slots on servers that receive
	// no new work.
	excess int

	// demand is the fraction of the slots that the owner's requests want at
	// all routers.
	demand float64

	// urgent is the moving average of the slots that tiers above the reserve
	// tier use here.
	urgent float64

	// tightest is the shortest target for the time between tokens among the
	// classes that ran here lately, in seconds, and tightestAt when it ran.
	tightest   float64
	tightestAt time.Time

	// pace is the usual time for a token, and start and deviation the usual
	// time to the first token beyond the prompt's own, in seconds.
	pace      float64
	start     float64
	deviation float64
}

// newSet returns a set without servers.
func newSet(target, owner string, service bool) *set {
	s := &set{target: target, owner: owner, service: service, pace: nominalPace.Seconds()}
	s.start = 0.02
	s.deviation = 0.02
	return s
}

// add takes in a server.
func (s *set) add(added *server) {
	s.servers = append(s.servers, added)
	added.sets = append(added.sets, s)
	added.positions = append(added.positions, -1)
}

// free returns the number of own slots without a request.
func (s *set) free() int {
	return s.own - s.running + s.excess
}

// ran books that a class ran here.
func (s *set) ran(now time.Time, between time.Duration) {
	const memory = 10 * time.Second
	if between <= 0 {
		return
	}
	if s.tightest == 0 || between.Seconds() <= s.tightest || now.Sub(s.tightestAt) > memory {
		s.tightest = between.Seconds()
		s.tightestAt = now
	}
}

// adjust moves the throttle of a server: down while its pace misses the
// tightest target of its sets, else up.
func (s *server) adjust(now time.Time) {
	const (
		margin = 0.97
		down   = 0.95
		up     = 0.02
		least  = 0.5
	)
	tightest := 0.0
	for _, member := range s.sets {
		if member.tightest > 0 && (tightest == 0 || member.tightest < tightest) {
			tightest = member.tightest
		}
	}
	if tightest > 0 && !s.paceAt.IsZero() && s.pace > margin*tightest {
		s.throttle = max(s.throttle*down, least)
		return
	}
	if s.throttle < firstThrottle || s.filled(now) {
		s.throttle = min(s.throttle+up, 1)
	}
}

// filled reports whether the slots that the throttle leaves are in use, so that
// the pace tells whether there may be more.
func (s *server) filled(now time.Time) bool {
	if s.Kind != backend.Engine {
		return true
	}
	return s.outstanding(now) >= math.Floor(float64(s.slots())*s.throttle)
}

// rate estimates the service in tokens a second of the own slots.
func (s *set) rate(expected float64) float64 {
	own := float64(max(s.own, 1))
	if s.service {
		return own * expected / serviceTime.Seconds()
	}
	return own / s.pace
}

// show puts the server on the open lists of its sets or takes it off.
func (s *server) show(open bool) {
	for i, member := range s.sets {
		at := s.positions[i]
		switch {
		case open && at < 0:
			s.positions[i] = len(member.open)
			member.open = append(member.open, s)
		case !open && at >= 0:
			member.close(at)
			s.positions[i] = -1
		}
	}
}

// close takes the server at a position off the open list.
func (s *set) close(at int) {
	last := len(s.open) - 1
	moved := s.open[last]
	s.open[at] = moved
	s.open[last] = nil
	s.open = s.open[:last]
	for i, member := range moved.sets {
		if member == s {
			moved.positions[i] = at
		}
	}
}
