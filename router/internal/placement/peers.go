package placement

import (
	"time"
)

// peerMemory is how long what a router told counts when it tells no more.
const peerMemory = 1500 * time.Millisecond

// toldFailing is the share of failed requests from which on other routers are
// told of a server where nothing runs.
const toldFailing = 0.05

// Note is what a router tells the others of its own requests. Servers and
// services are named by hashes.
type Note struct {
	Loads   []ServerLoad
	Demands []ServiceDemand
}

// ServerLoad is the work of one router at a server.
type ServerLoad struct {
	Server uint32
	Load
}

// ServiceDemand is what one router's callers ask of a service.
type ServiceDemand struct {
	Service uint32

	// Urgent and Patient are seconds of server time asked for in each second.
	Urgent  float64
	Patient float64

	// Speed is the learned number of prompt tokens that a server reads in a
	// second, Samples the number of observations behind it.
	Speed   float64
	Samples int
}

// peer is what another router told last.
type peer struct {
	at      time.Time
	loads   map[uint32]Load
	demands map[uint32]ServiceDemand
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
			Load:   Load{Reading: s.reading, Running: s.running, Held: s.held, Failing: s.failing},
		})
	}
	for _, s := range b.services {
		note.Demands = append(note.Demands, ServiceDemand{
			Service: s.id,
			Urgent:  s.demand.urgent.current(now),
			Patient: s.demand.patient.current(now),
			Speed:   s.speed,
			Samples: s.samples,
		})
	}
	return note
}

// Hear takes what another router told.
func (b *Board) Hear(now time.Time, name string, note Note) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &peer{
		at:      now,
		loads:   make(map[uint32]Load, len(note.Loads)),
		demands: make(map[uint32]ServiceDemand, len(note.Demands)),
	}
	for _, l := range note.Loads {
		p.loads[l.Server] = l.Load
	}
	for _, d := range note.Demands {
		p.demands[d.Service] = d
	}
	b.peers[name] = p
	b.unsummed = true
}

// sumIfDue adds up the others' notes if any came since the last time, or if some
// may have to be forgotten. Notes come more often than requests. The caller
// holds b.mu.
func (b *Board) sumIfDue(now time.Time) {
	if !b.unsummed && now.Sub(b.summed) < peerMemory {
		return
	}
	b.unsummed, b.summed = false, now
	b.forgetPeers(now)
	b.sumPeers()
}

// forgetPeers drops the routers that told nothing for long. The caller holds
// b.mu.
func (b *Board) forgetPeers(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.at) > peerMemory {
			delete(b.peers, name)
		}
	}
}

// sumPeers adds up what the other routers told. The caller holds b.mu.
func (b *Board) sumPeers() {
	for _, s := range b.servers {
		s.peers = Load{}
		told := 0
		for _, p := range b.peers {
			l, ok := p.loads[short(s.hash)]
			if !ok {
				continue
			}
			told++
			s.peers.Reading += l.Reading
			s.peers.Running += l.Running
			s.peers.Held += l.Held
			s.peers.Failing += l.Failing
		}
		s.peers.Failing /= float64(max(told, 1))
	}
	for _, s := range b.services {
		s.peerUrgent, s.peerPatient = 0, 0
		for _, p := range b.peers {
			d, ok := p.demands[s.id]
			if !ok {
				continue
			}
			s.peerUrgent += d.Urgent
			s.peerPatient += d.Patient
			if d.Samples > s.samples && s.samples < fewSamples {
				s.speed, s.samples = d.Speed, fewSamples
			}
		}
	}
}

// fewSamples is the number of observations up to which another router's speed
// is taken for the own.
const fewSamples = 20

// short returns the part of a hash that names a server or a service in notes.
func short(hash uint64) uint32 { return uint32(hash) }
