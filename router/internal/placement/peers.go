package placement

import (
	"slices"
	"time"
)

const (
	// peerMemory is how long what a router told counts when it tells no more.
	peerMemory = 1500 * time.Millisecond

	// forgetPeriod is the time between two looks for routers that are silent.
	forgetPeriod = peerMemory / 5

	// toldFailing is the share of failed requests from which on other routers
	// are told of a server where nothing runs.
	toldFailing = 0.05

	// fewSamples is the number of observations up to which another router's
	// speed is taken for the own.
	fewSamples = 20
)

// LoadReport is what a router tells the others of its own requests. Servers and
// services are named by hashes.
type LoadReport struct {
	Loads   []ServerLoad
	Demands []ServiceDemand
	Uses    []SessionUse
}

// ServerLoad is the work of one router at a server.
type ServerLoad struct {
	Server uint32
	Load
}

// Load is the work at a server that a router told of.
type Load struct {
	// Queued is the prompts that wait to be read, Running the number of
	// requests in progress.
	Queued  []QueuedTokens
	Running int

	// ReservedTokens is the number of tokens that these need of an engine's memory.
	ReservedTokens int

	// FailureRate is the smoothed share of failed requests.
	FailureRate float64
}

// ServiceDemand is what one router's callers ask of a service.
type ServiceDemand struct {
	Service uint32

	// Urgent and Mixed are the demands of the two groups of requests.
	Urgent  GroupDemand
	Patient GroupDemand

	// TokenRate is the number of tokens in each second that the router's requests
	// bring to the servers.
	TokenRate float64

	// PrefillSpeed is the learned number of prompt tokens that a server reads in a
	// second, Samples the number of observations behind it.
	PrefillSpeed float64
	Samples      int

	// UrgentServers is the number of servers that the router keeps from long prompts,
	// of Servers in all. It is zero while the router has not heard others for
	// long enough to tell.
	UrgentServers int
	Servers       int
}

// peer is what another router told last.
type peer struct {
	at   time.Time
	note LoadReport
}

// others is the sum of what other routers told of a server.
type others struct {
	reading Backlog
	running int
	held    int

	// failing is the sum of the shares of failed requests, told the number of
	// routers behind it.
	failing float64
	told    int
}

// count adds what a router told; with a sign of -1 it is taken off.
func (o *others) count(l Load, sign int) {
	for _, w := range l.Queued {
		o.reading.add(w.Priority, sign*w.Tokens)
	}
	o.running += sign * l.Running
	o.held += sign * l.ReservedTokens
	o.failing += float64(sign) * l.FailureRate
	o.told += sign
}

// meanFailing returns the mean share of failed requests.
func (o *others) meanFailing() float64 {
	if o.told == 0 {
		return 0
	}
	return max(o.failing, 0) / float64(o.told)
}

// Note returns what this router has to tell. Servers without own work are left
// out.
func (b *Balancer) Note(now time.Time) LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var note LoadReport
	for _, s := range b.servers {
		s.fade(now)
		if s.running == 0 && s.failing < toldFailing {
			continue
		}
		note.Loads = append(note.Loads, ServerLoad{
			Server: short(s.hash),
			Load:   Load{Queued: s.reading.entries(), Running: s.running, ReservedTokens: s.held, FailureRate: s.failing},
		})
	}
	for _, s := range b.services {
		note.Demands = append(note.Demands, ServiceDemand{
			Service:       s.id,
			Urgent:        s.demand.current(now, apartGroup),
			Patient:       s.demand.current(now, mixedGroup),
			TokenRate:     s.flow.current(now),
			PrefillSpeed:  s.speed,
			Samples:       s.samples,
			UrgentServers: s.demand.told(now.Sub(b.begun)),
			Servers:       s.demand.servers,
		})
	}
	note.Uses = append(slices.Clone(b.olderUses), b.uses...)
	b.olderUses, b.uses = b.uses, nil
	return note
}

// Hear takes what another router told. The note must not be changed afterwards.
func (b *Balancer) Hear(now time.Time, name string, note LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.peers[name]; ok {
		b.count(old.note, -1)
	}
	b.peers[name] = &peer{at: now, note: note}
	b.count(note, 1)
	b.agree()
	b.takeSpeeds(note)
	for _, use := range note.Uses {
		b.sessions.see(now, use)
	}
}

// count adds a note to the sums; with a sign of -1 it is taken off. The caller
// holds b.mu.
func (b *Balancer) count(note LoadReport, sign int) {
	for _, l := range note.Loads {
		if s, ok := b.short[l.Server]; ok {
			s.peers.count(l.Load, sign)
		}
	}
	for _, d := range note.Demands {
		s, ok := b.demands[d.Service]
		switch {
		case !ok:
		case sign > 0:
			s.peerApart, s.peerMixed = s.peerApart.plus(d.Urgent), s.peerMixed.plus(d.Patient)
			s.peerFlow += d.TokenRate
		default:
			s.peerApart, s.peerMixed = s.peerApart.minus(d.Urgent), s.peerMixed.minus(d.Patient)
			s.peerFlow -= d.TokenRate
		}
	}
}

// agree takes over the borders of the router with the lowest name among those
// that are heard, unless that is this router. The caller holds b.mu.
func (b *Balancer) agree() {
	var first *peer
	lowest := b.name
	for name, p := range b.peers {
		if name < lowest && p.draws() {
			first, lowest = p, name
		}
	}
	for _, s := range b.services {
		s.demand.agreed, s.demand.agreedServers = 0, 0
	}
	if first == nil {
		return
	}
	for _, d := range first.note.Demands {
		if s, ok := b.demands[d.Service]; ok && d.UrgentServers > 0 {
			s.demand.agreed, s.demand.agreedServers = d.UrgentServers, d.Servers
		}
	}
}

// draws reports whether the router told a border of any service.
func (p *peer) draws() bool {
	return slices.ContainsFunc(p.note.Demands, func(d ServiceDemand) bool { return d.UrgentServers > 0 })
}

// takeSpeeds takes another router's speeds where this one has hardly any
// observations. The caller holds b.mu.
func (b *Balancer) takeSpeeds(note LoadReport) {
	for _, d := range note.Demands {
		if s, ok := b.demands[d.Service]; ok && d.Samples > s.samples && s.samples < fewSamples {
			s.speed, s.samples = d.PrefillSpeed, fewSamples
		}
	}
}

// recount adds up all notes anew, after the servers or services changed. The
// caller holds b.mu.
func (b *Balancer) recount() {
	for _, s := range b.servers {
		s.peers = others{}
	}
	for _, s := range b.services {
		s.peerApart, s.peerMixed, s.peerFlow = GroupDemand{}, GroupDemand{}, 0
	}
	for _, p := range b.peers {
		b.count(p.note, 1)
	}
}

// forgetPeers drops the routers that told nothing for long. The caller holds
// b.mu.
func (b *Balancer) forgetPeers(now time.Time) {
	if now.Sub(b.forgot) < forgetPeriod {
		return
	}
	b.forgot = now
	for name, p := range b.peers {
		if now.Sub(p.at) > peerMemory {
			b.count(p.note, -1)
			delete(b.peers, name)
		}
	}
	b.agree()
}

// short returns the part of a hash that names a server or a service in notes.
func short(hash uint64) uint32 { return uint32(hash) }
