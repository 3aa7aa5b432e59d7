package uplink

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// State is what a router knows of its links to the backend servers.
type State uint8

const (
	// Reached means that servers answer, or that nothing speaks against it.
	Reached State = iota

	// Suspected means that there is a reason for doubt, and that no server has answered since.
	Suspected

	// CutOff means that no server answers this router while other routers hear them.
	CutOff

	// Silent means that no router is known to hear any server, for longer than sound servers
	// stand still.
	Silent
)

// stateNames are the names of the states in logs, in the order of the constants.
var stateNames = [...]string{"reached", "suspected", "cut off", "silent"}

// String returns the name for logs.
func (s State) String() string { return stateNames[s] }

const (
	// tickInterval is the interval at which the contacts are looked at, and doubtTickInterval that
	// while servers are not known to be reached: each step of the verdict waits for the next look.
	tickInterval      = 50 * time.Millisecond
	doubtTickInterval = 20 * time.Millisecond

	// verdictTime is how long probes are awaited before the router counts as cut off.
	verdictTime = 250 * time.Millisecond

	// confirmTime is how long the router goes on hearing nothing after another one has heard a
	// server, before it counts as cut off: servers that stood still don't go on all at once.
	confirmTime = 250 * time.Millisecond

	// silentTime is how long nothing may be heard from any server before requests are refused,
	// if no other router is known to hear one either. Sound servers may stand still for 1.5 s.
	silentTime = 2500 * time.Millisecond

	// calmTime is the time after a doubt that was unfounded in which there is no new one.
	calmTime = 500 * time.Millisecond

	// maxTickGap is the time between two ticks above which the router itself stood still, so
	// that nothing could be heard.
	maxTickGap = 300 * time.Millisecond

	// lateTickGap is the time since the last tick above which the router is short of processor
	// time.
	lateTickGap = tickInterval + 100*time.Millisecond
)

// Change is a change of the state.
type Change struct {
	State State
	Last  State

	// Lasted is how long the last state lasted, Unheard the time since the last byte from any
	// server, and Failing the number of servers whose connections failed.
	Lasted  time.Duration
	Unheard time.Duration
	Failing int
}

// Config configures a monitor.
type Config struct {
	Contacts *Contacts

	// Servers returns servers that may be probed.
	Servers func() []string

	// Probe makes an exchange with a server on a new connection, and returns nil if any
	// response came.
	Probe func(ctx context.Context, server string) error

	// LinkFailed reports whether an error of Probe shows that the connection could not be made or
	// broke without a response.
	LinkFailed func(error) bool

	// PeerHeardAfter reports whether another router has heard a server after a time.
	PeerHeardAfter func(time.Time) bool

	// Shuffle puts servers in a random order.
	Shuffle func([]string)

	// OnChange is told of changes, except for doubts that were unfounded. It must not block or
	// call the monitor.
	OnChange func(Change)
}

// Monitor tells whether the router reaches the backend servers. Its methods are safe for
// concurrent use.
type Monitor struct {
	config Config

	// mu guards the fields below. since is when the state began, and settled the last state
	// that OnChange was told of, since settledSince. doubtAt is when the present doubt began.
	// A doubt is over with the first answer to a probe that was sent since.
	mu           sync.Mutex
	state        State
	since        time.Time
	settled      State
	settledSince time.Time
	doubtAt      time.Time
	probedAt     time.Time
	calmUntil    time.Time
	tickedAt     time.Time

	// peerHeardAt is when it was first known in the present doubt that another router has heard a
	// server since it began, or the zero time.
	peerHeardAt time.Time

	// pending is the number of probes of the present doubt that have no outcome yet, and answered
	// says that one of its probes was answered.
	pending  int
	answered bool

	// changed is closed and replaced when the state changes.
	changed chan struct{}

	// wake receives a signal to look at the contacts before the next tick.
	wake chan struct{}
}

// NewMonitor returns a monitor that counts the servers as reached. It does nothing before Run.
func NewMonitor(now time.Time, config Config) *Monitor {
	return &Monitor{
		config: config, since: now, settledSince: now, tickedAt: now,
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Run watches the links until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if next := m.lookInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("watch links to servers: %w", ctx.Err())
		case <-ticker.C:
			m.tick(ctx, time.Now())
		case <-m.wake:
			m.look(ctx, time.Now())
		}
	}
}

// lookInterval returns the interval at which the contacts are looked at in the present state.
func (m *Monitor) lookInterval() time.Duration {
	if m.State() == Reached {
		return tickInterval
	}
	return doubtTickInterval
}

// State returns the state.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// CutOffFor returns for how long the router has been cut off, or zero if it is not.
func (m *Monitor) CutOffFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != CutOff {
		return 0
	}
	return now.Sub(m.since)
}

// Behind reports whether the router is so short of processor time that the monitor's ticks come
// late.
func (m *Monitor) Behind(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.tickedAt) > lateTickGap
}

// HeardSinceChange reports whether any server was heard since the state began.
func (m *Monitor) HeardSinceChange() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	heardAt, heard := m.config.Contacts.HeardAt()
	return heard && heardAt.After(m.since)
}

// AwaitVerdict waits until a doubt is over or confirmed, at most for a time, and returns the
// state. Without a doubt it returns at once.
func (m *Monitor) AwaitVerdict(ctx context.Context, limit time.Duration) State {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		m.mu.Lock()
		state, changed := m.state, m.changed
		m.mu.Unlock()
		if state != Suspected {
			return state
		}
		select {
		case <-changed:
		case <-timer.C:
			return state
		case <-ctx.Done():
			return state
		}
	}
}

// Doubt has the contacts looked at before the next tick, as an exchange has failed.
func (m *Monitor) Doubt() {
	select {
	case m.wake <- struct{}{}:
	default: // It is due already.
	}
}

// tick looks at the contacts. A router that stood still begins with a doubt anew, as it could
// hear nothing.
func (m *Monitor) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	if now.Sub(m.tickedAt) > maxTickGap && m.state == Suspected {
		m.beginDoubt(now)
	}
	m.tickedAt = now
	m.mu.Unlock()
	m.look(ctx, now)
}

// look begins or ends a doubt by the contacts, and sends probes if they are due.
func (m *Monitor) look(ctx context.Context, now time.Time) {
	doubtAt, due := m.doubt(now, m.config.Contacts.suspicious(now))
	if doubtAt.IsZero() {
		return
	}
	if due {
		m.probe(ctx, doubtAt)
	}
	m.judge(now)
}

// doubt begins or ends a doubt. It returns when the present one began, or the zero time, and
// whether probes are due.
func (m *Monitor) doubt(now time.Time, suspicious bool) (doubtAt time.Time, probe bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.state == Reached && suspicious && !now.Before(m.calmUntil):
		m.beginDoubt(now)
		m.change(now, Suspected)
	case m.state == Suspected && !suspicious:
		m.change(now, Reached)
	}
	if m.state == Reached {
		return time.Time{}, false
	}
	interval := probeInterval
	if m.state == Suspected {
		interval = doubtInterval
	}
	probe = now.Sub(m.probedAt) >= interval
	if probe {
		m.probedAt = now
	}
	return m.doubtAt, probe
}

// beginDoubt begins a doubt. The caller holds m.mu.
func (m *Monitor) beginDoubt(now time.Time) {
	m.doubtAt, m.pending, m.answered, m.probedAt, m.peerHeardAt = now, 0, false, time.Time{}, time.Time{}
}

// judge confirms a doubt.
func (m *Monitor) judge(now time.Time) {
	m.mu.Lock()
	doubtAt := m.doubtAt
	m.mu.Unlock()
	peerHeard := m.config.PeerHeardAfter(doubtAt)
	heardAt, _ := m.config.Contacts.HeardAt()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.doubtAt != doubtAt {
		return
	}
	switch {
	case !peerHeard:
		m.peerHeardAt = time.Time{}
	case m.peerHeardAt.IsZero():
		m.peerHeardAt = now
	}
	if now.Sub(m.doubtAt) < verdictTime && m.pending > 0 {
		return
	}
	switch {
	case (m.state == Suspected || m.state == Silent) && peerHeard && now.Sub(m.peerHeardAt) >= confirmTime:
		m.change(now, CutOff)
	case m.state == Suspected && now.Sub(m.doubtAt) >= silentTime && !heardAt.After(m.doubtAt):
		m.change(now, Silent)
	case m.state == Silent && heardAt.After(m.since):
		m.beginDoubt(now)
		m.change(now, Suspected)
	}
}

// change sets the state. The caller holds m.mu.
func (m *Monitor) change(now time.Time, next State) {
	m.state, m.since = next, now
	close(m.changed)
	m.changed = make(chan struct{})
	if next == Suspected || next == m.settled {
		return
	}
	heardAt, _ := m.config.Contacts.HeardAt()
	change := Change{State: next, Last: m.settled, Lasted: now.Sub(m.settledSince), Unheard: now.Sub(heardAt), Failing: m.config.Contacts.Failing()}
	m.settled, m.settledSince = next, now
	m.config.OnChange(change)
}
