package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the members, this process included.
type View struct {
	// Members are sorted by name. Dead and left members are among them until
	// they are forgotten.
	Members []Member

	// Self is this process.
	Self Member

	live   []Member
	hashes []uint64
	roster uint64
}

// newView returns the view of members, which the caller gives away.
func newView(self Member, members []Member) *View {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	v := &View{Members: members, Self: self}
	digest := xxhash.New()
	for _, m := range members {
		if !m.State.Live() {
			continue
		}
		v.live = append(v.live, m)
		v.hashes = append(v.hashes, xxhash.Sum64String(m.Name))
		_, _ = digest.WriteString(m.Name)
		var raw [8]byte
		putUint64(&raw, m.Incarnation)
		_, _ = digest.Write(raw[:])
	}
	v.roster = digest.Sum64()
	return v
}

// Live returns the live members sorted by name. The caller must not change it.
func (v *View) Live() []Member {
	return v.live
}

// RosterHash is a hash of the names and incarnations of the live members. Two
// views with the same roster have the same processes in the same order.
func (v *View) RosterHash() uint64 {
	return v.roster
}

// Find returns the member of that name.
func (v *View) Find(name string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Name >= name })
	if i < len(v.Members) && v.Members[i].Name == name {
		return v.Members[i], true
	}
	return Member{}, false
}

// Home returns the member that a key belongs to by rendezvous hashing over the
// live members that are not leaving. It reports false if there is none.
func (v *View) Home(key string) (Member, bool) {
	return v.home(key, func(Member) bool { return true })
}

// HomeInZone is Home among the members of an availability zone, or among all if
// the zone has none.
func (v *View) HomeInZone(zone, key string) (Member, bool) {
	if m, ok := v.home(key, func(m Member) bool { return m.Zone == zone }); ok {
		return m, true
	}
	return v.Home(key)
}

// home returns the member with the highest score among those that fit.
func (v *View) home(key string, fits func(Member) bool) (Member, bool) {
	sum := xxhash.Sum64String(key)
	best, found, top := 0, false, uint64(0)
	for i, m := range v.live {
		if m.State == Leaving || !fits(m) {
			continue
		}
		if score := mix(v.hashes[i], sum); !found || score > top {
			best, found, top = i, true, score
		}
	}
	if !found {
		return Member{}, false
	}
	return v.live[best], true
}

// mix hashes two hashes into one.
func mix(a, b uint64) uint64 {
	var raw [16]byte
	putUint64((*[8]byte)(raw[:8]), a)
	putUint64((*[8]byte)(raw[8:]), b)
	return xxhash.Sum64(raw[:])
}

// putUint64 writes v into raw, lowest byte first.
func putUint64(raw *[8]byte, v uint64) {
	for i := range raw {
		raw[i] = byte(v >> (8 * i))
	}
}
