// Package membership keeps, in each router, a view of the other routers that
// are running, without a coordination service. It implements a SWIM-style
// gossip protocol: members probe each other, piggyback what they learn on the
// probes, suspect a member before they declare it dead, and find each other
// through the platform's VM list.
//
// It provides no agreement: two members may hold different views at the same
// time. A view may be used to choose whom to ask or notify first; it must never
// be the only basis for deciding who may act on behalf of all.
//
// The package imports the standard library, an errors library and a hash
// library.
package membership

import (
	"context"
	"time"
)

// State is the state in which one member records another. Within one round of
// one incarnation, states only increase.
type State uint8

// The states of a member. Suspect members still count as live.
const (
	Alive State = iota + 1
	Leaving
	Suspect
	Dead
	Left
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Live reports whether a member in this state counts as running.
func (s State) Live() bool {
	return s == Alive || s == Leaving || s == Suspect
}

// Member is what is known about one router VM. A member is identified by its
// name. Incarnation distinguishes processes of the same name, and Round
// increases each time a process refutes a claim about itself or announces that
// it is leaving or has left.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Region      string
	Incarnation uint64
	Round       uint32
	State       State

	// Note is opaque data of the member, at most NoteBytes long. Version
	// increases with each change to it.
	Note    []byte
	Version uint64
}

// supersedes reports whether m is newer than other, ignoring their notes.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Round != other.Round {
		return m.Round > other.Round
	}
	return m.State > other.State
}

// compact returns the update to send to members that already know m: without
// the details if m is suspected or gone. An empty Address marks such an update.
func (m Member) compact() Member {
	if m.State == Alive || m.State == Leaving {
		return m
	}
	return m.withoutDetails()
}

// withoutDetails returns the member without the fields that only change with a
// new process or note. An empty Address marks such an update.
func (m Member) withoutDetails() Member {
	return Member{Name: m.Name, Incarnation: m.Incarnation, Round: m.Round, State: m.State}
}

// maxEncodedSize returns an upper bound of the encoded size of the member in
// bytes.
func (m Member) maxEncodedSize() int {
	const fixedBytes = 48
	const compactBytes = 28
	if m.Address == "" {
		return compactBytes + len(m.Name)
	}
	return fixedBytes + len(m.Name) + len(m.Address) + len(m.Zone) + len(m.Region) + len(m.Note)
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name    string
	Address string
	Zone    string
	Region  string
	Leaving bool
}

// Lister reads the router VMs from the platform's VM list, which may be out of
// date.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}

// Target identifies the member that a relay is asked to probe.
type Target struct {
	Name    string
	Address string
}

// Message is a probe or the reply to one.
type Message struct {
	// From is the sender.
	From Member

	// Target is the name of the member that the probe is meant for. It is empty
	// if the sender does not know the name.
	Target string

	// Updates are changes to members, the most recent first. If the details of
	// a member have not changed recently, its update has only the name,
	// incarnation, round and state. A process that lacks the details asks for
	// them.
	Updates []Member

	// Summary is a hash of the live members that the sender knows.
	Summary uint64

	// Buckets are the partial hashes that make up the summary. They are sent
	// when the summaries of two members differed; the other side adds the
	// members of the buckets that differ to its updates.
	Buckets []uint64

	// Full asks for all members. A member that joins sets it. Together with
	// Buckets it asks for the members of the buckets that differ, with all
	// their details.
	Full bool

	// Extra is the payload of the sender's Delegate.
	Extra []byte
}

// Transport sends probes to other members. Each call honors the deadline of its
// context. Implementations must be safe for concurrent use.
type Transport interface {
	// Exchange sends a message to the member at address and returns its reply.
	Exchange(ctx context.Context, address string, message Message) (Message, error)

	// Relay asks the member at address to probe target. It returns nil if
	// target replied to that probe.
	Relay(ctx context.Context, address string, target Target) error
}

// Delegate piggybacks its own payload on probes and their replies.
type Delegate interface {
	// Payload returns the payload to send, at most ExtraBytes long.
	Payload() []byte

	// ReceiveProbe receives the payload of an incoming probe.
	ReceiveProbe(from Member, extra []byte)

	// ReceiveReply receives the payload of the reply to a probe that was sent at
	// the given time.
	ReceiveReply(from Member, extra []byte, sent time.Time)
}

// Event is a change of a member's state. Previous is zero for a new member.
type Event struct {
	Member   Member
	Previous State
	At       time.Time
}

// Stats counts what a node did since it started.
type Stats struct {
	Probes   uint64
	Failures uint64
	Relays   uint64
	Syncs    uint64
	Refuted  uint64
	Pauses   uint64

	// Health is the number of recent signs that this process itself is slow,
	// from 0 (none) to maxHealth.
	Health int
}
