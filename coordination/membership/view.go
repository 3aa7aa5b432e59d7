package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the members, this process included.
type View struct {
	// Members are sorted by name. Dead and left members are included until
	// their records are dropped.
	Members []Member

	// Self is this process.
	Self Member

	live       []Member
	nameHashes []uint64
	rosterHash uint64
}

// newView returns the view of members. It takes ownership of the slice.
func newView(self Member, members []Member) *View {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	v := &View{Members: members, Self: self}
	hash := xxhash.New()
	for _, m := range members {
		if !m.State.Live() {
			continue
		}
		v.live = append(v.live, m)
		v.nameHashes = append(v.nameHashes, xxhash.Sum64String(m.Name))
		_, _ = hash.WriteString(m.Name)
		var raw [8]byte
		putUint64(&raw, m.Incarnation)
		_, _ = hash.Write(raw[:])
	}
	v.rosterHash = hash.Sum64()
	return v
}

// Live returns the live members sorted by name. The caller must not modify the
// slice.
func (v *View) Live() []Member {
	return v.live
}

// RosterHash returns a hash of the names and incarnations of the live members.
// Two views with the same hash list the same processes in the same order.
func (v *View) RosterHash() uint64 {
	return v.rosterHash
}

// Find returns the member with the given name.
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
	return v.homeAmong(key, func(Member) bool { return true })
}

// HomeInZone is like Home, but only considers the members of an availability
// zone, or all members if the zone has none.
func (v *View) HomeInZone(zone, key string) (Member, bool) {
	if m, ok := v.homeAmong(key, func(m Member) bool { return m.Zone == zone }); ok {
		return m, true
	}
	return v.Home(key)
}

// homeAmong returns the eligible member with the highest score for the key.
func (v *View) homeAmong(key string, eligible func(Member) bool) (Member, bool) {
	sum := xxhash.Sum64String(key)
	best, found, highest := 0, false, uint64(0)
	for i, m := range v.live {
		if m.State == Leaving || !eligible(m) {
			continue
		}
		if score := combineHashes(v.nameHashes[i], sum); !found || score > highest {
			best, found, highest = i, true, score
		}
	}
	if !found {
		return Member{}, false
	}
	return v.live[best], true
}

// combineHashes hashes two hashes into one.
func combineHashes(a, b uint64) uint64 {
	var raw [16]byte
	putUint64((*[8]byte)(raw[:8]), a)
	putUint64((*[8]byte)(raw[8:]), b)
	return xxhash.Sum64(raw[:])
}

// putUint64 writes v to raw in little-endian order.
func putUint64(raw *[8]byte, v uint64) {
	for i := range raw {
		raw[i] = byte(v >> (8 * i))
	}
}
