package membership

import (
	"context"
	"sync"
	"time"
)

// comparesLocked reports whether this process compares views for another one
// now. It does so half as often again as it asks for it, however many ask, so
// that those whom all others reach for after a partition are not overrun.
func (p *Node) comparesLocked(now time.Time) bool {
	if now.Sub(p.compared) < p.syncLocked()*2/3 {
		return false
	}
	p.compared = now
	return true
}

// debt is what another member was found to lack when two views were compared.
type debt struct {
	to      Member
	updates []Member
}

// oweLocked notes what the sender of an answer lacks, as far as its answer
// shows: the members of parts that still differ, less those that it told of as
// they are known here.
func (p *Node) oweLocked(answer Message) {
	told := make(map[string]Member, len(answer.Updates))
	for _, m := range answer.Updates {
		told[m.Name] = m
	}
	var updates []Member
	for _, m := range p.differencesLocked(answer.Buckets, false, SyncBytes) {
		theirs, ok := told[m.Name]
		if ok && !m.supersedes(theirs) && (m.Version <= theirs.Version || m.Address == "") {
			continue
		}
		updates = append(updates, m)
	}
	if len(updates) > 0 {
		p.owed = &debt{to: answer.From, updates: updates}
	}
}

// supply sends what was found to be lacking to the one that lacks it. It goes
// to that member alone: all others compare views for themselves.
func (p *Node) supply(ctx context.Context, group *sync.WaitGroup) {
	p.mu.Lock()
	owed := p.owed
	p.owed = nil
	timeout := p.config.timeout(p.health, true)
	p.mu.Unlock()
	if owed == nil {
		return
	}
	message := p.request(owed.to, false, false)
	message.Updates = append(message.Updates, owed.updates...)
	p.launch(group, func() { _ = p.send(ctx, owed.to, message, timeout) })
}
