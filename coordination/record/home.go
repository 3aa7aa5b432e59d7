package record

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	// avoidance is the time for which a home that failed is not asked.
	avoidance = time.Second

	// homeTries is the number of homes that are asked for one begin.
	homeTries = 2

	// claimLimit is the number of rows in each of the two generations of
	// claims.
	claimLimit = 1 << 16
)

// RendezvousLocator is a Home by rendezvous hashing: each of Buckets groups of rows is
// batched by one member. The number of buckets, not that of the routers, sets
// the rate of transactions of begins.
type RendezvousLocator struct {
	// Self is the VM of this router.
	Self    string
	Buckets int

	// Candidates returns the VMs that may batch for a partner, for instance those
	// of the partner's region.
	Candidates func(partner string) []string
}

// Home implements Home.
func (m *RendezvousLocator) Home(partner, row string, avoided func(vm string) bool) string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(row)) // A hash never fails.
	bucket := sum.Sum64() % uint64(max(m.Buckets, 1))
	best, score := "", uint64(0)
	for _, vm := range m.Candidates(partner) {
		if vm != m.Self && avoided(vm) {
			continue
		}
		sum.Reset()
		_, _ = fmt.Fprintf(sum, "%d/%s", bucket, vm)
		if s := mix(sum.Sum64()); best == "" || s > score {
			best, score = vm, s
		}
	}
	if best == m.Self {
		return ""
	}
	return best
}

// mix spreads the bits of a hash, so that similar names get unlike scores.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// homeOf returns the home of the row, or an empty string if this router writes
// for itself. A home that failed is passed over for a while, so that all routers
// soon turn to the same other one.
func (b *Recorder) homeOf(partner, row string) string {
	if b.config.Homes == nil || b.config.Peers == nil {
		return ""
	}
	home := b.config.Homes.Home(partner, row, b.isAvoided)
	if home == b.config.VM {
		return ""
	}
	return home
}

// isAvoided reports whether a home failed a short while ago.
func (b *Recorder) isAvoided(vm string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.avoided[vm]
	if ok && !time.Now().Before(until) {
		delete(b.avoided, vm)
		return false
	}
	return ok
}

// avoid notes that a home failed.
func (b *Recorder) avoid(home string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoided[home] = time.Now().Add(avoidance)
}

// askHome hands an entry to its home.
func (b *Recorder) askHome(ctx context.Context, home string, entry Entry) (CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	b.config.observe(ctx, StepHome)
	verdict, err := b.config.Peers.Commit(ctx, home, entry)
	b.config.observe(ctx, StepHomeDone)
	if err != nil {
		return CommitUncertain, fmt.Errorf("commit at home %s: %w", home, err)
	}
	return verdict, nil
}

// Claim names the attempt that a router makes for a place while the table can't
// be reached. It lives in the memory of the place's home only, and protects as
// long as that router lives and can be reached.
type Claim struct {
	Location    string
	Fingerprint Fingerprint
	VM          string
	Incarnation string
	Attempt     string

	// Replaces is an attempt that did not run, whose claim may be replaced.
	Replaces string

	// Recorded says that the record is written, so that the table decides.
	// Tentative says that the attempt runs only if its record is written,
	// which may yet fail. Other claims are of attempts that may run without a
	// record. A tentative claim ends by itself, as the table decides anyway.
	Recorded  bool
	Tentative bool

	// noted is the time at which the home noted the claim.
	noted time.Time
}

// claims is a bounded set of claims in two generations; the older one is
// dropped when the younger one is full. The book's mu guards it.
type claims struct {
	rows  map[string]Claim
	older map[string]Claim
}

// newClaims returns an empty set.
func newClaims() claims {
	return claims{rows: make(map[string]Claim)}
}

// find returns the claim of a place. A tentative one lasts for a time only, so
// that a router that crashed does not hold the place.
func (c *claims) find(name string, lasts time.Duration) (Claim, bool) {
	claim, ok := c.rows[name]
	if !ok {
		claim, ok = c.older[name]
	}
	if ok && claim.Tentative && !claim.Recorded && time.Since(claim.noted) > lasts {
		return Claim{}, false
	}
	return claim, ok
}

// put notes a claim.
func (c *claims) put(claim Claim) {
	claim.noted = time.Now()
	if len(c.rows) >= claimLimit {
		c.older = c.rows
		c.rows = make(map[string]Claim)
	}
	c.rows[claim.Location] = claim
}

// drop removes a claim.
func (c *claims) drop(name string) {
	delete(c.rows, name)
	delete(c.older, name)
}

// Claim notes a claim, unless there is another one for the place, and returns
// the claim that holds.
func (b *Recorder) Claim(_ context.Context, claim Claim) (Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.claims.find(claim.Location, b.config.WriteTimeout)
	if ok && held.Attempt != claim.Replaces && held.Attempt != claim.Attempt {
		return held, nil
	}
	b.claims.put(claim)
	return claim, nil
}

// claimed reports whether another attempt for the place of a claim may run
// without a record, or is being recorded. Otherwise it notes the claim.
func (b *Recorder) claimed(claim Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.claims.find(claim.Location, b.config.WriteTimeout)
	if ok {
		return !held.Recorded && held.Attempt != claim.Attempt
	}
	b.claims.put(claim)
	return false
}

// conclude turns the claim of an entry into a recorded one, or drops it if it
// was noted for the time of the write only.
func (b *Recorder) conclude(claim Claim, verdict CommitResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if verdict == CommitApplied {
		claim.Recorded = true
		b.claims.put(claim)
		return
	}
	held, ok := b.claims.find(claim.Location, b.config.WriteTimeout)
	if ok && held.Attempt == claim.Attempt && held.Tentative && !held.Recorded {
		b.claims.drop(held.Location)
	}
}

// claimOf returns the claim of the attempt that an entry names.
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

// claim asks the home of the place for the claim that holds. It returns the own
// claim if the home can't be reached.
func (b *Recorder) claim(ctx context.Context, a *Attempt, over string, tentative bool) Claim {
	own := Claim{
		Location:    a.at.name(),
		Fingerprint: a.fingerprint,
		VM:          b.config.VM,
		Incarnation: b.config.Incarnation,
		Attempt:     a.id,
		Replaces:    over,
		Tentative:   tentative,
	}
	home := b.homeOf(a.at.partner, a.at.row)
	b.config.observe(ctx, StepClaim)
	defer b.config.observe(ctx, StepClaimDone)
	if home == "" {
		held, _ := b.Claim(ctx, own)
		return held
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	held, err := b.config.Peers.Claim(ctx, home, own)
	if err != nil {
		return own
	}
	return held
}

// yield ends an attempt in favor of the one that holds the claim. The decision
// has no kind if another request's entry is being written, because the key is
// not that request's yet.
func (b *Recorder) yield(ctx context.Context, call *Call, a *Attempt, held Claim) Decision {
	b.refuse(a, CommitUncertain)
	if held.Fingerprint == call.Fingerprint {
		return Decision{Kind: Join, Join: b.joinClaim(call, held)}
	}
	if held.Recorded || !held.Tentative {
		return Decision{Kind: Mismatch}
	}
	sleep(ctx, jitter(backoffLimit/4))
	return Decision{}
}

// attemptUnprotected grants an attempt whose record could not be written. The
// record is written when the table can be reached again.
func (b *Recorder) attemptUnprotected(ctx context.Context, call *Call, a *Attempt, over string) Decision {
	held := b.claim(ctx, a, over, false)
	if held.Attempt != a.id {
		return b.yield(ctx, call, a, held)
	}
	b.config.observe(ctx, StepUnprotected)
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != phaseWriting {
		return Decision{Kind: Unavailable}
	}
	a.phase = phaseReady
	a.late = true
	b.late[a.id] = a
	b.wake()
	return Decision{Kind: Run, Attempt: a}
}
