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

// Balancer is what a router believes of the backend servers of all services.
type Balancer struct {
	zone string

	// name orders the routers, begun is when this one started.
	name  string
	begun time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*service
	peers    map[string]*peer

	// sessions knows which engines keep which sessions, uses and olderUses are
	// what is told of that: each use goes with two notes, as one may be lost.
	sessions  directory
	uses      []SessionUse
	olderUses []SessionUse

	// short and demands are the servers and services by their names in notes.
	short   map[uint32]*server
	demands map[uint32]*service

	// forgot is when the board last looked for routers that are silent.
	forgot time.Time
}

// service is what a board believes of a service as a whole.
type service struct {
	// id names the service in notes.
	id uint32

	// members are ordered by hash, the same at each router.
	members []*server
	demand  demand
	usage   usage

	// visits is the server time in each second, for reading or for slots, that
	// own long prompts take in the group apart.
	visits rate

	// speed is the number of prompt tokens that an engine reads in a second,
	// answer the usual time of a plain server's answer.
	speed  float64
	answer time.Duration

	// residence is the usual time that a request of each group takes at an
	// engine, in seconds.
	residence [groups]float64

	// samples is the number of observations of the speed.
	samples int

	// peerApart and peerMixed are the demands at the other routers.
	peerApart GroupDemand
	peerMixed GroupDemand

	// flow is the number of tokens in each second that own requests bring to
	// the engines, peerFlow that of the other routers' requests.
	flow     rate
	peerFlow float64
}

// NewBalancer returns a board of a router in an availability zone. The router's
// name is the one by which others hear of it.
func NewBalancer(now time.Time, name, zone string) *Balancer {
	return &Balancer{
		zone:     zone,
		name:     name,
		begun:    now,
		servers:  make(map[string]*server),
		services: make(map[string]*service),
		peers:    make(map[string]*peer),
		short:    make(map[uint32]*server),
		demands:  make(map[uint32]*service),
	}
}

// SetServers replaces the servers that take work. What is believed of those
// that stay is kept.
func (b *Balancer) SetServers(now time.Time, servers []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.servers
	b.servers = make(map[string]*server, len(servers))
	b.short = make(map[uint32]*server, len(servers))
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
		b.short[short(s.hash)] = s
		of := b.service(next.Service)
		of.members = append(of.members, s)
	}
	for _, s := range b.services {
		slices.SortFunc(s.members, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
	}
	b.recount()
}

// SetTargets takes the targets of the classes of a service.
func (b *Balancer) SetTargets(name string, targets []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).demand.setTargets(targets)
}

// service returns what is believed of a service. The caller holds b.mu.
func (b *Balancer) service(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{
			id:        short(xxhash.Sum64String(name)),
			speed:     firstSpeed,
			answer:    plainTime,
			residence: [groups]float64{firstResidence, firstResidence},
		}
		b.services[name] = s
		b.demands[s.id] = s
	}
	return s
}

// Choice is a server that was chosen, with what decided.
type Choice struct {
	Server string

	// Cost is the cost in seconds, Next that of the second best server.
	Cost     float64
	NextCost float64

	// QueuedTokens is the number of prompt tokens that were believed to wait
	// there, Load the number of requests in progress.
	QueuedTokens int
	Running      int

	// Cached says that the server is believed to keep the session.
	Cached bool

	// ExpectedLatency is the expected time to the first event, Excess by how much the
	// wait is longer than what a busy server takes work for.
	ExpectedLatency time.Duration
	ExcessWait      time.Duration

	// PrefillSpeed is the believed speed of the service in tokens a second, Apart the
	// number of servers that are kept from long prompts.
	PrefillSpeed  float64
	UrgentServers int
}

const (
	// ErrNoServer says that there is no server left to try.
	ErrNoServer = errors.ConstError("no server")

	// ErrBusy says that the work would be late at each server.
	ErrBusy = errors.ConstError("servers busy")
)

// Pick chooses a server for the work and books it there. It passes over the
// servers in tried. The error is ErrNone, or ErrBusy with the choice that was
// not made.
func (b *Balancer) Pick(now time.Time, work Request, tried []string) (*Reservation, Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetPeers(now)
	of := b.service(work.Service)
	candidates := of.candidates(now, tried)
	if len(candidates) == 0 {
		return nil, Choice{}, ErrNoServer
	}
	var best Choice
	var chosen *server
	if candidates[0].Engine {
		b.inform(now, &work, of)
		chosen, best = of.chooseEngine(now, &work, candidates, b.zone)
	} else {
		chosen, best = of.choosePlain(now, candidates, b.zone)
	}
	if chosen.Engine && of.hopeless(chosen, &work, &best) {
		of.want(now, &work, best.Cached)
		return nil, best, ErrBusy
	}
	return b.book(now, &work, of, chosen, best.Cached), best, nil
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
	choice := Choice{Cost: -1, NextCost: -1}
	var chosen *server
	start := rand.IntN(len(candidates))
	for i := range candidates {
		m := candidates[(start+i)%len(candidates)]
		choice.consider(&chosen, m, s.plainCost(now, m, zone), false)
	}
	return chosen, choice
}

// consider takes a server if it costs less than the best one so far.
func (c *Choice) consider(chosen **server, m *server, cost float64, kept bool) {
	switch {
	case *chosen == nil || cost < c.Cost:
		c.NextCost = c.Cost
		c.Server, c.Cost, c.Cached = m.ID, cost, kept
		c.QueuedTokens, c.Running = m.backlog(), m.load()
		*chosen = m
	case c.NextCost < 0 || cost < c.NextCost:
		c.NextCost = cost
	}
}

// book notes the work at the server and returns its ticket. The caller holds
// b.mu.
func (b *Balancer) book(now time.Time, work *Request, of *service, s *server, kept bool) *Reservation {
	s.running++
	t := &Reservation{board: b, server: s, service: of, begun: now, group: of.demand.group(work), rank: work.Priority}
	if s.Engine {
		t.reading = work.unread(kept)
		t.queued = s.before(work.Priority) + t.reading
		t.expected = time.Duration(float64(t.queued)/of.speed*float64(time.Second)) + decodeStep
		s.reading.add(t.rank, t.reading)
		t.slot = 1 / float64(max(s.Slots, 1))
		of.demand.holding[t.group] += t.slot
		t.held = work.needs(kept)
		s.held += t.held
		b.use(now, work, of, s)
		of.visit(now, work, s, kept)
		of.flow.add(now, float64(t.held))
		of.want(now, work, kept)
	} else {
		t.expected = of.answer
	}
	if s.waiting.IsZero() {
		s.waiting = now
	}
	return t
}

// want counts the time that reading the prompt takes of a server.
func (s *service) want(now time.Time, work *Request, kept bool) {
	s.demand.reading[s.demand.group(work)].add(now, float64(work.unread(kept))/s.speed)
}
