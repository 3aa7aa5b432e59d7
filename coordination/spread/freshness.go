package spread

import (
	"time"

	"snipetally.example/coordination/membership"
)

// Standing says whether a router may take new requests, given how current its
// settings are and how many other routers it reaches.
type Standing uint8

const (
	// Stopped means that a newer revision may be in force elsewhere and that
	// this router may be unable to learn of it. It takes no new requests.
	Stopped Standing = iota + 1

	// Holding means that the router does not know for certain that its revision
	// is the newest, but is in the majority of the routers. Only routers in the
	// majority accept changes, so that none can have been accepted out of its
	// reach. It takes new requests.
	Holding

	// Fresh means that this router knew the newest revision within the age
	// limit.
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
	// SmallFleetMaxAge is the age limit for a fleet of up to 32 routers.
	SmallFleetMaxAge = 5 * time.Second

	// LargeFleetMaxAge is the age limit for LargeFleetSize routers and more.
	LargeFleetMaxAge = 10 * time.Second

	// LargeFleetSize is the number of routers from which on LargeFleetMaxAge
	// applies.
	LargeFleetSize = 400

	// ContactMaxAge is how long the reply of a peer counts as contact.
	ContactMaxAge = 3 * time.Second
)

// FreshnessRule is the rule by which a router decides whether it takes new
// requests.
type FreshnessRule struct {
	// MaxAge is how long the router may rely on having known the newest
	// revision.
	MaxAge time.Duration

	// MaxContactAge is how long the reply of a peer counts as contact.
	MaxContactAge time.Duration
}

// FreshnessRuleFor returns the rule for n routers.
func FreshnessRuleFor(n int) FreshnessRule {
	const span = LargeFleetMaxAge - SmallFleetMaxAge
	maxAge := SmallFleetMaxAge + span*time.Duration(min(n, LargeFleetSize))/LargeFleetSize
	if n <= smallFleetSize {
		maxAge = SmallFleetMaxAge
	}
	return FreshnessRule{MaxAge: maxAge, MaxContactAge: ContactMaxAge}
}

// smallFleetSize is the number of routers up to which SmallFleetMaxAge applies.
const smallFleetSize = 32

// Evidence is what a router knows at Now.
type Evidence struct {
	Now time.Time

	// Known is when the router last knew the newest revision, from the table or
	// from a peer. It is zero if it never did.
	Known time.Time

	// Reachability is reported by the membership. Its peers count only if one
	// of them replied within the contact limit.
	Reachability membership.Reachability
}

// Standing evaluates the rule.
func (f FreshnessRule) Standing(e Evidence) Standing {
	if within(e.Known, e.Now, f.MaxAge) {
		return Fresh
	}
	if f.HasMajority(e) {
		return Holding
	}
	return Stopped
}

// HasMajority reports whether the router is in the majority of the routers. Of
// two equal halves, the one with the first router by name counts as the
// majority. A router accepts changes from operators only while it is in the
// majority, so that no two sides of a network partition both change the
// settings.
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

// within reports whether t is set and at most limit before now, by both the
// monotonic and the wall clock. Only the wall clock advances while the VM is
// suspended.
func within(t, now time.Time, limit time.Duration) bool {
	if t.IsZero() {
		return false
	}
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0))) <= limit
}
