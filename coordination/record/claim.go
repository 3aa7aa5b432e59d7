package record

import (
	"context"
	"time"

	"snipetally.example/coordination/pause"
)

// maxClaimsPerGeneration is the maximum number of claims in each of the two
// generations.
const maxClaimsPerGeneration = 1 << 16

// Claim names the attempt that a router makes for a location while the table is
// unavailable. It is kept only in the memory of the location's home, and
// protects as long as that router runs and can be reached.
type Claim struct {
	Location    string
	Fingerprint Fingerprint
	VM          string
	Incarnation string
	Attempt     string

	// Replaces is an attempt that did not run, whose claim may be replaced.
	Replaces string

	// Recorded means that the record is written, so that the table decides.
	// Tentative means that the attempt runs only if its record is written,
	// which may still fail. A claim with neither belongs to an attempt that may
	// run without a record. A tentative claim expires by itself, as the table
	// decides in any case.
	Recorded  bool
	Tentative bool

	// receivedAt is the time at which the home stored the claim.
	receivedAt time.Time
}

// claims is a bounded set of claims in two generations. The previous one is
// dropped when the current one is full. The recorder's mu guards it.
type claims struct {
	current  map[string]Claim
	previous map[string]Claim
}

// newClaims returns an empty set.
func newClaims() claims {
	return claims{current: make(map[string]Claim)}
}

// find returns the claim of a location. A tentative claim expires after ttl, so
// that a router that crashed does not block the location.
func (c *claims) find(name string, ttl time.Duration) (Claim, bool) {
	claim, ok := c.current[name]
	if !ok {
		claim, ok = c.previous[name]
	}
	if ok && claim.Tentative && !claim.Recorded && time.Since(claim.receivedAt) > ttl {
		return Claim{}, false
	}
	return claim, ok
}

// put adds or replaces the claim of a location.
func (c *claims) put(claim Claim) {
	claim.receivedAt = time.Now()
	if len(c.current) >= maxClaimsPerGeneration {
		c.previous = c.current
		c.current = make(map[string]Claim)
	}
	c.current[claim.Location] = claim
}

// remove removes the claim of a location.
func (c *claims) remove(name string) {
	delete(c.current, name)
	delete(c.previous, name)
}

// Claim stores a claim unless the location has one of another attempt that the
// new claim does not replace. It returns the claim that is in force.
func (r *Recorder) Claim(_ context.Context, claim Claim) (Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, ok := r.claims.find(claim.Location, r.config.WriteTimeout)
	if ok && current.Attempt != claim.Replaces && current.Attempt != claim.Attempt {
		return current, nil
	}
	r.claims.put(claim)
	return claim, nil
}

// claimForWrite reports whether another attempt for the location of a claim may
// run without a record, or is being recorded. If the location has no claim, it
// stores this one.
func (r *Recorder) claimForWrite(claim Claim) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, ok := r.claims.find(claim.Location, r.config.WriteTimeout)
	if ok {
		return !current.Recorded && current.Attempt != claim.Attempt
	}
	r.claims.put(claim)
	return false
}

// concludeClaim marks the claim of an entry as recorded, or removes it if it
// was stored only for the time of the write.
func (r *Recorder) concludeClaim(claim Claim, result CommitResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result == CommitApplied {
		claim.Recorded = true
		r.claims.put(claim)
		return
	}
	current, ok := r.claims.find(claim.Location, r.config.WriteTimeout)
	if ok && current.Attempt == claim.Attempt && current.Tentative && !current.Recorded {
		r.claims.remove(current.Location)
	}
}

// claimOf returns the tentative claim of the attempt that an entry names.
func claimOf(entry Entry) (Claim, error) {
	s, err := decodeRecord(entry.Value)
	if err != nil {
		return Claim{}, err
	}
	return Claim{
		Location:    entry.Row + entry.Slot,
		Fingerprint: s.fingerprint,
		VM:          s.vm,
		Incarnation: s.incarnation,
		Attempt:     s.attempt,
		Tentative:   true,
	}, nil
}

// claimAtHome claims the location of an attempt at its home and returns the
// claim that is in force. It returns the claim of the attempt if the home can't
// be reached.
func (r *Recorder) claimAtHome(ctx context.Context, a *Attempt, replaces string, tentative bool) Claim {
	own := Claim{
		Location:    a.location.name(),
		Fingerprint: a.fingerprint,
		VM:          r.config.VM,
		Incarnation: r.config.Incarnation,
		Attempt:     a.id,
		Replaces:    replaces,
		Tentative:   tentative,
	}
	home := r.homeOf(a.location.partner, a.location.row)
	r.config.observe(ctx, StepClaim)
	defer r.config.observe(ctx, StepClaimDone)
	if home == "" {
		current, _ := r.Claim(ctx, own)
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	current, err := r.config.Peers.Claim(ctx, home, own)
	if err != nil {
		return own
	}
	return current
}

// yieldTo ends an attempt in favor of the one whose claim is in force. The
// decision has no kind if the entry of a different request is still being
// written, because that request does not own the key yet.
func (r *Recorder) yieldTo(ctx context.Context, call *Call, a *Attempt, current Claim) Decision {
	r.abandon(a, CommitUncertain)
	if current.Fingerprint == call.Fingerprint {
		return Decision{Kind: Join, Join: r.joinClaim(call, current)}
	}
	if current.Recorded || !current.Tentative {
		return Decision{Kind: Mismatch}
	}
	pause.For(ctx, jitter(maxBackoff/4))
	return Decision{}
}

// attemptUnprotected grants an attempt whose record could not be written. The
// record is written when the table is available again.
func (r *Recorder) attemptUnprotected(ctx context.Context, call *Call, a *Attempt, replaces string) Decision {
	current := r.claimAtHome(ctx, a, replaces, false)
	if current.Attempt != a.id {
		return r.yieldTo(ctx, call, a, current)
	}
	r.config.observe(ctx, StepUnprotected)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase != phaseWriting {
		return Decision{Kind: Unavailable}
	}
	a.phase = phaseReady
	a.unrecorded = true
	r.unrecorded[a.id] = a
	r.wake()
	return Decision{Kind: Run, Attempt: a}
}
