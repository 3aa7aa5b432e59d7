package spread

import (
	"time"

	"snipetally.example/coordination/membership"
)

// Standing is what a router may do, by how much it knows of the others.
type Standing uint8

const (
	// Stopped means that a newer revision may be in force elsewhere and that
	// this router has no way to learn of it. It takes no new work.
	Stopped Standing = iota + 1

	// Holding means that the newest revision is not known for certain, but that
	// this router is among the greater part of the routers, so that a change
	// accepted by the rules cannot have passed it by. It serves.
	Holding

	// Fresh means that this router knew the newest revision within the limit.
	Fresh
)

// String returns the standing in lower case.
func (s Standing) String() string {
	switch s {
	case Stopped:
		return "stopped"
	case Holding:
		return "holding"
	case Fresh:
		return "fresh"
	default:
		return "unknown"
	}
}

const (
	// SmallFleetMaxAge is the limit of freshness for a few routers.
	SmallFleetMaxAge = 5 * time.Second

	// LargeFleetMaxAge is the limit of freshness for SizeAtMost routers and more.
	LargeFleetMaxAge = 10 * time.Second

	// LargeFleetSize is the number of routers from which MostLimit holds.
	LargeFleetSize = 400

	// ContactMaxAge is how long the answer of a peer counts as contact.
	ContactMaxAge = 3 * time.Second
)

// FreshnessRule is the rule by which a router decides whether it takes new work.
type FreshnessRule struct {
	// MaxAge is the time for which knowledge of the newest revision counts.
	MaxAge time.Duration

	// MaxContactAge is the time for which the answer of a peer counts.
	MaxContactAge time.Duration
}

// FreshnessRuleFor returns the rule for n routers.
func FreshnessRuleFor(n int) FreshnessRule {
	const span = LargeFleetMaxAge - SmallFleetMaxAge
	limit := SmallFleetMaxAge + span*time.Duration(min(n, LargeFleetSize))/LargeFleetSize
	if n <= smallFleet {
		limit = SmallFleetMaxAge
	}
	return FreshnessRule{MaxAge: limit, MaxContactAge: ContactMaxAge}
}

// smallFleet is the number of routers up to which LeastLimit holds.
const smallFleet = 32

// Evidence is what a router knows at Now.
type Evidence struct {
	Now time.Time

	// Known is when the router last knew the newest revision, by the table or
	// by a peer. It is zero if it never did.
	Known time.Time

	// Reachability is what the membership says. Its peers count only if one of them
	// answered within the contact limit.
	Reachability membership.Reachability
}

// Standing applies the rule.
func (f FreshnessRule) Standing(e Evidence) Standing {
	if within(e.Known, e.Now, f.MaxAge) {
		return Fresh
	}
	if f.HasMajority(e) {
		return Holding
	}
	return Stopped
}

// HasMajority reports whether the router is among the greater part of the routers.
// Of two equal parts it is the one with the first router by name. A router
// takes changes of operators only while it is, so that no two parts of a
// parted fleet both change the settings.
func (f FreshnessRule) HasMajority(e Evidence) bool {
	reachable, first := e.Reachability.Reachable, e.Reachability.FirstReachable
	if !within(e.Reachability.LastContact, e.Now, f.MaxContactAge) {
		reachable, first = 1, e.Reachability.IsFirst
	}
	if !e.Reachability.ExpectedKnown {
		return false
	}
	switch twice := 2 * reachable; {
	case twice > e.Reachability.Expected:
		return true
	case twice == e.Reachability.Expected:
		return first
	default:
		return false
	}
}

// within reports whether at is set and at most limit before now, by the
// monotonic and by the wall clock. The wall clock also sees the time for which
// a VM was suspended.
func within(at, now time.Time, limit time.Duration) bool {
	if at.IsZero() {
		return false
	}
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0))) <= limit
}
