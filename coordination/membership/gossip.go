package membership

import "time"

// takeLocked merges the updates of a message. It returns what this process
// knows better, for the answer.
func (p *Node) takeLocked(updates []Member, now time.Time) []Member {
	var better []Member
	for _, u := range updates {
		if u.Name == p.self.Name {
			// The message that answers carries its sender anyway.
			p.refuteLocked(u)
			continue
		}
		rec := p.mergeLocked(u, now)
		switch {
		case rec == nil:
		case u.Incarnation == rec.member.Incarnation && (u.Address == "" || u.Version == rec.member.Version):
			better = append(better, rec.member.bare())
		default:
			better = append(better, rec.member)
		}
	}
	return better
}

// mergeLocked merges one update about another member. It returns the record if
// that is newer than the update.
func (p *Node) mergeLocked(u Member, now time.Time) *record {
	rec, before, result := p.registry.merge(u, now)
	switch result {
	case stale:
		return rec
	case blind:
		p.blind = true
	case doubted:
		if len(p.verify) < maxVerify {
			p.verify[u.Name] = u
		}
	case applied:
		if rec.member.State == Suspect && rec.deadline.IsZero() {
			rec.deadline = now.Add(p.suspicionLocked(rec.member))
		}
		if before == Dead && rec.member.State.Live() && rec.member.Round > 0 {
			p.renewLocked(rec.member.Region, now)
		}
		p.digest.Put(u.Name, struct{}{})
		p.noteLocked(rec, before, now)
	}
	return nil
}

// refuteLocked contradicts a claim about this process that is not its own.
func (p *Node) refuteLocked(u Member) {
	if u.Incarnation > p.self.Incarnation {
		// The clock of an earlier process of this name was ahead.
		p.self.Incarnation = u.Incarnation + 1
		p.self.Version = max(p.self.Version, u.Version) + 1
		p.announceLocked()
		return
	}
	if !u.supersedes(p.self) {
		return
	}
	p.self.Round = u.Round + 1
	p.stats.Refuted++
	p.health = min(p.health+1, maxHealth)
	p.announceLocked()
	select {
	case p.hurry <- struct{}{}:
	default:
	}
}

// suspicionLocked returns the time that a suspect has left.
func (p *Node) suspicionLocked(m Member) time.Duration {
	return p.config.suspicion(p.registry.live+1, p.health, p.farLocked(m.Region))
}

// farLocked reports whether a region is another one than this process's.
func (p *Node) farLocked(region string) bool {
	return region != "" && region != p.self.Region
}

// summaryLocked returns the parts of the summary, this process included, and
// their sum.
func (p *Node) summaryLocked() (uint64, [buckets]uint64) {
	parts := p.registry.buckets
	parts[bucketOf(p.self.Name)] ^= fingerprint(p.self, p.self.State == Leaving)
	sum := uint64(0)
	for _, part := range parts {
		sum ^= part
	}
	return sum, parts
}

// crowd is the number of waiting news above which each message carries less
// and each of the news goes on fewer messages.
const crowd = 64

// newsLocked returns the news for a message, at most budget bytes.
func (p *Node) newsLocked(budget int) []Member {
	limit := TransmitLimit(p.registry.live + 1)
	if p.digest.Len() > crowd {
		// So much has changed that the comparisons of views carry it sooner.
		budget = budget * 2 / 3
		limit = (limit + 1) / 2
	}
	names := p.digest.Take(budget, limit, p.weightLocked)
	news := make([]Member, 0, len(names))
	for _, name := range names {
		if rec, ok := p.registry.records[name]; ok {
			news = append(news, p.newsOfLocked(rec))
		}
	}
	return news
}

// weightLocked returns the size of the member of that name. This process
// weighs nothing, because each message carries its sender anyway.
func (p *Node) weightLocked(name string, _ struct{}) int {
	rec, ok := p.registry.records[name]
	if !ok {
		return 0
	}
	return p.newsOfLocked(rec).weight()
}

// newsOfLocked returns what the news say of a member: all that is known of it
// while that is new, and only its round and state later.
func (p *Node) newsOfLocked(rec *record) Member {
	if time.Since(rec.detailed) < lately {
		return rec.member.brief()
	}
	return rec.member.bare()
}

// differencesLocked returns the members, also dead ones, of those parts of the
// summary that differ from theirs, or of all parts if theirs is nil, at most
// budget bytes. Whole says that the other side needs all that is known of
// them. It starts at a random member, so that repeated calls reach all.
func (p *Node) differencesLocked(theirs []uint64, whole bool, budget int) []Member {
	_, mine := p.summaryLocked()
	var members []Member
	for name, rec := range p.registry.records {
		b := bucketOf(name)
		if theirs != nil && (b >= len(theirs) || theirs[b] == mine[b]) {
			continue
		}
		m := rec.member
		if !m.State.Live() || !whole {
			m = p.newsOfLocked(rec)
		}
		cost := m.weight()
		if cost > budget {
			break
		}
		budget -= cost
		members = append(members, m)
	}
	return members
}

// answerLocked fills an answer to a probe.
func (p *Node) answerLocked(request Message, better []Member, now time.Time) Message {
	sum, parts := p.summaryLocked()
	answer := Message{From: p.self, Summary: sum}
	answer.Updates = bounded(better, maxAddedBytes)
	switch {
	case len(request.Buckets) > 0 && p.comparesLocked(now):
		answer.Updates = append(answer.Updates, p.differencesLocked(request.Buckets, request.Full, SyncBytes)...)
		answer.Buckets = parts[:]
	case request.Full && len(request.Buckets) == 0:
		answer.Updates = append(answer.Updates, p.differencesLocked(nil, true, FullSyncBytes)...)
	default:
		answer.Updates = append(answer.Updates, p.newsLocked(UpdateBytes)...)
	}
	return answer
}

// bounded returns the first members that weigh at most budget bytes.
func bounded(members []Member, budget int) []Member {
	for i, m := range members {
		budget -= m.weight()
		if budget < 0 {
			return members[:i]
		}
	}
	return members
}
