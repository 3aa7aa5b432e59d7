package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// firstSpeed is the number of prompt tokens that an engine reads in a
	// second until its speed is learned.
	firstSpeed = 60000

	// speedSample is the least number of tokens whose reading tells a speed.
	speedSample = 1000

	// speedRise and speedFall are the weights of a sample above and below the
	// learned speed. A sample may hold a wait that the router knows nothing
	// of, so that the fast ones tell more.
	speedRise = 0.05
	speedFall = 0.03

	// maxSpeedup bounds a sample, as tokens that count as queued may have been
	// read when the request came.
	maxSpeedup = 2

	// firstResidence is the usual time of a request at an engine until it is
	// learned, in seconds, residenceLearning the weight of an observation.
	firstResidence    = 1
	residenceLearning = 0.02

	// plainTime is the expected time of an answer of a plain service until it
	// is learned, plainLearning the weight of an observation.
	plainTime     = 30 * time.Millisecond
	plainLearning = 0.05
)

// Board is what a router believes of the backend servers of all services.
type Board struct {
	zone string

	// mu guards the fields below.
	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*service
	peers    map[string]*peer

	// unsummed says that a note came that the sums don't hold yet, summed is
	// when they were made.
	unsummed bool
	summed   time.Time
}

// service is what a board believes of a service as a whole.
type service struct {
	// id names the service in notes.
	id uint32

	// members are ordered by hash, the same at each router.
	members []*server
	demand  demand
	usage   usage

	// speed is the number of prompt tokens that an engine reads in a second,
	// answer the usual time of a plain server's answer.
	speed  float64
	answer time.Duration

	// residence is the usual time that a request of each group takes at an
	// engine, in seconds.
	residence [groups]float64

	// samples is the number of observations of the speed.
	samples int

	// peerUrgent and peerPatient are the demands at the other routers.
	peerUrgent  float64
	peerPatient float64
}

// NewBoard returns a board of a router in an availability zone.
func NewBoard(zone string) *Board {
	return &Board{
		zone:     zone,
		servers:  make(map[string]*server),
		services: make(map[string]*service),
		peers:    make(map[string]*peer),
	}
}

// SetServers replaces the servers that take work. What is believed of those
// that stay is kept.
func (b *Board) SetServers(now time.Time, servers []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.servers
	b.servers = make(map[string]*server, len(servers))
	for _, s := range b.services {
		s.members = nil
	}
	for _, next := range servers {
		s, ok := known[next.ID]
		if !ok {
			s = newServer(next, now)
		}
		s.Server = next
		b.servers[next.ID] = s
		of := b.service(next.Service)
		of.members = append(of.members, s)
	}
	for _, s := range b.services {
		slices.SortFunc(s.members, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
	}
	b.unsummed = true
}

// SetTargets takes the targets of the classes of a service.
func (b *Board) SetTargets(name string, targets []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).demand.setTargets(targets)
}

// service returns what is believed of a service. The caller holds b.mu.
func (b *Board) service(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{
			id:        short(xxhash.Sum64String(name)),
			speed:     firstSpeed,
			answer:    plainTime,
			residence: [groups]float64{firstResidence, firstResidence},
		}
		b.services[name] = s
	}
	return s
}

// Choice is a server that was chosen, with what decided.
type Choice struct {
	Server string

	// Cost is the cost in seconds, Next that of the second best server.
	Cost float64
	Next float64

	// Backlog is the number of prompt tokens that were believed to wait
	// there, Load the number of requests in progress.
	Backlog int
	Load    int

	// Home says that the server is the one that the session prefers.
	Home bool

	// First is the expected time to the first event, Excess by how much the
	// wait is longer than what a busy server takes work for.
	First  time.Duration
	Excess time.Duration

	// Speed is the believed speed of the service in tokens a second, Urgent
	// the number of servers that urgent requests get first.
	Speed  float64
	Urgent int
}

const (
	// ErrNone says that there is no server left to try.
	ErrNone = errors.ConstError("no server")

	// ErrBusy says that the work would be late at each server.
	ErrBusy = errors.ConstError("servers busy")
)

// Pick chooses a server for the work and books it there. It passes over the
// servers in tried. The error is ErrNone, or ErrBusy with the choice that was
// not made.
func (b *Board) Pick(now time.Time, work Work, tried []string) (*Ticket, Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sumIfDue(now)
	of := b.service(work.Service)
	candidates := of.candidates(now, tried)
	if len(candidates) == 0 {
		return nil, Choice{}, ErrNone
	}
	var best Choice
	var chosen *server
	if candidates[0].Engine {
		work.common = of.common(now, &work, len(b.peers)+1)
		chosen, best = of.chooseEngine(now, &work, candidates, b.zone)
	} else {
		chosen, best = of.choosePlain(now, candidates, b.zone)
	}
	if chosen.Engine && of.hopeless(chosen, &work, &best) {
		return nil, best, ErrBusy
	}
	return b.book(now, &work, of, chosen, best.Home), best, nil
}

// candidates returns the members that may get work. Suspended ones are used
// only if there is no other.
func (s *service) candidates(now time.Time, tried []string) []*server {
	free := make([]*server, 0, len(s.members))
	var suspended []*server
	for _, m := range s.members {
		switch {
		case slices.Contains(tried, m.ID):
		case now.Before(m.suspended):
			suspended = append(suspended, m)
		default:
			m.fade(now)
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return suspended
	}
	return free
}

// choosePlain returns the plain server with the least cost; among equals a
// random one.
func (s *service) choosePlain(now time.Time, candidates []*server, zone string) (*server, Choice) {
	choice := Choice{Cost: -1, Next: -1}
	var chosen *server
	start := rand.IntN(len(candidates))
	for i := range candidates {
		m := candidates[(start+i)%len(candidates)]
		choice.consider(&chosen, m, s.plainCost(now, m, zone), false)
	}
	return chosen, choice
}

// consider takes a server if it costs less than the best one so far.
func (c *Choice) consider(chosen **server, m *server, cost float64, home bool) {
	switch {
	case *chosen == nil || cost < c.Cost:
		c.Next = c.Cost
		c.Server, c.Cost, c.Home = m.ID, cost, home
		c.Backlog, c.Load = m.backlog(), m.load()
		*chosen = m
	case c.Next < 0 || cost < c.Next:
		c.Next = cost
	}
}

// book notes the work at the server and returns its ticket. The caller holds
// b.mu.
func (b *Board) book(now time.Time, work *Work, of *service, s *server, home bool) *Ticket {
	s.running++
	t := &Ticket{board: b, server: s, service: of, begun: now, group: of.demand.group(work.Target)}
	if s.Engine {
		t.reading = work.unread(home)
		t.queued = s.backlog() + t.reading
		t.expected = time.Duration(float64(t.queued)/of.speed*float64(time.Second)) + decodeStep
		s.reading += t.reading
		t.held = work.needs()
		s.held += t.held
		seconds := float64(work.Prompt-work.common)/of.speed + of.decodeSeconds(s, work)
		if len(work.Parts) > 1 {
			of.usage.see(now, work.Parts[0].ID)
		}
		of.demand.add(now, work.Target, seconds)
	} else {
		t.expected = of.answer
	}
	if s.waiting.IsZero() {
		s.waiting = now
	}
	return t
}
