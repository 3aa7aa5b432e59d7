package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is what this process knows about another member.
type record struct {
	member Member

	// stateSince is when this process recorded the current state.
	stateSince time.Time

	// deadline is when a suspect is declared dead. Death is never accepted from
	// others: each process that suspects a member waits for its own timeout,
	// and starts it anew in each round, because a higher round proves that the
	// member was running.
	deadline time.Time

	// consulted says that other members were asked about the suspicion.
	consulted bool

	// detailsChanged is when something other than the round and the state last
	// changed.
	detailsChanged time.Time

	// restarted says that the suspicion timeout was restarted because another
	// member of the region came back.
	restarted bool

	// recentDelay is a decaying maximum of the time that the member took to
	// reply.
	recentDelay time.Duration

	// leaving says that the member was leaving before it was suspected.
	leaving bool
	hash    uint64
}

// mergeResult is the outcome of merging an update.
type mergeResult uint8

const (
	// stale means that the record is newer than the update.
	stale mergeResult = iota

	// unchanged means that the update and the record agree.
	unchanged

	// applied means that the record has changed.
	applied

	// missingDetails means that the update lacks the address of a process that
	// is unknown here. The record, if there is one, is unchanged.
	missingDetails

	// unverifiedDeath means that the update claims the death of a member that
	// is live here. The record is unchanged and the member should be probed.
	unverifiedDeath
)

// registry holds the records of all other members. Node.mu guards it.
type registry struct {
	records  map[string]*record
	suspects map[string]*record
	buckets  [bucketCount]uint64
	live     int
}

// newRegistry returns an empty registry.
func newRegistry() *registry {
	return &registry{records: make(map[string]*record), suspects: make(map[string]*record)}
}

// bucketOf returns the index of the summary bucket that a name belongs to.
func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

// fingerprint hashes the fields on which two views should agree. It ignores
// suspicion, because that is temporary, and returns zero for members that are
// gone.
func fingerprint(m Member, leaving bool) uint64 {
	if !m.State.Live() {
		return 0
	}
	var raw [32]byte
	putUint64((*[8]byte)(raw[:8]), m.Incarnation)
	putUint64((*[8]byte)(raw[8:16]), uint64(m.Round))
	putUint64((*[8]byte)(raw[16:24]), m.Version)
	if leaving {
		raw[24] = 1
	}
	return combineHashes(xxhash.Sum64String(m.Name), xxhash.Sum64(raw[:]))
}

// rehash updates the bucket hashes, the live count and the suspects after a
// record has changed. wasLive says whether the member was live before.
func (r *registry) rehash(rec *record, wasLive bool) {
	b := bucketOf(rec.member.Name)
	r.buckets[b] ^= rec.hash
	rec.hash = fingerprint(rec.member, rec.leaving)
	r.buckets[b] ^= rec.hash
	isLive := rec.member.State.Live()
	switch {
	case isLive && !wasLive:
		r.live++
	case !isLive && wasLive:
		r.live--
	}
	if rec.member.State == Suspect {
		r.suspects[rec.member.Name] = rec
		return
	}
	delete(r.suspects, rec.member.Name)
}

// merge applies an update about another member. It returns the record, or nil
// if the member is unknown and the update does not add it, the state before,
// and the result.
func (r *registry) merge(u Member, now time.Time) (*record, State, mergeResult) {
	rec, known := r.records[u.Name]
	if !known {
		return r.add(u, now)
	}
	before := rec.member.State
	if u.Address == "" && u.State.Live() && u.Incarnation > rec.member.Incarnation {
		return rec, before, missingDetails
	}
	noteChanged := rec.mergeNote(u)
	if noteChanged {
		rec.detailsChanged = now
	}
	if !u.supersedes(rec.member) {
		if noteChanged {
			r.rehash(rec, before.Live())
			return rec, before, applied
		}
		if rec.member.supersedes(u) || u.Version != 0 && rec.member.Version > u.Version {
			return rec, before, stale
		}
		return rec, before, unchanged
	}
	if u.State == Dead && before.Live() {
		if noteChanged {
			r.rehash(rec, true)
		}
		return rec, before, unverifiedDeath
	}
	r.replace(rec, u, now)
	return rec, before, applied
}

// add adds a record for an unknown member, if the update describes a live one
// with its address.
func (r *registry) add(u Member, now time.Time) (*record, State, mergeResult) {
	if u.Name == "" || !u.State.Live() {
		return nil, 0, unchanged
	}
	if u.Address == "" {
		return nil, 0, missingDetails
	}
	rec := &record{member: u, stateSince: now, detailsChanged: now, leaving: u.State == Leaving}
	r.records[u.Name] = rec
	r.rehash(rec, false)
	return rec, 0, applied
}

// mergeNote takes over the note of u if it is newer, and reports whether it
// did.
func (rec *record) mergeNote(u Member) bool {
	if u.Version <= rec.member.Version || u.Incarnation < rec.member.Incarnation {
		return false
	}
	rec.member.Note = u.Note
	rec.member.Version = u.Version
	return true
}

// replace takes over everything but the note from u. If u has no address, the
// known address, zone and region are kept.
func (r *registry) replace(rec *record, u Member, now time.Time) {
	wasLive := rec.member.State.Live()
	if rec.member.State != u.State {
		rec.stateSince = now
	}
	if u.State != Suspect || u.Incarnation != rec.member.Incarnation {
		rec.leaving = u.State == Leaving
	}
	if u.Incarnation != rec.member.Incarnation {
		rec.detailsChanged = now
	}
	rec.deadline = time.Time{}
	rec.consulted = false
	rec.restarted = false
	if u.Address == "" {
		u.Address, u.Zone, u.Region = rec.member.Address, rec.member.Zone, rec.member.Region
	}
	u.Note, u.Version = rec.member.Note, rec.member.Version
	rec.member = u
	r.rehash(rec, wasLive)
}

// setState changes the state of a record within its round.
func (r *registry) setState(rec *record, state State, now time.Time) {
	wasLive := rec.member.State.Live()
	rec.member.State = state
	rec.stateSince = now
	r.rehash(rec, wasLive)
}

// remove deletes the record of a member that is not live.
func (r *registry) remove(name string) {
	rec, ok := r.records[name]
	if !ok || rec.member.State.Live() {
		return
	}
	delete(r.records, name)
}

// visible returns the member as callers see it: a suspect that was leaving is
// shown as leaving.
func (rec *record) visible() Member {
	m := rec.member
	if m.State == Suspect && rec.leaving {
		m.State = Leaving
	}
	return m
}
