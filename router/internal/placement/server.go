package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// forgetting is the time in which what was learned of a server's failures
	// and pace loses two thirds, so that a server is tried again.
	forgetting = 4 * time.Second

	// learning is the weight of a single observation.
	learning = 0.15

	// harmless is the share of failed requests, and usualPace the ratio of
	// measured to expected time, that say nothing of a server yet.
	harmless  = 0.15
	usualPace = 2

	// suspension is how long a server that can't be reached gets no work.
	suspension = time.Second
)

// Server is a backend server that takes work.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int

	// Engine marks a model engine.
	Engine bool

	// CacheTokens is the number of tokens that an engine's KV cache holds, or zero
	// if that is not known.
	CacheTokens int64

	// WarmupLeft is how much longer the server is slow after its start.
	WarmupLeft time.Duration
}

// server is what a board believes of a backend server.
type server struct {
	Server
	hash uint64

	// reading is the prompts of own requests that wait for their first event,
	// running the number of own requests in progress.
	reading Backlog
	running int

	// held is the number of tokens that own requests need of the engine's
	// memory when they end.
	held int

	// peers is the same of other routers, as they told last.
	peers others

	// failing is the smoothed share of failed requests, pace the smoothed
	// ratio of the measured to the expected time of an answer. Both fade.
	failing float64
	pace    float64
	faded   time.Time

	// waiting is since when no request was answered though some wait.
	waiting time.Time

	// suspended is until when the server gets no work, coldUntil until when
	// it is slow after its start.
	suspended time.Time
	coldUntil time.Time
}

// newServer returns what is believed of a server at first.
func newServer(s Server, now time.Time) *server {
	return &server{Server: s, hash: xxhash.Sum64String(s.ID), pace: 1, faded: now, coldUntil: now.Add(s.WarmupLeft)}
}

// fade lets what was learned lose its weight.
func (s *server) fade(now time.Time) {
	if d := now.Sub(s.faded); d > 0 {
		keep := math.Exp(-float64(d) / float64(forgetting))
		s.failing *= keep
		s.pace = 1 + (s.pace-1)*keep
		s.faded = now
	}
}

// observe learns from the time of an answer.
func (s *server) observe(now time.Time, measured, expected time.Duration) {
	s.fade(now)
	ratio := float64(measured) / float64(max(expected, time.Millisecond))
	s.pace += learning * (min(ratio, maxPace) - s.pace)
	s.pace = max(s.pace, minPace)
}

// minPace and maxPace bound the learned pace, so that neither a lucky nor a
// hanging answer speaks for the server for long.
const (
	minPace = 0.5
	maxPace = 20
)

// failed learns from the end of a request.
func (s *server) failed(now time.Time, failed bool) {
	s.fade(now)
	value := 0.0
	if failed {
		value = 1
	}
	s.failing += learning * (value - s.failing)
}

// slowness returns the factor by which the server is slower than others, 1 if
// it is as fast.
func (s *server) slowness() float64 { return max(s.pace/usualPace, 1) }

// unreliable returns the share of requests that fail beyond what is harmless.
func (s *server) unreliable() float64 {
	return max(s.failing-harmless, s.peers.meanFailing()-harmless, 0)
}

// backlog returns the prompt tokens that wait at the server.
func (s *server) backlog() int { return s.reading.total() + s.peers.reading.total() }

// before returns the prompt tokens that the server reads before those of a new
// request of a rank.
func (s *server) before(rank int) int { return s.reading.upTo(rank) + s.peers.reading.upTo(rank) }

// load returns the requests in progress at the server.
func (s *server) load() int { return s.running + s.peers.running }

// ahead returns the number of requests that wait for a slot before a new one of
// a rank. Prompts that wait to be read tell how many of those that wait are of a
// better rank.
func (s *server) ahead(rank int) float64 {
	over := float64(s.load() + 1 - max(s.Slots, 1))
	if over <= 0 {
		return 0
	}
	backlog := s.backlog()
	if backlog == 0 {
		return over
	}
	return min(over, 1+over*float64(s.before(rank))/float64(backlog))
}

// crowding returns by which part the requests in progress, and one that needs
// more tokens, exceed the engine's memory.
func (s *server) crowding(need int) float64 {
	if s.CacheTokens == 0 {
		return 0
	}
	return max(float64(s.held+s.peers.held+need)/float64(s.CacheTokens)-1, 0)
}

// hanging returns for how long the server has answered none of the requests
// that wait there.
func (s *server) hanging(now time.Time) time.Duration {
	if s.waiting.IsZero() {
		return 0
	}
	return now.Sub(s.waiting)
}
