package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Verdicts returns all verdicts, also lifted ones, in the order of their times.
func (l *Ledger) Verdicts() []Verdict {
	if l.tracked.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	verdicts := make([]Verdict, 0, len(l.verdicts))
	for _, j := range l.verdicts {
		verdicts = append(verdicts, j.Verdict)
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(a.DecidedAt.Compare(b.DecidedAt), slices.Compare(a.Parts, b.Parts), slices.Compare(a.Request[:], b.Request[:]))
	})
	return verdicts
}

// Tracks reports whether sound starts of requests with a part, or sound ends of a request,
// are evidence.
func (l *Ledger) Tracks(key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.suspects[key]
	return ok || len(l.inForce[key]) > 0
}

// Counts returns the numbers of suspects and of verdicts in force.
func (l *Ledger) Counts() (suspects, verdicts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.verdicts {
		if !j.Lifted {
			verdicts++
		}
	}
	return len(l.suspects), verdicts
}

// SuspectState describes a suspect, for the state dump. Part is its ID, or Request its
// digest, in hexadecimal, Score that of the sequential test, Engines the number of
// crashes, and Seen names the router that saw each of them first. Requests is the number
// of different requests in them, and Sound that of sound starts, or of sound ends of the
// request, since the first crash.
type SuspectState struct {
	Part     string
	Request  string
	Service  string
	Model    string
	Score    int
	Engines  int
	Seen     []string
	Requests int
	Sound    int
}

// VerdictState describes a verdict, for the state dump. Parts are the IDs of its parts, or
// Request is the digest of its request, in hexadecimal.
type VerdictState struct {
	Parts     []string
	Request   string
	Service   string
	Model     string
	Epoch     uint32
	Lifted    bool
	DecidedBy string
	DecidedAt time.Time
	Until     time.Time
	Engines   int
	Requests  int
	Saved     bool
}

// maxSuspectStates is the number of suspects in a state dump.
const maxSuspectStates = 64

// SuspectStates returns the suspects with the highest scores.
func (l *Ledger) SuspectStates() []SuspectState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := make([]SuspectState, 0, len(l.suspects))
	for _, s := range l.suspects {
		state := SuspectState{
			Service: s.key.Scope.Service, Model: s.key.Scope.Model, Score: s.score,
			Engines: len(s.crashes), Requests: len(s.requests), Sound: s.sound,
		}
		if s.key.isRequest() {
			state.Request = s.key.name()
		} else {
			state.Part = s.key.name()
		}
		for _, c := range s.crashes {
			state.Seen = append(state.Seen, c.router)
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b SuspectState) int {
		return cmp.Or(b.Score-a.Score, cmp.Compare(a.Part+a.Request, b.Part+b.Request))
	})
	return states[:min(len(states), maxSuspectStates)]
}

// State returns the description of a verdict.
func (v *Verdict) State() VerdictState {
	return VerdictState{
		Parts: v.PartNames(), Request: v.RequestName(), Service: v.Scope.Service, Model: v.Scope.Model, Epoch: v.Epoch, Lifted: v.Lifted,
		DecidedBy: v.DecidedBy, DecidedAt: v.DecidedAt, Until: v.Until, Engines: v.Engines, Requests: v.Requests, Saved: v.Saved,
	}
}

// PartNames returns the IDs of the verdict's parts in hexadecimal.
func (v *Verdict) PartNames() []string {
	names := make([]string, 0, len(v.Parts))
	for _, part := range v.Parts {
		names = append(names, PartName(part))
	}
	return names
}

// RequestName returns the digest of the verdict's request in hexadecimal, or an empty
// string.
func (v *Verdict) RequestName() string {
	if !v.isOfRequest() {
		return ""
	}
	return v.Request.String()
}

// PartName returns the ID of a part in hexadecimal.
func PartName(part uint64) string { return strconv.FormatUint(part, 16) }
