package uplink

import (
	"context"
	"slices"
	"time"
)

const (
	// doubtInterval is the time between two rounds of probes while there is doubt, and
	// probeInterval that while it is known that no server answers. probeCount is the number of
	// servers in a round, and probeTimeout how long a probe may take.
	doubtInterval = 100 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	probeCount    = 4
	probeTimeout  = time.Second
)

// probe asks some servers, first those whose connections did not fail.
func (m *Monitor) probe(ctx context.Context, doubtAt time.Time) {
	servers := m.config.Servers()
	m.config.Shuffle(servers)
	slices.SortStableFunc(servers, func(a, b string) int {
		return boolOrder(m.config.Contacts.isFailing(a)) - boolOrder(m.config.Contacts.isFailing(b))
	})
	servers = servers[:min(len(servers), probeCount)]
	m.mu.Lock()
	m.pending += len(servers)
	if len(servers) == 0 { // Without servers there is no link to doubt.
		m.config.Contacts.clearFailures()
		m.change(time.Now(), Reached)
	}
	m.mu.Unlock()
	for _, server := range servers {
		go m.probeOne(ctx, server, doubtAt)
	}
}

// boolOrder returns the position of a value in an order of false before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// probeOne asks one server.
func (m *Monitor) probeOne(ctx context.Context, server string, doubtAt time.Time) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := m.config.Probe(probeCtx, server)
	now := time.Now()
	refused := err != nil && probeCtx.Err() == nil && m.config.LinkFailed(err)
	if m.endProbe(now, server, doubtAt, err == nil, refused) {
		m.judge(now)
	}
}

// endProbe records the outcome of a probe. A refused one counts as a failed connection of its
// server, so that responses on connections that were open before don't end the doubt. One whose
// time is over does not: the server may stand still. It reports whether the last probe that was
// awaited failed.
func (m *Monitor) endProbe(now time.Time, server string, doubtAt time.Time, answered, refused bool) (failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if answered {
		m.config.Contacts.Heard(now)
		m.config.Contacts.clearFailures()
	}
	if m.doubtAt != doubtAt {
		return false // It belongs to an earlier doubt.
	}
	m.pending--
	switch {
	case answered:
		m.answered = true
		if m.state != Reached {
			m.calmUntil = now.Add(calmTime)
			m.change(now, Reached)
		}
	case refused && !m.answered:
		m.config.Contacts.fail(server)
	}
	return !answered && m.pending == 0
}
