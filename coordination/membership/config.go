package membership

import (
	"math"
	"time"
)

const (
	// NoteBytes bounds the note of a member.
	NoteBytes = 64

	// ExtraBytes bounds the data of a carrier on each message.
	ExtraBytes = 1024

	// UpdateBytes bounds the updates on an ordinary message.
	UpdateBytes = 600

	// SyncBytes bounds the updates on a message that brings two views together.
	SyncBytes = 4000

	// FullSyncBytes bounds the updates on the answer to a member that joins.
	FullSyncBytes = 48 << 10

	buckets       = 32
	maxHealth     = 6
	relays        = 3
	maxFlying     = 16
	maxVerify     = 1024
	maxAddedBytes = SyncBytes
)

// Config says who a pool is and how it keeps time. Zero durations take the
// defaults given with each.
type Config struct {
	// Self names this process; Name and Address are required. State, Round and
	// Incarnation are set by the pool.
	Self Member

	Transport Transport
	Lister    Lister

	// Delegate may be nil.
	Delegate Delegate

	// OnEvent is called for each event, in order. It may be nil.
	OnEvent func(Event)

	// OnTick is called on each turn of the pool's loop, so that a watchdog sees
	// that it turns. It may be nil.
	OnTick func()

	// Period is the time between two probes. Default 1 s.
	Period time.Duration

	// ProbeTimeout is the time for the answer to a probe within a region. It is
	// doubled across regions. Default 500 ms.
	ProbeTimeout time.Duration

	// SuspicionTimeout is the time from suspicion to death for each power of ten in
	// the number of members, and once more. Default 1.5 s.
	SuspicionTimeout time.Duration

	// DeadRetention is the time after which a dead member is forgotten. Default 10 min.
	DeadRetention time.Duration

	// RetryInterval is the time between two attempts to reach a member that is listed
	// but not live. Default 5 s.
	RetryInterval time.Duration

	// SyncInterval is the least time between two attempts to bring two views
	// together. Default 5 s.
	SyncInterval time.Duration

	// ListInterval is the time between two reads of the VM list by a process that
	// knows no other. It rises with the number of members, because the list
	// names the backend servers as well and grows with the fleet: twice as long
	// among listingMembers, and so on. Default 30 s.
	ListInterval time.Duration
}

// fill sets the defaults.
func (c *Config) fill() {
	fallback := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	fallback(&c.Period, time.Second)
	fallback(&c.ProbeTimeout, 500*time.Millisecond)
	fallback(&c.SuspicionTimeout, 1500*time.Millisecond)
	fallback(&c.DeadRetention, 10*time.Minute)
	fallback(&c.RetryInterval, 5*time.Second)
	fallback(&c.SyncInterval, 5*time.Second)
	fallback(&c.ListInterval, 30*time.Second)
}

// listingMembers is the number of members that adds one more Listing to the
// time between two reads of the VM list.
const listingMembers = 20

// listing returns the time between two reads of the VM list among n members
// besides this process.
func (c *Config) listing(n int) time.Duration {
	return c.ListInterval + c.ListInterval*time.Duration(n)/listingMembers
}

// suspicion returns the time from suspicion to death among n members.
func (c *Config) suspicion(n, health int, far bool) time.Duration {
	d := time.Duration(float64(c.SuspicionTimeout) * (1 + math.Log10(float64(max(n, 1)))))
	if far {
		d += d / 2
	}
	return d + d*time.Duration(health)/2
}

// timeout returns the time for the answer to a probe.
func (c *Config) timeout(health int, far bool) time.Duration {
	d := c.ProbeTimeout
	if far {
		d *= 2
	}
	return d + d*time.Duration(health)/2
}
