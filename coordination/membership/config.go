package membership

import (
	"math"
	"time"
)

const (
	// NoteBytes is the maximum length of a member's note.
	NoteBytes = 64

	// ExtraBytes is the maximum length of the delegate's payload on each
	// message.
	ExtraBytes = 1024

	// UpdateBytes bounds the updates on an ordinary message.
	UpdateBytes = 600

	// SyncBytes bounds the updates on a message that synchronizes two views.
	SyncBytes = 4000

	// FullSyncBytes bounds the updates on the reply to a member that joins.
	FullSyncBytes = 48 << 10

	// bucketCount is the number of partial hashes that make up the summary of a
	// view.
	bucketCount = 32

	// maxHealth bounds Stats.Health.
	maxHealth = 6

	// relayCount is the number of members that are asked to relay a probe, and
	// of those to which a refutation or a departure is sent at once.
	relayCount = 3

	// maxInflight bounds the number of concurrent probes.
	maxInflight = 16

	// maxUnverifiedDeaths bounds Node.unverifiedDeaths.
	maxUnverifiedDeaths = 1024

	// maxCorrectionBytes bounds the newer records in the reply to a probe.
	maxCorrectionBytes = SyncBytes
)

// Config identifies this process and sets the timing of a node. Zero durations
// take the default given with each field.
type Config struct {
	// Self describes this process. Name and Address are required; New sets
	// State, Round and Incarnation.
	Self Member

	Transport Transport
	Lister    Lister

	// Delegate adds its payload to probes and replies. It may be nil.
	Delegate Delegate

	// OnEvent is called for each event, in order. It may be nil.
	OnEvent func(Event)

	// OnTick is called on each iteration of the probe loop, so that a watchdog
	// can tell that the loop is running. It may be nil.
	OnTick func()

	// ProbeInterval is the time between two probes. Default 1 s.
	ProbeInterval time.Duration

	// ProbeTimeout is how long to wait for the reply to a probe within a
	// region. It is doubled across regions. Default 500 ms.
	ProbeTimeout time.Duration

	// SuspicionTimeout is the base of the time from suspicion to death, which
	// is this value times 1 + log10 of the number of members. Default 1.5 s.
	SuspicionTimeout time.Duration

	// DeadRetention is how long the record of a dead member is kept. Default 10
	// min.
	DeadRetention time.Duration

	// RetryInterval is the time between two attempts to reach a member that is
	// on the VM list but not live. Default 5 s.
	RetryInterval time.Duration

	// SyncInterval is the minimum time between two attempts to synchronize
	// views. Default 5 s.
	SyncInterval time.Duration

	// ListInterval is the time between two reads of the VM list by a process
	// that knows no other members. The interval grows with the number of
	// members, because the list also names the backend servers and so grows
	// with the fleet: every membersPerListInterval members add one more
	// ListInterval. Default 30 s.
	ListInterval time.Duration
}

// setDefaults replaces durations that are not positive by their defaults.
func (c *Config) setDefaults() {
	fallback := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	fallback(&c.ProbeInterval, time.Second)
	fallback(&c.ProbeTimeout, 500*time.Millisecond)
	fallback(&c.SuspicionTimeout, 1500*time.Millisecond)
	fallback(&c.DeadRetention, 10*time.Minute)
	fallback(&c.RetryInterval, 5*time.Second)
	fallback(&c.SyncInterval, 5*time.Second)
	fallback(&c.ListInterval, 30*time.Second)
}

// membersPerListInterval is the number of members that adds one more
// ListInterval to the time between two reads of the VM list.
const membersPerListInterval = 20

// listInterval returns the time between two reads of the VM list, given the
// number of live members besides this process.
func (c *Config) listInterval(members int) time.Duration {
	return c.ListInterval + c.ListInterval*time.Duration(members)/membersPerListInterval
}

// suspicionTimeout returns the time from suspicion to death among the given
// number of members. It grows with health, the number of signs that this
// process is slow.
func (c *Config) suspicionTimeout(members, health int, crossRegion bool) time.Duration {
	d := time.Duration(float64(c.SuspicionTimeout) * (1 + math.Log10(float64(max(members, 1)))))
	if crossRegion {
		d += d / 2
	}
	return d + d*time.Duration(health)/2
}

// probeTimeout returns how long to wait for the reply to a probe. It grows with
// health, the number of signs that this process is slow.
func (c *Config) probeTimeout(health int, crossRegion bool) time.Duration {
	d := c.ProbeTimeout
	if crossRegion {
		d *= 2
	}
	return d + d*time.Duration(health)/2
}
