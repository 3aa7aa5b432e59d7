package placement

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// initialPrefillSpeed is the number of prompt tokens that an engine is
	// assumed to process in a second until its speed has been measured.
	initialPrefillSpeed = 60000

	// minSpeedSampleTokens is the least number of tokens from which a speed is
	// estimated.
	minSpeedSampleTokens = 1000

	// fasterSampleWeight and slowerSampleWeight are the weights of samples
	// above and below the current estimate. A slow sample may include a wait
	// that the router does not know of, so fast ones weigh more.
	fasterSampleWeight = 0.05
	slowerSampleWeight = 0.03

	// maxSampleRatio bounds a sample relative to the current estimate, as
	// tokens that count as queued may already have been processed when the
	// request arrived.
	maxSampleRatio = 2

	// initialResidence is the assumed time of a request at an engine until it
	// has been measured, in seconds; residenceWeight is the weight of an
	// observation.
	initialResidence = 1
	residenceWeight  = 0.02

	// initialMeanPrefill is the assumed time to process a prompt until it has
	// been measured, in seconds; meanPrefillWeight is the weight of an
	// observation.
	initialMeanPrefill = 0.05
	meanPrefillWeight  = 0.02

	// initialPlainLatency is the assumed latency of a service of plain servers
	// until it has been measured; plainLatencyWeight is the weight of an
	// observation.
	initialPlainLatency = 30 * time.Millisecond
	plainLatencyWeight  = 0.05
)

// Balancer chooses backend servers for requests. It holds a router's estimates
// of the servers of all services.
type Balancer struct {
	zone string

	// name identifies this router and orders the routers; startedAt is when it
	// started.
	name      string
	startedAt time.Time

	// loadChanged is called after this router's load at an engine has changed.
	// It may be nil.
	loadChanged func(server uint32)

	// mu guards the fields below.
	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*service
	peers    map[string]*peer

	// sessions records which engines have which sessions cached. newUses and
	// sentUses are the session uses to report: each use goes into two reports,
	// as one may be lost.
	sessions sessionDirectory
	newUses  []SessionUse
	sentUses []SessionUse

	// serversByHash and servicesByHash hold the servers and services by the
	// short hashes that reports name them by.
	serversByHash  map[uint32]*server
	servicesByHash map[uint32]*service

	// lastExpiry is when the balancer last checked for routers that stopped
	// reporting.
	lastExpiry time.Time
}

// service holds the estimates of a service as a whole.
type service struct {
	// hash names the service in reports.
	hash uint32

	// requested says that a request for the service has come.
	requested bool

	// members are ordered by hash, which is the same at each router.
	members   []*server
	demand    demand
	partUsage partUsage

	// prefillSpeed is the number of prompt tokens that an engine processes in a
	// second; plainLatency is the usual latency of a plain server.
	prefillSpeed float64
	plainLatency time.Duration

	// meanPrefill is the mean time that an engine takes to process the prompt
	// of a request of each group, in seconds.
	meanPrefill [groupCount]float64

	// residence is the usual time that a request of each group spends at an
	// engine, in seconds.
	residence [groupCount]float64

	// speedSamples is the number of observations behind prefillSpeed.
	speedSamples int

	// peerShort and peerLong are the demands at the other routers.
	peerShort GroupDemand
	peerLong  GroupDemand

	// tokenRate is the number of tokens in each second that this router's
	// requests add to the engines' caches; peerTokenRate is that of the other
	// routers.
	tokenRate     rate
	peerTokenRate float64
}

// NewBalancer returns a balancer for a router in an availability zone. The name
// is the one by which other routers know the router.
func NewBalancer(now time.Time, name, zone string) *Balancer {
	return &Balancer{
		zone:           zone,
		name:           name,
		startedAt:      now,
		servers:        make(map[string]*server),
		services:       make(map[string]*service),
		peers:          make(map[string]*peer),
		serversByHash:  make(map[uint32]*server),
		servicesByHash: make(map[uint32]*service),
	}
}

// SetServers replaces the set of servers that take requests. Estimates of
// servers that remain are kept.
func (b *Balancer) SetServers(now time.Time, servers []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.servers
	b.servers = make(map[string]*server, len(servers))
	b.serversByHash = make(map[uint32]*server, len(servers))
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
		b.serversByHash[shortHash(s.hash)] = s
		svc := b.service(next.Service)
		svc.members = append(svc.members, s)
	}
	b.forgetUnusedServices()
	for _, s := range b.services {
		slices.SortFunc(s.members, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
	}
	b.recomputePeerLoads()
}

// forgetUnusedServices drops the services without servers that have had no requests. Estimates of others are
// kept, as their servers may come back. The caller holds b.mu.
func (b *Balancer) forgetUnusedServices() {
	maps.DeleteFunc(b.services, func(_ string, s *service) bool {
		unused := len(s.members) == 0 && !s.requested
		if unused && b.servicesByHash[s.hash] == s {
			delete(b.servicesByHash, s.hash)
		}
		return unused
	})
}

// service returns the estimates of a service and creates them if needed. The
// caller holds b.mu.
func (b *Balancer) service(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{
			hash:         shortHash(xxhash.Sum64String(name)),
			prefillSpeed: initialPrefillSpeed,
			meanPrefill:  [groupCount]float64{initialMeanPrefill, initialMeanPrefill},
			plainLatency: initialPlainLatency,
			residence:    [groupCount]float64{initialResidence, initialResidence},
		}
		b.services[name] = s
		b.servicesByHash[s.hash] = s
	}
	return s
}

// Choice is a chosen server and the estimates behind the choice.
type Choice struct {
	Server string

	// Cost is the cost at an engine in requests, and at a plain server in
	// seconds; NextCost is that of the second best server,
	// or -1 if there is none.
	Cost     float64
	NextCost float64

	// QueuedTokens is the estimated number of prompt tokens queued there;
	// Running is the number of requests in progress.
	QueuedTokens int
	Running      int

	// Cached reports whether the server is expected to have the session cached.
	Cached bool

	// ExpectedLatency is the expected time to the first event at an engine;
	// ExcessWait is by how much the expected wait exceeds the limit above which
	// requests are refused. It is negative below the limit and zero for short
	// prompts.
	ExpectedLatency time.Duration
	ExcessWait      time.Duration

	// LimitWait is the time until a server may be asked for again, if all are withheld.
	LimitWait time.Duration

	// PrefillSpeed is the estimated speed of the service in tokens a second;
	// ShortServers is the number of servers that are reserved for short
	// prompts.
	PrefillSpeed float64
	ShortServers int
}

const (
	// ErrNoServer means that there is no server left to try.
	ErrNoServer = errors.ConstError("no server")

	// ErrLimited means that the servers left to try are withheld, to keep their limits or as they
	// asked for nothing for a while.
	ErrLimited = errors.ConstError("servers limited")

	// ErrTooLarge means that the prompt is larger than the memory of each server left to try.
	ErrTooLarge = errors.ConstError("prompt larger than servers")

	// ErrBusy means that the request would wait too long at the best server.
	ErrBusy = errors.ConstError("servers busy")
)

// Pick chooses a server for the request and reserves capacity there. It skips
// the servers in tried. The error is ErrNoServer, ErrLimited, ErrTooLarge, or ErrBusy together
// with the choice that was rejected.
func (b *Balancer) Pick(now time.Time, req Request, tried []string) (*Reservation, Choice, error) {
	reservation, choice, err := b.pick(now, req, tried)
	if err == nil {
		reservation.notifyLoadChange()
	}
	return reservation, choice, err
}

// pick does the work of Pick except for the notification.
func (b *Balancer) pick(now time.Time, req Request, tried []string) (*Reservation, Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	svc := b.service(req.Service)
	svc.requested = true
	candidates := svc.candidates(now, &req, tried)
	if len(candidates) == 0 {
		return svc.pickNone(now, &req, tried)
	}
	var best Choice
	var chosen *server
	if candidates[0].Engine {
		svc.demand.record(now, &req, svc.prefillSpeed)
		b.annotate(now, &req, svc)
		chosen, best = svc.chooseEngine(now, &req, candidates, b.zone)
	} else {
		chosen, best = svc.choosePlain(now, &req, candidates, b.zone)
	}
	if chosen.Engine && !req.Admitted && svc.shouldRefuse(chosen, &req, &best) {
		svc.recordDemand(now, &req, best.Cached)
		return nil, best, ErrBusy
	}
	return b.reserve(now, &req, svc, chosen, best.Cached), best, nil
}

// candidates returns the members that may get a request. Suspended ones are
// used only if there are no others.
func (s *service) candidates(now time.Time, req *Request, tried []string) []*server {
	free := make([]*server, 0, len(s.members))
	var suspended []*server
	for _, m := range s.members {
		switch {
		case slices.Contains(tried, m.ID), m.withholds(now, req), !m.fits(req):
		case now.Before(m.suspendedUntil):
			suspended = append(suspended, m)
		default:
			m.decay(now)
			m.updatePeers(now)
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return suspended
	}
	return free
}

// consider replaces the chosen server by m if m costs less.
func (c *Choice) consider(chosen **server, m *server, cost float64, cached bool) {
	switch {
	case *chosen == nil || cost < c.Cost:
		c.NextCost = c.Cost
		c.Server, c.Cost, c.Cached = m.ID, cost, cached
		c.QueuedTokens, c.Running = m.queuedTokens(), m.load()
		*chosen = m
	case c.NextCost < 0 || cost < c.NextCost:
		c.NextCost = cost
	}
}

// reserve accounts for the request at the server and returns its reservation.
// The caller holds b.mu.
func (b *Balancer) reserve(now time.Time, req *Request, svc *service, s *server, cached bool) *Reservation {
	s.running++
	r := &Reservation{balancer: b, server: s, service: svc, startedAt: now, class: svc.demand.profile(req.Class), priority: req.Priority, engine: s.Engine, gap: req.Gap}
	if s.Engine {
		r.prefillTokens = req.prefillTokens(cached)
		r.queuedTokens = s.queuedTokensBefore(req.Priority) + r.prefillTokens
		r.expectedLatency = time.Duration(float64(r.queuedTokens)/svc.prefillSpeed*float64(time.Second)) + decodeStepTime
		s.queued.add(r.priority, r.prefillTokens)
		s.streams.add(r.gap, 1)
		r.slotShare = 1 / float64(max(s.Slots, 1))
		r.class.slots += r.slotShare
		r.class.running++
		r.reservedTokens = s.boundTokens(req.cacheTokens(cached))
		s.reservedTokens += r.reservedTokens
		r.use, r.cached = b.recordUse(now, req, svc, s), cached
		svc.tokenRate.add(now, float64(r.reservedTokens))
		svc.recordDemand(now, req, cached)
	} else {
		r.expectedLatency = svc.plainLatency
	}
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	return r
}

// recordDemand counts the server time that the request's prefill takes.
func (s *service) recordDemand(now time.Time, req *Request, cached bool) {
	prefillTime := float64(req.prefillTokens(cached)) / s.prefillSpeed
	s.demand.profile(req.Class).prefill.add(now, prefillTime)
	mean := &s.meanPrefill[s.demand.group(req)]
	*mean += meanPrefillWeight * (prefillTime - *mean)
}
