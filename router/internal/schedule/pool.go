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

// pool holds the servers of an owner that run the same models or service. Their
// slots are divided between routers as one.
type pool struct {
	name share.PoolName

	// servers are in the order of their hashes.
	servers []*server
	sets    []*set
}

// Apply makes the core follow a snapshot, also for what waits: no waiting
// ticket is lost or refused by it.
func (c *Core) Apply(now time.Time, snapshot *fleet.Snapshot) {
	c.snapshot = snapshot
	c.indexServers()
	for _, l := range c.lines {
		c.connect(l)
		for _, changed := range snapshot.Classes {
			l.queue.UpdateClass(changed)
		}
		l.queue.Items(func(item *item) bool {
			c.arm(now, item.Value)
			return true
		})
	}
	c.DivideSlots(now)
}

// indexServers brings servers, sets and pools up to date. Servers keep what was
// learned of them; one that is gone lives on in the tickets that it still runs.
func (c *Core) indexServers() {
	if c.sameServers() {
		return
	}
	old := c.servers
	oldSets := c.sets
	c.servers = make(map[string]*server, len(old))
	c.sets = make(map[setKey]*set)
	c.order = c.order[:0]
	c.pools = nil
	pools := make(map[share.PoolName]*pool)
	for _, plain := range c.snapshot.Order {
		s, ok := old[plain.Name]
		if !ok {
			s = newServer(plain)
		}
		s.Server = plain
		s.sets = nil
		s.positions = nil
		c.servers[plain.Name] = s
		c.order = append(c.order, s)
		c.join(s, pools, oldSets)
	}
	for _, p := range c.pools {
		slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.rank, b.rank) })
	}
	for _, s := range c.order {
		for _, member := range s.sets {
			member.running += s.running
			member.borrowed += s.borrowed
		}
	}
}

// sameServers takes over the servers of a snapshot in which they are the same as
// before, in the same order. Most changes are of classes and contracts. It
// reports false, and does nothing, if any differs.
func (c *Core) sameServers() bool {
	servers := c.snapshot.Order
	if len(servers) != len(c.order) || len(servers) == 0 {
		return false
	}
	for i, s := range c.order {
		if !alike(s.Server, servers[i]) {
			return false
		}
	}
	for i, s := range c.order {
		s.Server = servers[i]
	}
	return true
}

// alike reports whether two servers are the same for the core.
func alike(a, b *backend.Server) bool {
	if a.Name != b.Name || a.Partner != b.Partner || a.Kind != b.Kind || a.Service != b.Service {
		return false
	}
	return a.State == b.State && a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// join puts a server into its sets and its pool.
func (c *Core) join(s *server, pools map[share.PoolName]*pool, oldSets map[setKey]*set) {
	targets := s.Models
	service := s.Kind == backend.Service
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
		key := setKey{target: target, service: service, owner: s.Partner}
		member, ok := c.sets[key]
		if !ok {
			member = newSet(target, s.Partner, service)
			if before, ok := oldSets[key]; ok {
				member.pace, member.start, member.deviation = before.pace, before.start, before.deviation
			}
			c.sets[key] = member
		}
		member.add(s)
		if !slices.Contains(p.sets, member) {
			p.sets = append(p.sets, member)
		}
	}
}

// PoolName names a pool by its owner and what it serves. Names go between
// routers in each note, so they are short: 48 bits of a hash, as text.
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

// connect finds the sets that a line may use.
func (c *Core) connect(l *line) {
	l.own = nil
	l.lent = nil
	for key, s := range c.sets {
		if key.target != l.key.target || key.service != l.key.service {
			continue
		}
		if key.owner == l.key.partner || key.owner == "" || l.key.partner == "" {
			l.own = append(l.own, s)
			continue
		}
		if part := c.lentTo(key.owner, l.key.partner); part > 0 {
			l.lent = append(l.lent, loan{set: s, share: part})
		}
	}
	slices.SortFunc(l.own, func(a, b *set) int { return strings.Compare(a.owner, b.owner) })
	slices.SortFunc(l.lent, func(a, b loan) int { return strings.Compare(a.set.owner, b.set.owner) })
}

// lentTo returns the fraction of the owner's servers that is lent to a partner.
func (c *Core) lentTo(owner, borrower string) float64 {
	partner, ok := c.snapshot.Partners[owner]
	if !ok {
		return 0
	}
	for _, l := range partner.Loans {
		if l.To == borrower {
			return l.Share
		}
	}
	return 0
}
