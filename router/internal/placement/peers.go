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

// Note is what a router tells the others of its own requests. Servers and
// services are named by hashes.
type Note struct {
	Loads   []ServerLoad
	Demands []ServiceDemand
	Uses    []Use
}

// ServerLoad is the work of one router at a server.
type ServerLoad struct {
	Server uint32
	Load
}

// Load is the work at a server that a router told of.
type Load struct {
	// Reading is the prompts that wait to be read, Running the number of
	// requests in progress.
	Reading []Waiting
	Running int

	// Held is the number of tokens that these need of an engine's memory.
	Held int

	// Failing is the smoothed share of failed requests.
	Failing float64
}

// ServiceDemand is what one router's callers ask of a service.
type ServiceDemand struct {
	Service uint32

	// Apart and Mixed are the demands of the two groups of requests.
	Apart GroupDemand
	Mixed GroupDemand

	// Flow is the number of tokens in each second that the router's requests
	// bring to the servers.
	Flow float64

	// Speed is the learned number of prompt tokens that a server reads in a
	// second, Samples the number of observations behind it.
	Speed   float64
	Samples int

	// Drawn is the number of servers that the router keeps from long prompts,
	// of Servers in all. It is zero while the router has not heard others for
	// long enough to tell.
	Drawn   int
	Servers int
}

// peer is what another router told last.
type peer struct {
	at   time.Time
	note Note
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
	for _, w := range l.Reading {
		o.reading.add(w.Rank, sign*w.Tokens)
	}
	o.running += sign * l.Running
	o.held += sign * l.Held
	o.failing += float64(sign) * l.Failing
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
func (b *Board) Note(now time.Time) Note {
	b.mu.Lock()
	defer b.mu.Unlock()
	var note Note
	for _, s := range b.servers {
		s.fade(now)
		if s.running == 0 && s.failing < toldFailing {
			continue
		}
		note.Loads = append(note.Loads, ServerLoad{
			Server: short(s.hash),
			Load:   Load{Reading: s.reading.entries(), Running: s.running, Held: s.held, Failing: s.failing},
		})
	}
	for _, s := range b.services {
		note.Demands = append(note.Demands, ServiceDemand{
			Service: s.id,
			Apart:   s.demand.current(now, apartGroup),
			Mixed:   s.demand.current(now, mixedGroup),
			Flow:    s.flow.current(now),
			Speed:   s.speed,
			Samples: s.samples,
			Drawn:   s.demand.told(now.Sub(b.begun)),
			Servers: s.demand.servers,
		})
	}
	note.Uses = append(slices.Clone(b.olderUses), b.uses...)
	b.olderUses, b.uses = b.uses, nil
	return note
}

// Hear takes what another router told. The note must not be changed afterwards.
func (b *Board) Hear(now time.Time, name string, note Note) {
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
func (b *Board) count(note Note, sign int) {
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
			s.peerApart, s.peerMixed = s.peerApart.plus(d.Apart), s.peerMixed.plus(d.Mixed)
			s.peerFlow += d.Flow
		default:
			s.peerApart, s.peerMixed = s.peerApart.minus(d.Apart), s.peerMixed.minus(d.Mixed)
			s.peerFlow -= d.Flow
		}
	}
}

// agree takes over the borders of the router with the lowest name among those
// that are heard, unless that is this router. The caller holds b.mu.
func (b *Board) agree() {
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
		if s, ok := b.demands[d.Service]; ok && d.Drawn > 0 {
			s.demand.agreed, s.demand.agreedServers = d.Drawn, d.Servers
		}
	}
}

// draws reports whether the router told a border of any service.
func (p *peer) draws() bool {
	return slices.ContainsFunc(p.note.Demands, func(d ServiceDemand) bool { return d.Drawn > 0 })
}

// takeSpeeds takes another router's speeds where this one has hardly any
// observations. The caller holds b.mu.
func (b *Board) takeSpeeds(note Note) {
	for _, d := range note.Demands {
		if s, ok := b.demands[d.Service]; ok && d.Samples > s.samples && s.samples < fewSamples {
			s.speed, s.samples = d.Speed, fewSamples
		}
	}
}

// recount adds up all notes anew, after the servers or services changed. The
// caller holds b.mu.
func (b *Board) recount() {
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
func (b *Board) forgetPeers(now time.Time) {
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
