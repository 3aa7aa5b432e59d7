package membership

import (
	"context"
	"sync"
	"time"
)

// allowComparisonLocked reports whether this process may compare views on
// behalf of another one now. It does so one and a half times as often as it
// asks for comparisons itself, however many ask, so that members which all
// others contact after a partition are not overloaded.
func (n *Node) allowComparisonLocked(now time.Time) bool {
	if now.Sub(n.lastComparison) < n.syncIntervalLocked()*2/3 {
		return false
	}
	n.lastComparison = now
	return true
}

// repair holds the updates that another member was found to lack when two views
// were compared.
type repair struct {
	to      Member
	updates []Member
}

// planRepairLocked records the updates that the sender of a reply lacks, as far
// as the reply shows: the members of buckets that still differ, except those
// that it reported as they are recorded here.
func (n *Node) planRepairLocked(reply Message) {
	reported := make(map[string]Member, len(reply.Updates))
	for _, m := range reply.Updates {
		reported[m.Name] = m
	}
	var updates []Member
	for _, m := range n.differencesLocked(reply.Buckets, false, SyncBytes) {
		theirs, ok := reported[m.Name]
		if ok && !m.supersedes(theirs) && (m.Version <= theirs.Version || m.Address == "") {
			continue
		}
		updates = append(updates, m)
	}
	if len(updates) > 0 {
		n.pendingRepair = &repair{to: reply.From, updates: updates}
	}
}

// sendRepair sends the missing updates to the member that lacks them. They go
// to no one else: all others compare views for themselves.
func (n *Node) sendRepair(ctx context.Context, group *sync.WaitGroup) {
	n.mu.Lock()
	pending := n.pendingRepair
	n.pendingRepair = nil
	timeout := n.config.probeTimeout(n.health, true)
	n.mu.Unlock()
	if pending == nil {
		return
	}
	message := n.request(pending.to, false, false)
	message.Updates = append(message.Updates, pending.updates...)
	n.goLimited(group, func() { _ = n.send(ctx, pending.to, message, timeout) })
}
