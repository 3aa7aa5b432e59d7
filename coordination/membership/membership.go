// Package membership tells each router which other routers run, without any
// coordination service. Members probe each other, spread what they learn on
// the probes, suspect a member before they hold it dead, and seed themselves
// from the platform's VM list.
//
// It gives no agreement: two members may hold different views at the same
// time. A view may choose whom to ask or tell first; it must never decide
// alone who may act for all.
//
// The package imports the standard library and the hash library.
package membership

import (
	"context"
	"time"
)

// State is what one member holds of another. States of one round of one
// incarnation only rise.
type State uint8

// The states of a member. Suspect members still count as live.
const (
	Alive State = iota + 1
	Leaving
	Suspect
	Dead
	Left
)

// String returns the state in lower case.
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

// Live reports whether a member in this state is believed to run.
func (s State) Live() bool {
	return s == Alive || s == Leaving || s == Suspect
}

// Member is what is known of one router VM. A member is identified by its
// name; Incarnation differs between two processes of the same name, and Round
// rises each time a process contradicts a suspicion of itself.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Region      string
	Incarnation uint64
	Round       uint32
	State       State

	// Note is opaque data of the member, at most NoteBytes long, and Version
	// rises with each change of it.
	Note    []byte
	Version uint64
}

// supersedes reports whether m is newer than other, their notes aside.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Round != other.Round {
		return m.Round > other.Round
	}
	return m.State > other.State
}

// brief returns what others need to hear of a member that they know already
// and that is suspected or gone. An empty Address marks it.
func (m Member) brief() Member {
	if m.State == Alive || m.State == Leaving {
		return m
	}
	return m.bare()
}

// bare returns the member without what only a new process or note changes. An
// empty Address marks it.
func (m Member) bare() Member {
	return Member{Name: m.Name, Incarnation: m.Incarnation, Round: m.Round, State: m.State}
}

// weight is an upper bound of the encoded size of the member in bytes.
func (m Member) weight() int {
	const fixed = 48
	const short = 28
	if m.Address == "" {
		return short + len(m.Name)
	}
	return fixed + len(m.Name) + len(m.Address) + len(m.Zone) + len(m.Region) + len(m.Note)
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name    string
	Address string
	Zone    string
	Region  string
	Leaving bool
}

// Lister reads the router VMs from the platform's VM list, which lags.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}

// Target names the member that a relay is asked to probe.
type Target struct {
	Name    string
	Address string
}

// Message is a probe or its answer.
type Message struct {
	// From is the sender itself.
	From Member

	// Target is the name of the member that the probe is for. It is empty if
	// the sender does not know the name.
	Target string

	// Updates are news, most recently changed first. They may lack everything
	// but name, incarnation, round and state if the rest changed long ago. A
	// process that does not know the rest asks for it.
	Updates []Member

	// Summary is a hash of the live members that the sender knows.
	Summary uint64

	// Buckets are the parts of the summary. They are sent when the summaries
	// of two members differed; the other side adds the members of parts that
	// differ to its updates.
	Buckets []uint64

	// Full asks for all members. A member that joins sets it. With Buckets it
	// asks for the members of the parts that differ with all that is known of
	// them.
	Full bool

	// Extra is data of the caller of this package.
	Extra []byte
}

// Transport carries probes to other members. Each call honors the deadline of
// its context. Implementations are safe for concurrent use.
type Transport interface {
	// Exchange sends a message to the member at address and returns its answer.
	Exchange(ctx context.Context, address string, message Message) (Message, error)

	// Relay asks the member at address to probe target. A nil error says that
	// target answered it.
	Relay(ctx context.Context, address string, target Target) error
}

// Delegate adds data of its own to probes and their answers.
type Delegate interface {
	// Load returns the data to send, at most ExtraBytes of it.
	Load() []byte

	// Ask takes the data of a probe that arrived.
	Ask(from Member, extra []byte)

	// Answer takes the data of an answer to a probe that left at sent.
	Answer(from Member, extra []byte, sent time.Time)
}

// Event is a change of a member's state. Before is zero for a new member.
type Event struct {
	Member   Member
	Previous State
	At       time.Time
}

// Stats counts what a pool did since it started.
type Stats struct {
	Probes   uint64
	Failures uint64
	Relays   uint64
	Syncs    uint64
	Refuted  uint64
	Pauses   uint64

	// Health is the number of recent signs that this process itself is slow,
	// from 0 (none) to the largest number that is counted.
	Health int
}
