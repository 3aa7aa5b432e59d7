package record

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	// avoidPeriod is how long no request is sent to a home that failed.
	avoidPeriod = time.Second

	// maxHomeTries is the number of homes that are asked to write one entry.
	maxHomeTries = 2
)

// RendezvousLocator is a HomeLocator that uses rendezvous hashing: rows are
// hashed to Buckets buckets, and each bucket has one VM as its home. The number
// of buckets, not that of the routers, determines the rate of transactions that
// write records of new attempts.
type RendezvousLocator struct {
	// Self is the VM of this router.
	Self    string
	Buckets int

	// Candidates returns the VMs that may be the home of a partner's rows, for
	// instance those of the partner's region.
	Candidates func(partner string) []string
}

// Home implements HomeLocator.
func (l *RendezvousLocator) Home(partner, row string, avoided func(vm string) bool) string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(row)) // Writing to a hash never fails.
	bucket := sum.Sum64() % uint64(max(l.Buckets, 1))
	best, score := "", uint64(0)
	for _, vm := range l.Candidates(partner) {
		if vm != l.Self && avoided(vm) {
			continue
		}
		sum.Reset()
		_, _ = fmt.Fprintf(sum, "%d/%s", bucket, vm)
		if s := mix(sum.Sum64()); best == "" || s > score {
			best, score = vm, s
		}
	}
	if best == l.Self {
		return ""
	}
	return best
}

// mix spreads the bits of a hash, so that similar names get unrelated scores.
// It is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// homeOf returns the home of the row, or an empty string if this router writes
// the record itself. A home that failed is skipped for avoidPeriod, so that all
// routers soon turn to the same other one.
func (r *Recorder) homeOf(partner, row string) string {
	if r.config.Homes == nil || r.config.Peers == nil {
		return ""
	}
	home := r.config.Homes.Home(partner, row, r.isAvoided)
	if home == r.config.VM {
		return ""
	}
	return home
}

// isAvoided reports whether a home failed within the last avoidPeriod.
func (r *Recorder) isAvoided(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.avoidedUntil[vm]
	if ok && !time.Now().Before(until) {
		delete(r.avoidedUntil, vm)
		return false
	}
	return ok
}

// avoid records that a home failed.
func (r *Recorder) avoid(home string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[home] = time.Now().Add(avoidPeriod)
}

// commitAtHome hands an entry to its home.
func (r *Recorder) commitAtHome(ctx context.Context, home string, entry Entry) (CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	r.config.observe(ctx, StepHome)
	result, err := r.config.Peers.Commit(ctx, home, entry)
	r.config.observe(ctx, StepHomeDone)
	if err != nil {
		return CommitUncertain, fmt.Errorf("commit at home %s: %w", home, err)
	}
	return result, nil
}
