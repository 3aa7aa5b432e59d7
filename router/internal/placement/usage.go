package placement

import "time"

const (
	// commonRetention is the time for which a server is expected to cache a
	// part.
	commonRetention = 10 * time.Second

	// commonTokensPerUse is the largest number of tokens to process for each
	// use of a part, if each server processes the part once in commonRetention.
	commonTokensPerUse = 128

	// maxTrackedParts is the number of first parts whose use is tracked.
	maxTrackedParts = 256
)

// partUsage tracks how often the first parts of prompts are used. Frequent
// ones, such as the instructions of a class, are cached by every server; those
// of a session are not.
type partUsage struct {
	rates map[uint64]*rate
}

// record counts a use of a first part.
func (u *partUsage) record(now time.Time, id uint64) {
	r, ok := u.rates[id]
	if !ok {
		if len(u.rates) >= maxTrackedParts {
			u.evictRarest(now)
		}
		if u.rates == nil {
			u.rates = make(map[uint64]*rate)
		}
		r = &rate{}
		u.rates[id] = r
	}
	r.add(now, 1)
}

// evictRarest drops the least used part.
func (u *partUsage) evictRarest(now time.Time) {
	var rarest uint64
	least := -1.0
	for id, r := range u.rates {
		if current := r.current(now); least < 0 || current < least {
			rarest, least = id, current
		}
	}
	delete(u.rates, rarest)
}

// rate returns how often a second this router sees a first part.
func (u *partUsage) rate(now time.Time, id uint64) float64 {
	r, ok := u.rates[id]
	if !ok {
		return 0
	}
	return r.current(now)
}

// commonTokens returns the tokens of the prompt that every server is expected
// to have cached: those of a first part that is used so often that processing
// it everywhere costs little.
func (s *service) commonTokens(now time.Time, req *Request, routers int) int {
	if len(req.Parts) < 2 || len(s.members) == 0 {
		return 0
	}
	first := req.Parts[0]
	uses := s.partUsage.rate(now, first.ID) * float64(routers) * commonRetention.Seconds()
	if uses*commonTokensPerUse < float64(first.Tokens*len(s.members)) {
		return 0
	}
	return first.Tokens
}
