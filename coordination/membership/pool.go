package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrWrongTarget says that the process at an address is not the one that was
	// asked for.
	ErrWrongTarget = errors.ConstError("another member answers at this address")

	// ErrNoteTooLong says that a note is longer than NoteBytes.
	ErrNoteTooLong = errors.ConstError("note too long")
)

// Node is this process's part in the membership. All methods are safe for
// concurrent use.
type Node struct {
	config Config

	// mu guards everything below up to notifyMu. No call to another process
	// and no callback is made while it is held.
	mu       sync.Mutex
	self     Member
	registry *registry
	digest   *BroadcastQueue[string, struct{}]
	listed   map[string]VM
	expected map[string]struct{}
	counted  bool
	reach    *Reachability
	verify   map[string]Member
	queue    []string
	events   []Event
	view     *View
	stats    Stats
	health   int
	wake     uint64
	reached  time.Time
	synced   time.Time
	compared time.Time
	differs  bool
	blind    bool
	owed     *debt
	started  time.Time

	// notifyMu is held while events are handed out, so that they stay in
	// order. It is taken before mu.
	notifyMu sync.Mutex

	// hurry wakes the loop to contradict a suspicion of this process at once.
	hurry chan struct{}

	// flying bounds the probes under way.
	flying chan struct{}
}

// New returns a pool for a process that starts now. The incarnation is made
// of the time and a random number, because a VM keeps nothing.
func New(config Config) *Node {
	config.fill()
	now := time.Now()
	self := config.Self
	self.State = Alive
	self.Round = 0
	self.Incarnation = uint64(now.UnixMilli())<<12 | rand.Uint64N(1<<12)
	self.Version = uint64(now.UnixMilli())
	return &Node{
		config:   config,
		self:     self,
		registry: newRegistry(),
		digest:   NewBroadcastQueue[string, struct{}](),
		listed:   make(map[string]VM),
		expected: make(map[string]struct{}),
		verify:   make(map[string]Member),
		started:  now,
		hurry:    make(chan struct{}, 1),
		flying:   make(chan struct{}, maxFlying),
	}
}

// Self returns this process as others should see it.
func (p *Node) Self() Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// Members returns the current view.
func (p *Node) Members() *View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewLocked()
}

// viewLocked returns the view, built anew if something has changed.
func (p *Node) viewLocked() *View {
	if p.view != nil {
		return p.view
	}
	members := make([]Member, 0, len(p.registry.records)+1)
	for _, rec := range p.registry.records {
		members = append(members, rec.shown())
	}
	p.view = newView(p.self, append(members, p.self))
	return p.view
}

// Listed returns what the VM list said last, without this process.
func (p *Node) Listed() []VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := make([]VM, 0, len(p.listed))
	for _, vm := range p.listed {
		vms = append(vms, vm)
	}
	return vms
}

// Stats returns the counts so far.
func (p *Node) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Health = p.health
	return stats
}

// SetNote changes the note that spreads with this process.
func (p *Node) SetNote(note []byte) error {
	if len(note) > NoteBytes {
		return fmt.Errorf("set note of %d bytes: %w", len(note), ErrNoteTooLong)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.Note = append([]byte(nil), note...)
	p.self.Version++
	p.announceLocked()
	return nil
}

// AnnounceLeaving tells the others that this process finishes its work and takes no
// more.
func (p *Node) AnnounceLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.self.State != Alive {
		return
	}
	p.self.State = Leaving
	p.self.Round++
	p.announceLocked()
}

// AnnounceLeft tells a few members that this process ends. It is called last.
func (p *Node) AnnounceLeft(ctx context.Context) {
	p.mu.Lock()
	p.self.State = Left
	p.self.Round++
	p.announceLocked()
	targets := p.sampleLocked(relays, "")
	p.mu.Unlock()
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() { _ = p.exchange(ctx, target, p.config.ProbeTimeout, false, false) })
	}
	group.Wait()
}

// announceLocked queues this process for the digest.
func (p *Node) announceLocked() {
	p.view, p.reach = nil, nil
	p.digest.Put(p.self.Name, struct{}{})
}

// sampleLocked returns up to n live members other than the one named, drawn at
// random.
func (p *Node) sampleLocked(n int, except string) []Member {
	var sample []Member
	seen := 0
	for name, rec := range p.registry.records {
		if name == except || rec.member.State != Alive {
			continue
		}
		seen++
		if len(sample) < n {
			sample = append(sample, rec.member)
			continue
		}
		if i := rand.IntN(seen); i < n {
			sample[i] = rec.member
		}
	}
	return sample
}

// noteLocked records an event for the state that a record has now.
func (p *Node) noteLocked(rec *record, before State, now time.Time) {
	p.view, p.reach = nil, nil
	switch {
	case rec.member.State.Live():
		p.expected[rec.member.Name] = struct{}{}
	case rec.member.State == Left:
		delete(p.expected, rec.member.Name)
	}
	if before != rec.member.State {
		p.events = append(p.events, Event{Member: rec.member, Previous: before, At: now})
	}
}

// notify hands the waiting events out in order.
func (p *Node) notify() {
	p.notifyMu.Lock()
	defer p.notifyMu.Unlock()
	p.mu.Lock()
	events := p.events
	p.events = nil
	p.mu.Unlock()
	if p.config.OnEvent == nil {
		return
	}
	for _, event := range events {
		p.config.OnEvent(event)
	}
}
