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
	// ErrWrongTarget means that the process at an address is not the one that
	// the message was meant for.
	ErrWrongTarget = errors.ConstError("another member answers at this address")

	// ErrNoteTooLong means that a note is longer than NoteBytes.
	ErrNoteTooLong = errors.ConstError("note too long")
)

// Node is this process's participant in the membership protocol. All methods
// are safe for concurrent use.
type Node struct {
	config Config

	// mu guards all fields below up to eventMu. It is not held during calls to
	// other processes or callbacks.
	mu               sync.Mutex
	self             Member
	registry         *registry
	broadcasts       *BroadcastQueue[string, struct{}]
	listedVMs        map[string]VM
	expected         map[string]struct{}
	vmListRead       bool
	reachability     *Reachability
	unverifiedDeaths map[string]Member
	probeQueue       []string
	events           []Event
	view             *View
	stats            Stats
	health           int
	pauseCount       uint64
	lastContact      time.Time
	lastSync         time.Time
	lastComparison   time.Time
	viewsDiffer      bool
	missingDetails   bool
	pendingRepair    *repair
	started          time.Time

	// eventMu is held while events are delivered, so that they stay in order.
	// It is acquired before mu.
	eventMu sync.Mutex

	// refuteNow wakes the loop to refute a suspicion of this process at once.
	refuteNow chan struct{}

	// inflight holds one element for each probe in flight, at most maxInflight.
	inflight chan struct{}
}

// New returns a node for a process that starts now. The incarnation is made of
// the time and a random number, because a VM has no persistent storage.
func New(config Config) *Node {
	config.setDefaults()
	now := time.Now()
	self := config.Self
	self.State = Alive
	self.Round = 0
	self.Incarnation = uint64(now.UnixMilli())<<12 | rand.Uint64N(1<<12)
	self.Version = uint64(now.UnixMilli())
	return &Node{
		config:           config,
		self:             self,
		registry:         newRegistry(),
		broadcasts:       NewBroadcastQueue[string, struct{}](),
		listedVMs:        make(map[string]VM),
		expected:         make(map[string]struct{}),
		unverifiedDeaths: make(map[string]Member),
		started:          now,
		refuteNow:        make(chan struct{}, 1),
		inflight:         make(chan struct{}, maxInflight),
	}
}

// Self returns this process's own record, as others should see it.
func (n *Node) Self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// View returns the current view.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.viewLocked()
}

// viewLocked returns the current view and rebuilds it if something has changed.
func (n *Node) viewLocked() *View {
	if n.view != nil {
		return n.view
	}
	members := make([]Member, 0, len(n.registry.records)+1)
	for _, rec := range n.registry.records {
		members = append(members, rec.visible())
	}
	n.view = newView(n.self, append(members, n.self))
	return n.view
}

// Listed returns the VMs of the last VM list that was read, without this
// process.
func (n *Node) Listed() []VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	vms := make([]VM, 0, len(n.listedVMs))
	for _, vm := range n.listedVMs {
		vms = append(vms, vm)
	}
	return vms
}

// Stats returns the counters since the start.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	stats := n.stats
	stats.Health = n.health
	return stats
}

// SetNote changes this process's note and announces it. It returns
// ErrNoteTooLong if the note is longer than NoteBytes.
func (n *Node) SetNote(note []byte) error {
	if len(note) > NoteBytes {
		return fmt.Errorf("set note of %d bytes: %w", len(note), ErrNoteTooLong)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Note = append([]byte(nil), note...)
	n.self.Version++
	n.announceLocked()
	return nil
}

// AnnounceLeaving announces to the other members that this process finishes its
// current requests and accepts no more.
func (n *Node) AnnounceLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.self.State != Alive {
		return
	}
	n.self.State = Leaving
	n.self.Round++
	n.announceLocked()
}

// AnnounceLeft sends a few members the announcement that this process has left.
// It must be the last call.
func (n *Node) AnnounceLeft(ctx context.Context) {
	n.mu.Lock()
	n.self.State = Left
	n.self.Round++
	n.announceLocked()
	targets := n.sampleLocked(relayCount, "")
	n.mu.Unlock()
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() { _ = n.exchange(ctx, target, n.config.ProbeTimeout, false, false) })
	}
	group.Wait()
}

// announceLocked queues an update about this process.
func (n *Node) announceLocked() {
	n.view, n.reachability = nil, nil
	n.broadcasts.Put(n.self.Name, struct{}{})
}

// sampleLocked returns up to count members in state Alive, chosen at random,
// other than the one named except.
func (n *Node) sampleLocked(count int, except string) []Member {
	var sample []Member
	seen := 0
	for name, rec := range n.registry.records {
		if name == except || rec.member.State != Alive {
			continue
		}
		seen++
		if len(sample) < count {
			sample = append(sample, rec.member)
			continue
		}
		if i := rand.IntN(seen); i < count {
			sample[i] = rec.member
		}
	}
	return sample
}

// recordChangeLocked invalidates the cached view after a record has changed,
// and queues an event if its state did.
func (n *Node) recordChangeLocked(rec *record, before State, now time.Time) {
	n.view, n.reachability = nil, nil
	switch {
	case rec.member.State.Live():
		n.expected[rec.member.Name] = struct{}{}
	case rec.member.State == Left:
		delete(n.expected, rec.member.Name)
	}
	if before != rec.member.State {
		n.events = append(n.events, Event{Member: rec.member, Previous: before, At: now})
	}
}

// deliverEvents passes the queued events to OnEvent in order.
func (n *Node) deliverEvents() {
	n.eventMu.Lock()
	defer n.eventMu.Unlock()
	n.mu.Lock()
	events := n.events
	n.events = nil
	n.mu.Unlock()
	if n.config.OnEvent == nil {
		return
	}
	for _, event := range events {
		n.config.OnEvent(event)
	}
}
