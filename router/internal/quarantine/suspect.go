package quarantine

import (
	"slices"
	"time"
)

// suspect is a request, or a part of prompts, that was in progress at servers that
// crashed.
type suspect struct {
	key Key

	// score is that of the sequential test. It begins at the negative credit, and the
	// suspect is cleared when it returns there.
	score  int
	credit int

	// crashes are the crashes that it is suspected of, and requests the different requests
	// in them.
	crashes  []engineCrash
	requests []crashedRequest

	// companions are the parts that all of these requests had.
	companions []uint64

	// triedAt is when this router last let a copy of a request through that is held back.
	// askedAt is when a copy came, here or at another router, that was left to the home.
	triedAt time.Time
	askedAt time.Time

	// countedAt is when the last crash was added to the score. firstAt and crashedAt are
	// when there first and last was one.
	countedAt time.Time
	firstAt   time.Time
	crashedAt time.Time

	// sound counts the sound starts of requests with the part, or the sound ends of the
	// request, since the first crash.
	sound int
}

// crashedRequest is a request that was in progress at crashes, and how often.
type crashedRequest struct {
	id      uint64
	crashes int
}

// engineCrash is the crash of a server that something is suspected of. counted says that
// it was added to the score. repeated says that it was not, as the copies of the request
// that had the part count often enough. router names the router that saw the crash.
type engineCrash struct {
	engine   uint64
	at       time.Time
	counted  bool
	repeated bool
	router   string
}

// recordCrash records that a run was in progress at a server that crashed. Crashes within
// the gap count once, but for a request that has never ended soundly they count up to
// holdScore. For a part the copies of one request count maxCopyCrashes times. It reports
// whether the score has risen.
func (s *suspect) recordCrash(now time.Time, router string, engine uint64, run Run, gap time.Duration) bool {
	i := slices.IndexFunc(s.crashes, func(c engineCrash) bool { return c.engine == engine })
	if i >= 0 && !s.crashes[i].repeated {
		s.recordRequest(run, 0)
		return false
	}
	repeated := s.recordRequest(run, 1) > maxCopyCrashes && !s.key.isRequest()
	if i < 0 {
		if len(s.crashes) == maxSuspectCrashes {
			s.crashes = slices.Delete(s.crashes, 0, 1)
		}
		s.crashes = append(s.crashes, engineCrash{engine: engine, at: now, router: router})
		s.crashedAt = now
		i = len(s.crashes) - 1
	}
	c := &s.crashes[i]
	c.repeated = repeated
	c.counted = !repeated && (s.countedAt.IsZero() || now.Sub(s.countedAt) >= gap || s.isUnproven())
	if c.counted {
		s.score += s.key.crashWeight()
		s.countedAt = now
	}
	return c.counted
}

// isUnproven reports whether it is a request that never ended soundly before its crashes, and
// that is not held back yet.
func (s *suspect) isUnproven() bool {
	return s.key.isRequest() && s.credit == 0 && s.score+s.key.crashWeight() <= holdScore
}

// recordRequest records a request that was in progress at a number of further crashes, and
// returns at how many it was in all.
func (s *suspect) recordRequest(run Run, crashes int) int {
	if len(s.requests) == 0 {
		s.companions = slices.Clone(run.Parts)
	}
	s.companions = slices.DeleteFunc(slices.Clone(s.companions), func(part uint64) bool { return !slices.Contains(run.Parts, part) })
	id := run.id()
	i := slices.IndexFunc(s.requests, func(r crashedRequest) bool { return r.id == id })
	switch {
	case i >= 0:
		s.requests[i].crashes += crashes
		return s.requests[i].crashes
	case len(s.requests) < maxSuspectRequests:
		s.requests = append(s.requests, crashedRequest{id: id, crashes: crashes})
	}
	return crashes
}

// putOnProbation makes it suspect to a degree that one more crash gives a verdict. Until a
// request crashes, the parts are its companions.
func (s *suspect) putOnProbation(now time.Time, companions []uint64) {
	s.score, s.credit, s.firstAt = verdictScore-s.key.crashWeight(), 0, now.Add(-newClearTime)
	s.requests, s.companions = slices.Repeat([]crashedRequest{{}}, minRequests), companions
}

// cleared reports whether sound starts or ends outweigh the crashes.
func (s *suspect) cleared() bool { return s.score <= -s.credit }

// has reports whether it is suspected of the crash of a server.
func (s *suspect) has(engine uint64) bool {
	return slices.ContainsFunc(s.crashes, func(c engineCrash) bool { return c.engine == engine })
}

// forgetCrash takes back the crash of an engine that has another explanation.
func (s *suspect) forgetCrash(engine uint64) {
	i := slices.IndexFunc(s.crashes, func(c engineCrash) bool { return c.engine == engine })
	if i < 0 {
		return
	}
	if s.crashes[i].counted {
		s.score -= s.key.crashWeight()
	}
	s.crashes = slices.Delete(s.crashes, i, i+1)
}

// explains reports whether it may have caused the crashes that another one is suspected
// of: as much speaks against it, and it was there at all of them, or at some if it is a
// part; or it was there at nearly all of them and at others. Of two requests that were
// there, one for which nothing speaks explains the crashes of the other.
func (s *suspect) explains(other *suspect) bool {
	beside := other.crashesBeside(s)
	switch {
	case s.key.isRequest() && beside == 0:
		return s.score >= other.score || len(s.crashes) > len(other.crashes) ||
			other.key.isRequest() && s.sound == 0 && s.score > 0
	case !s.separable(other):
		return false
	case !s.key.isRequest() && s.score >= other.score && beside < len(other.crashes):
		return true
	}
	return len(s.crashes) > len(other.crashes) && beside <= 1
}

// separable reports whether crashes can tell which of two suspects caused them. A request
// and its own parts can't be told apart by its copies.
func (s *suspect) separable(other *suspect) bool {
	request, part := s, other
	switch {
	case s.key.isRequest() == other.key.isRequest():
		return true
	case other.key.isRequest():
		request, part = other, s
	}
	return !slices.Contains(request.companions, part.key.Part)
}

// inseparable reports whether both are parts and no request with one of them lacked the
// other one.
func (s *suspect) inseparable(other *suspect) bool {
	if s.key.isRequest() || other.key.isRequest() {
		return false
	}
	return slices.Contains(s.companions, other.key.Part) && slices.Contains(other.companions, s.key.Part)
}
