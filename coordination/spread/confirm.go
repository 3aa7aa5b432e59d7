package spread

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/membership"
)

// unknownLag is the lag in a hint of a member whose confirmed revision the
// sender does not know, or which is further behind than a byte can express.
const unknownLag = 255

// confirmedRevision is the highest revision that one process is known to have
// confirmed.
type confirmedRevision struct {
	incarnation uint64
	revision    uint64
	at          time.Time
}

// Confirmation says which revision a member is known to have confirmed.
type Confirmation struct {
	Member membership.Member

	// Known says whether a revision is known for this process of the member. If
	// not, Revision and At are zero.
	Known bool

	// Revision was in force at the member, and At is when this router learned
	// that. The member may have confirmed a newer revision since.
	Revision uint64
	At       time.Time

	// Behind is for how long a newer revision has been in force at this router.
	// It is zero if there is none.
	Behind time.Duration
}

// Report says which revisions the members have confirmed, as far as this router
// knows.
type Report struct {
	// Revision has been in force at this router since At.
	Revision uint64
	At       time.Time

	// Standing is this router's, Known is when it last knew the newest
	// revision, and Accepts says whether it may accept changes.
	Standing Standing
	Known    time.Time
	Accepts  bool

	// Members are all members of the view, including suspect, dead and left
	// ones, sorted by name.
	Members []Confirmation

	// Unheard are the VMs on the VM list that are not members.
	Unheard []membership.VM
}

// Unconfirmed returns the live members that are not known to have confirmed a
// revision.
func (r Report) Unconfirmed(revision uint64) []Confirmation {
	var unconfirmed []Confirmation
	for _, c := range r.Members {
		if c.Member.State.Live() && (!c.Known || c.Revision < revision) {
			unconfirmed = append(unconfirmed, c)
		}
	}
	return unconfirmed
}

// Report returns the current report.
func (r *Replicator) Report() Report {
	rule, evidence := r.freshnessInputs()
	view := r.membership.View()
	listed := r.membership.Listed()
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{
		Revision: r.snapshot.Revision,
		Standing: rule.Standing(evidence),
		Known:    evidence.Known,
		Accepts:  rule.HasMajority(evidence),
	}
	if n := len(r.installs); n > 0 {
		report.At = r.installs[n-1].at
	}
	for _, m := range view.Members {
		report.Members = append(report.Members, r.confirmationLocked(m, evidence.Now))
	}
	for _, vm := range listed {
		if _, ok := view.Find(vm.Name); !ok {
			report.Unheard = append(report.Unheard, vm)
		}
	}
	return report
}

// confirmationLocked returns what is known about one member.
func (r *Replicator) confirmationLocked(m membership.Member, now time.Time) Confirmation {
	c := Confirmation{Member: m}
	confirmed, ok := r.confirmed[m.Name]
	if m.Name == r.config.Self.Name {
		confirmed, ok = confirmedRevision{incarnation: m.Incarnation, revision: r.snapshot.Revision}, r.snapshot.Revision > 0
		if n := len(r.installs); n > 0 {
			confirmed.at = r.installs[n-1].at
		}
	}
	if ok && confirmed.incarnation == m.Incarnation {
		c.Known, c.Revision, c.At = true, confirmed.revision, confirmed.at
	}
	for _, installed := range r.installs {
		if installed.revision > c.Revision {
			c.Behind = now.Sub(installed.at)
			break
		}
	}
	return c
}

// Wait returns once every live member has confirmed a revision. If the context
// ends before, it returns the last report and the context's error.
func (r *Replicator) Wait(ctx context.Context, revision uint64) (Report, error) {
	const interval = 100 * time.Millisecond
	for {
		report := r.Report()
		if report.Revision >= revision && len(report.Unconfirmed(revision)) == 0 {
			return report, nil
		}
		select {
		case <-ctx.Done():
			return report, fmt.Errorf("wait for revision %d: %w", revision, ctx.Err())
		case <-time.After(interval):
		}
	}
}

// Payload returns the encoded hint for a probe or a reply.
func (r *Replicator) Payload() []byte {
	view := r.membership.View()
	r.mu.Lock()
	hint := r.hintLocked(view)
	r.mu.Unlock()
	return r.config.Codec.Encode(hint)
}

// hintLocked builds the current hint.
func (r *Replicator) hintLocked(view *membership.View) Hint {
	hint := Hint{Revision: r.snapshot.Revision, RosterHash: view.RosterHash()}
	if !r.newestKnownAt.IsZero() {
		hint.Fresh = true
		hint.Age = timeSince(r.newestKnownAt, time.Now())
	}
	live := view.Live()
	revisions := make([]uint64, len(live))
	for i, m := range live {
		if m.Name == r.config.Self.Name {
			revisions[i] = r.snapshot.Revision
		} else if confirmed, ok := r.confirmed[m.Name]; ok && confirmed.incarnation == m.Incarnation {
			revisions[i] = confirmed.revision
		}
		hint.Base = max(hint.Base, revisions[i])
	}
	hint.Lags = make([]byte, len(live))
	for i, revision := range revisions {
		hint.Lags[i] = unknownLag
		if lag := hint.Base - revision; revision > 0 && lag < unknownLag {
			hint.Lags[i] = byte(lag)
		}
	}
	return hint
}

// timeSince returns the time since at by the monotonic or the wall clock,
// whichever is longer.
func timeSince(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)), 0)
}

// ReceiveProbe receives the hint of an incoming probe. Its freshness is
// ignored, because the probe may have been in transit for any length of time.
func (r *Replicator) ReceiveProbe(from membership.Member, extra []byte) {
	r.mergeHint(from, extra)
}

// ReceiveReply receives the hint of the reply to a probe that was sent at the
// given time. The reply was written after that, so the peer's knowledge is at
// most hint.Age older than sent.
func (r *Replicator) ReceiveReply(from membership.Member, extra []byte, sent time.Time) {
	hint, ok := r.mergeHint(from, extra)
	if ok && hint.Fresh {
		r.observeNewest(timedRevision{revision: hint.Revision, at: sent.Add(-hint.Age)})
	}
}

// mergeHint records the confirmed revisions of a hint.
func (r *Replicator) mergeHint(from membership.Member, extra []byte) (Hint, bool) {
	hint, err := r.config.Codec.Decode(extra)
	if err != nil {
		return Hint{}, false
	}
	view := r.membership.View()
	now := time.Now()
	r.mu.Lock()
	r.recordConfirmedLocked(from, hint.Revision, now)
	if live := view.Live(); hint.RosterHash == view.RosterHash() && len(live) == len(hint.Lags) {
		for i, m := range live {
			if lag := hint.Lags[i]; lag != unknownLag && uint64(lag) < hint.Base {
				r.recordConfirmedLocked(m, hint.Base-uint64(lag), now)
			}
		}
	}
	r.pruneConfirmedLocked(view)
	r.mu.Unlock()
	r.observeAnnouncement(Announcement{Name: from.Name, Address: from.Address, Revision: hint.Revision})
	return hint, true
}

// recordConfirmedLocked records that a process has confirmed a revision.
func (r *Replicator) recordConfirmedLocked(m membership.Member, revision uint64, now time.Time) {
	confirmed := r.confirmed[m.Name]
	if revision == 0 || m.Name == r.config.Self.Name || m.Incarnation < confirmed.incarnation {
		return
	}
	if m.Incarnation == confirmed.incarnation && revision <= confirmed.revision {
		return
	}
	r.confirmed[m.Name] = confirmedRevision{incarnation: m.Incarnation, revision: revision, at: now}
}

// pruneConfirmedLocked drops the revisions of members that are no longer in the
// view, once there are many of them.
func (r *Replicator) pruneConfirmedLocked(view *membership.View) {
	if len(r.confirmed) <= 2*len(view.Members)+16 {
		return
	}
	for name := range r.confirmed {
		if _, ok := view.Find(name); !ok {
			delete(r.confirmed, name)
		}
	}
}
