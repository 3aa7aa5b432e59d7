package placement

import "time"

const (
	// commonSpan is the time for which a server is expected to keep a part.
	commonSpan = 10 * time.Second

	// commonCost is the number of tokens that a use of a part may cost if each
	// server reads the part once in that time.
	commonCost = 128

	// knownParts is the number of first parts whose use is followed.
	knownParts = 256
)

// usage follows how often the first parts of prompts come. Those that come
// often, such as the instructions of a class, are kept by every server; those
// of a session are not.
type usage struct {
	rates map[uint64]*rate
}

// see counts a first part.
func (u *usage) see(now time.Time, id uint64) {
	r, ok := u.rates[id]
	if !ok {
		if len(u.rates) >= knownParts {
			u.forgetRarest(now)
		}
		if u.rates == nil {
			u.rates = make(map[uint64]*rate)
		}
		r = &rate{}
		u.rates[id] = r
	}
	r.add(now, 1)
}

// forgetRarest drops the part that is used least.
func (u *usage) forgetRarest(now time.Time) {
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
func (u *usage) rate(now time.Time, id uint64) float64 {
	r, ok := u.rates[id]
	if !ok {
		return 0
	}
	return r.current(now)
}

// common returns the tokens of the prompt that every server is believed to
// keep: those of a first part that is used so often that it costs little to read
// it everywhere.
func (s *service) common(now time.Time, work *Request, routers int) int {
	if len(work.Parts) < 2 || len(s.members) == 0 {
		return 0
	}
	first := work.Parts[0]
	uses := s.usage.rate(now, first.ID) * float64(routers) * commonSpan.Seconds()
	if uses*commonCost < float64(first.Tokens*len(s.members)) {
		return 0
	}
	return first.Tokens
}
