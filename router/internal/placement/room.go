package placement

import (
	"slices"
	"time"
)

// HasRoom reports whether a server of a service other than those given has a free
// slot and is not known to fail or to be silent.
func (b *Balancer) HasRoom(now time.Time, service string, except []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.service(service).members {
		if slices.Contains(except, m.ID) || now.Before(m.suspendedUntil) {
			continue
		}
		m.decay(now)
		m.updatePeers(now)
		if m.load() < max(m.Slots, 1) && m.excessFailureRate() == 0 {
			return true
		}
	}
	return false
}

// Unreachable reports whether connections to a server could not be made shortly
// before. It returns false for unknown servers.
func (b *Balancer) Unreachable(now time.Time, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[server]
	return ok && now.Before(s.suspendedUntil)
}
