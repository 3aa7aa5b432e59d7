package schedule

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/share"
)

// pool holds the servers of one owner that run the same models or the same
// service. Their slots are divided between routers as a unit.
type pool struct {
	name share.PoolName

	// servers is sorted by rank, a hash of the server's name.
	servers []*server
	sets    []*serverSet
}

// Apply switches the core to a new snapshot. No waiting ticket is lost or
// refused by it.
func (c *Core) Apply(now time.Time, snapshot *fleet.Snapshot) {
	c.snapshot = snapshot
	c.indexServers()
	for _, l := range c.lines {
		c.linkSets(l)
		for _, changed := range snapshot.Classes {
			l.queue.UpdateClass(changed)
		}
		l.queue.Items(func(item *item) bool {
			c.setTimer(now, item.Value)
			return true
		})
	}
	c.DivideSlots(now)
}

// indexServers rebuilds the servers, sets and pools from the snapshot. Servers
// keep what was learned about them; a removed server stays referenced by the
// tickets that still run on it.
func (c *Core) indexServers() {
	if c.updateSameServers() {
		return
	}
	old := c.servers
	oldSets := c.sets
	c.servers = make(map[string]*server, len(old))
	c.sets = make(map[serverSetKey]*serverSet)
	c.orderedServers = c.orderedServers[:0]
	c.pools = nil
	pools := make(map[share.PoolName]*pool)
	for _, configured := range c.snapshot.OrderedServers {
		s, ok := old[configured.Name]
		if !ok {
			s = newServer(configured)
		}
		s.Server = configured
		s.sets = nil
		s.openPositions = nil
		c.servers[configured.Name] = s
		c.orderedServers = append(c.orderedServers, s)
		c.addServer(s, pools, oldSets)
	}
	for _, p := range c.pools {
		slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.rank, b.rank) })
	}
	for _, s := range c.orderedServers {
		for _, member := range s.sets {
			member.running += s.running
			member.borrowed += s.borrowed
		}
	}
}

// updateSameServers is the fast path of indexServers for a snapshot with the
// same servers in the same order, as most changes are to classes and contracts.
// It reports false, and changes nothing, if any server differs.
func (c *Core) updateSameServers() bool {
	servers := c.snapshot.OrderedServers
	if len(servers) != len(c.orderedServers) || len(servers) == 0 {
		return false
	}
	for i, s := range c.orderedServers {
		if !equalForIndex(s.Server, servers[i]) {
			return false
		}
	}
	for i, s := range c.orderedServers {
		s.Server = servers[i]
	}
	return true
}

// equalForIndex reports whether two servers are equal in everything that
// indexServers depends on.
func equalForIndex(a, b *backend.Server) bool {
	if a.Name != b.Name || a.Partner != b.Partner || a.Kind != b.Kind || a.Service != b.Service {
		return false
	}
	return a.State == b.State && a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// addServer adds a server to its pool and its sets.
func (c *Core) addServer(s *server, pools map[share.PoolName]*pool, oldSets map[serverSetKey]*serverSet) {
	targets := s.Models
	service := s.Kind == backend.KindService
	if service {
		targets = []string{s.Service}
	}
	s.pool = PoolName(s.Partner, targets, service)
	p, ok := pools[s.pool]
	if !ok {
		p = &pool{name: s.pool}
		pools[s.pool] = p
		c.pools = append(c.pools, p)
	}
	p.servers = append(p.servers, s)
	for _, target := range targets {
		key := serverSetKey{target: target, service: service, owner: s.Partner}
		set, ok := c.sets[key]
		if !ok {
			set = newServerSet(target, s.Partner, service)
			if previous, ok := oldSets[key]; ok {
				set.tokenLatency, set.startDelay, set.deviation = previous.tokenLatency, previous.startDelay, previous.deviation
			}
			c.sets[key] = set
		}
		set.add(s)
		if !slices.Contains(p.sets, set) {
			p.sets = append(p.sets, set)
		}
	}
}

// PoolName derives the name of a pool from its owner and what it serves. Every
// demand report contains the names, so they are short: 48 bits of a hash,
// base64-encoded.
func PoolName(owner string, targets []string, service bool) share.PoolName {
	const nameBytes = 6
	sorted := slices.Clone(targets)
	slices.Sort(sorted)
	kind := "model"
	if service {
		kind = "service"
	}
	hash := xxhash.Sum64String(owner + "/" + kind + "/" + strings.Join(sorted, ","))
	raw := binary.BigEndian.AppendUint64(nil, hash)
	return share.PoolName(base64.RawStdEncoding.EncodeToString(raw[:nameBytes]))
}

// linkSets finds the sets that a line may use.
func (c *Core) linkSets(l *line) {
	l.ownSets = nil
	l.lentSets = nil
	for key, s := range c.sets {
		if key.target != l.key.target || key.service != l.key.service {
			continue
		}
		if key.owner == l.key.partner || key.owner == "" || l.key.partner == "" {
			l.ownSets = append(l.ownSets, s)
			continue
		}
		if fraction := c.lentFraction(key.owner, l.key.partner); fraction > 0 {
			l.lentSets = append(l.lentSets, loan{set: s, share: fraction})
		}
	}
	slices.SortFunc(l.ownSets, func(a, b *serverSet) int { return strings.Compare(a.owner, b.owner) })
	slices.SortFunc(l.lentSets, func(a, b loan) int { return strings.Compare(a.set.owner, b.set.owner) })
}

// lentFraction returns the fraction of the owner's servers that is lent to a
// partner.
func (c *Core) lentFraction(owner, borrower string) float64 {
	partner, ok := c.snapshot.Partners[owner]
	if !ok {
		return 0
	}
	for _, l := range partner.Loans {
		if l.Borrower == borrower {
			return l.MaxShare
		}
	}
	return 0
}
