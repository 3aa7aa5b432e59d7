package membership

import "time"

// mergeUpdatesLocked merges the updates of a message. It returns the members of
// which this process has newer records, for the reply.
func (n *Node) mergeUpdatesLocked(updates []Member, now time.Time) []Member {
	var corrections []Member
	for _, u := range updates {
		if u.Name == n.self.Name {
			// Every message carries its sender, so the reply needs no update.
			n.refuteLocked(u)
			continue
		}
		rec := n.mergeUpdateLocked(u, now)
		switch {
		case rec == nil:
		case u.Incarnation == rec.member.Incarnation && (u.Address == "" || u.Version == rec.member.Version):
			corrections = append(corrections, rec.member.withoutDetails())
		default:
			corrections = append(corrections, rec.member)
		}
	}
	return corrections
}

// mergeUpdateLocked merges one update about another member. It returns the
// record if that is newer than the update, and nil otherwise.
func (n *Node) mergeUpdateLocked(u Member, now time.Time) *record {
	rec, before, result := n.registry.merge(u, now)
	switch result {
	case stale:
		return rec
	case missingDetails:
		n.missingDetails = true
	case unverifiedDeath:
		if len(n.unverifiedDeaths) < maxUnverifiedDeaths {
			n.unverifiedDeaths[u.Name] = u
		}
	case applied:
		if rec.member.State == Suspect && rec.deadline.IsZero() {
			rec.deadline = now.Add(n.suspicionTimeoutLocked(rec.member))
		}
		if before == Dead && rec.member.State.Live() && rec.member.Round > 0 {
			n.restartSuspicionsLocked(rec.member.Region, now)
		}
		n.broadcasts.Put(u.Name, struct{}{})
		n.recordChangeLocked(rec, before, now)
	}
	return nil
}

// refuteLocked refutes a claim about this process that it did not make itself.
func (n *Node) refuteLocked(u Member) {
	if u.Incarnation > n.self.Incarnation {
		// An earlier process of this name had a clock that was ahead.
		n.self.Incarnation = u.Incarnation + 1
		n.self.Version = max(n.self.Version, u.Version) + 1
		n.announceLocked()
		return
	}
	if !u.supersedes(n.self) {
		return
	}
	n.self.Round = u.Round + 1
	n.stats.Refuted++
	n.health = min(n.health+1, maxHealth)
	n.announceLocked()
	select {
	case n.refuteNow <- struct{}{}:
	default:
	}
}

// suspicionTimeoutLocked returns the time from suspicion to death for a member.
func (n *Node) suspicionTimeoutLocked(m Member) time.Duration {
	return n.config.suspicionTimeout(n.registry.live+1, n.health, n.crossRegionLocked(m.Region))
}

// crossRegionLocked reports whether a region is known and differs from this
// process's region.
func (n *Node) crossRegionLocked(region string) bool {
	return region != "" && region != n.self.Region
}

// summaryLocked returns the hash of the view, this process included, and the
// hashes of its buckets, from which it is combined.
func (n *Node) summaryLocked() (uint64, [bucketCount]uint64) {
	hashes := n.registry.buckets
	hashes[bucketOf(n.self.Name)] ^= fingerprint(n.self, n.self.State == Leaving)
	sum := uint64(0)
	for _, hash := range hashes {
		sum ^= hash
	}
	return sum, hashes
}

// longQueue is the queue length above which each message carries fewer updates
// and each update is sent fewer times.
const longQueue = 64

// takeBroadcastsLocked returns the queued updates for a message, at most budget
// bytes.
func (n *Node) takeBroadcastsLocked(budget int) []Member {
	limit := TransmitLimit(n.registry.live + 1)
	if n.broadcasts.Len() > longQueue {
		// After this many changes, view synchronization delivers them sooner.
		budget = budget * 2 / 3
		limit = (limit + 1) / 2
	}
	names := n.broadcasts.Take(budget, limit, n.broadcastSizeLocked)
	updates := make([]Member, 0, len(names))
	for _, name := range names {
		if rec, ok := n.registry.records[name]; ok {
			updates = append(updates, n.updateForLocked(rec))
		}
	}
	return updates
}

// broadcastSizeLocked returns the size of the update for the named member. The
// size of this process is zero, because each message carries its sender anyway.
func (n *Node) broadcastSizeLocked(name string, _ struct{}) int {
	rec, ok := n.registry.records[name]
	if !ok {
		return 0
	}
	return n.updateForLocked(rec).maxEncodedSize()
}

// updateForLocked returns the update to send about a member: with its details
// while these changed recently, and only its round and state after that.
func (n *Node) updateForLocked(rec *record) Member {
	if time.Since(rec.detailsChanged) < recentPeriod {
		return rec.member.compact()
	}
	return rec.member.withoutDetails()
}

// differencesLocked returns the members, including dead ones, of the buckets
// whose hashes differ from theirs, or of all buckets if theirs is nil. The
// result has at most budget bytes. If full is set, live members are returned
// with all their details. The iteration starts at a random member, so that
// repeated calls reach all of them.
func (n *Node) differencesLocked(theirs []uint64, full bool, budget int) []Member {
	_, mine := n.summaryLocked()
	var members []Member
	for name, rec := range n.registry.records {
		b := bucketOf(name)
		if theirs != nil && (b >= len(theirs) || theirs[b] == mine[b]) {
			continue
		}
		m := rec.member
		if !m.State.Live() || !full {
			m = n.updateForLocked(rec)
		}
		cost := m.maxEncodedSize()
		if cost > budget {
			break
		}
		budget -= cost
		members = append(members, m)
	}
	return members
}

// replyLocked builds the reply to a probe.
func (n *Node) replyLocked(request Message, corrections []Member, now time.Time) Message {
	sum, hashes := n.summaryLocked()
	reply := Message{From: n.self, Summary: sum}
	reply.Updates = truncateToSize(corrections, maxCorrectionBytes)
	switch {
	case len(request.Buckets) > 0 && n.allowComparisonLocked(now):
		reply.Updates = append(reply.Updates, n.differencesLocked(request.Buckets, request.Full, SyncBytes)...)
		reply.Buckets = hashes[:]
	case request.Full && len(request.Buckets) == 0:
		reply.Updates = append(reply.Updates, n.differencesLocked(nil, true, FullSyncBytes)...)
	default:
		reply.Updates = append(reply.Updates, n.takeBroadcastsLocked(UpdateBytes)...)
	}
	return reply
}

// truncateToSize returns the longest prefix of members that takes at most
// budget bytes.
func truncateToSize(members []Member, budget int) []Member {
	for i, m := range members {
		budget -= m.maxEncodedSize()
		if budget < 0 {
			return members[:i]
		}
	}
	return members
}
