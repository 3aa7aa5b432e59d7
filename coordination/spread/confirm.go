package spread

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/membership"
)

// unknownLag says that the sender does not know what a member has confirmed,
// or that it is further behind than a byte can say.
const unknownLag = 255

// level is the highest revision that one process is known to have confirmed.
type level struct {
	incarnation uint64
	revision    uint64
	at          time.Time
}

// Confirmation says what a member is known to have confirmed.
type Confirmation struct {
	Member membership.Member

	// Known says whether anything is known of this process of the member. If
	// not, the fields below are zero.
	Known bool

	// Revision was in force at the member, and At is when this router learned
	// of it. The member may have confirmed a newer one since.
	Revision uint64
	At       time.Time

	// Behind is for how long a newer revision has been in force at this
	// router. It is zero if none is.
	Behind time.Duration
}

// Report says who has confirmed what, as far as this router knows.
type Report struct {
	// Revision is in force at this router since At.
	Revision uint64
	At       time.Time

	// Standing is this router's, Known is when it last knew the newest
	// revision, and Accepts says whether it should take changes.
	Standing Standing
	Known    time.Time
	Accepts  bool

	// Members are all members of the view, also suspect, dead and left ones,
	// sorted by name.
	Members []Confirmation

	// Unheard are the VMs of the list that are not members.
	Unheard []membership.VM
}

// Unconfirmed returns the live members that are not known to have confirmed a
// revision.
func (r Report) Unconfirmed(revision uint64) []Confirmation {
	var waiting []Confirmation
	for _, c := range r.Members {
		if c.Member.State.Live() && (!c.Known || c.Revision < revision) {
			waiting = append(waiting, c)
		}
	}
	return waiting
}

// Confirmed returns the report of now.
func (s *Replicator) Confirmed() Report {
	rule, evidence := s.evidence()
	view := s.group.Members()
	listed := s.group.Listed()
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Report{
		Revision: s.snapshot.Revision,
		Standing: rule.Standing(evidence),
		Known:    evidence.Known,
		Accepts:  rule.HasMajority(evidence),
	}
	if n := len(s.installs); n > 0 {
		report.At = s.installs[n-1].at
	}
	for _, m := range view.Members {
		report.Members = append(report.Members, s.confirmationLocked(m, evidence.Now))
	}
	for _, vm := range listed {
		if _, ok := view.Find(vm.Name); !ok {
			report.Unheard = append(report.Unheard, vm)
		}
	}
	return report
}

// confirmationLocked returns what is known of one member.
func (s *Replicator) confirmationLocked(m membership.Member, now time.Time) Confirmation {
	c := Confirmation{Member: m}
	lv, ok := s.levels[m.Name]
	if m.Name == s.config.Self.Name {
		lv, ok = level{incarnation: m.Incarnation, revision: s.snapshot.Revision}, s.snapshot.Revision > 0
		if n := len(s.installs); n > 0 {
			lv.at = s.installs[n-1].at
		}
	}
	if ok && lv.incarnation == m.Incarnation {
		c.Known, c.Revision, c.At = true, lv.revision, lv.at
	}
	for _, installed := range s.installs {
		if installed.revision > c.Revision {
			c.Behind = now.Sub(installed.at)
			break
		}
	}
	return c
}

// Wait returns when every live member has confirmed a revision, or with the
// last report and the context's error.
func (s *Replicator) Wait(ctx context.Context, revision uint64) (Report, error) {
	const pause = 100 * time.Millisecond
	for {
		report := s.Confirmed()
		if report.Revision >= revision && len(report.Unconfirmed(revision)) == 0 {
			return report, nil
		}
		select {
		case <-ctx.Done():
			return report, fmt.Errorf("wait for revision %d: %w", revision, ctx.Err())
		case <-time.After(pause):
		}
	}
}

// Load returns the hint for a probe or an answer.
func (s *Replicator) Load() []byte {
	view := s.group.Members()
	s.mu.Lock()
	hint := s.hintLocked(view)
	s.mu.Unlock()
	return s.config.Codec.Encode(hint)
}

// hintLocked builds the hint of now.
func (s *Replicator) hintLocked(view *membership.View) Hint {
	hint := Hint{Revision: s.snapshot.Revision, RosterHash: view.RosterHash()}
	if !s.known.IsZero() {
		hint.Fresh = true
		hint.Age = age(s.known, time.Now())
	}
	live := view.Live()
	revisions := make([]uint64, len(live))
	for i, m := range live {
		if m.Name == s.config.Self.Name {
			revisions[i] = s.snapshot.Revision
		} else if lv, ok := s.levels[m.Name]; ok && lv.incarnation == m.Incarnation {
			revisions[i] = lv.revision
		}
		hint.Base = max(hint.Base, revisions[i])
	}
	hint.Lags = make([]byte, len(live))
	for i, r := range revisions {
		hint.Lags[i] = unknownLag
		if lag := hint.Base - r; r > 0 && lag < unknownLag {
			hint.Lags[i] = byte(lag)
		}
	}
	return hint
}

// age returns the time since at by the monotonic or the wall clock, whichever
// says more.
func age(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)), 0)
}

// Ask takes the hint of a probe. What it says about freshness is not used,
// because the probe may have been under way for any time.
func (s *Replicator) Ask(from membership.Member, extra []byte) {
	s.take(from, extra)
}

// Answer takes the hint of an answer to a probe that left at sent. The answer
// was written after that, so the peer's knowledge is at most its age older
// than sent.
func (s *Replicator) Answer(from membership.Member, extra []byte, sent time.Time) {
	hint, ok := s.take(from, extra)
	if ok && hint.Fresh {
		s.confirm(stamp{revision: hint.Revision, at: sent.Add(-hint.Age)})
	}
}

// take merges the revisions of a hint.
func (s *Replicator) take(from membership.Member, extra []byte) (Hint, bool) {
	hint, err := s.config.Codec.Decode(extra)
	if err != nil {
		return Hint{}, false
	}
	view := s.group.Members()
	now := time.Now()
	s.mu.Lock()
	s.raiseLocked(from, hint.Revision, now)
	if live := view.Live(); hint.RosterHash == view.RosterHash() && len(live) == len(hint.Lags) {
		for i, m := range live {
			if lag := hint.Lags[i]; lag != unknownLag && uint64(lag) < hint.Base {
				s.raiseLocked(m, hint.Base-uint64(lag), now)
			}
		}
	}
	s.pruneLocked(view)
	s.mu.Unlock()
	s.hear(Announcement{Name: from.Name, Address: from.Address, Revision: hint.Revision})
	return hint, true
}

// raiseLocked notes that a process has confirmed a revision.
func (s *Replicator) raiseLocked(m membership.Member, revision uint64, now time.Time) {
	lv := s.levels[m.Name]
	if revision == 0 || m.Name == s.config.Self.Name || m.Incarnation < lv.incarnation {
		return
	}
	if m.Incarnation == lv.incarnation && revision <= lv.revision {
		return
	}
	s.levels[m.Name] = level{incarnation: m.Incarnation, revision: revision, at: now}
}

// pruneLocked drops what is known of members that are forgotten, once there
// are many of them.
func (s *Replicator) pruneLocked(view *membership.View) {
	if len(s.levels) <= 2*len(view.Members)+16 {
		return
	}
	for name := range s.levels {
		if _, ok := view.Find(name); !ok {
			delete(s.levels, name)
		}
	}
}
