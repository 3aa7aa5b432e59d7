// Package quarantine keeps from backend servers what crashes them: requests that crash
// each server that runs them, and parts of prompts that crash each engine that begins to
// answer a request with them.
//
// When a server crashes, the requests in progress there are suspect, and so are the parts
// of the prompts of those that had no event yet: most of them are popular and were there
// by chance. Each is judged by a sequential test (CUSUM). A crash counts for its guilt,
// and a request with the part that starts soundly, or a copy of the request that ends
// soundly, at any server, against it. What is popular does so somewhere within
// milliseconds and is cleared; what crashes servers hardly ever does. When the score
// reaches a threshold, a verdict keeps all copies of the request, or all requests with
// the part, from servers.
//
// A Ledger holds the scores and verdicts of one router and decides. An Exchange
// tells the other routers of crashes, sound starts and verdicts, so that all decide
// by the same evidence.
package quarantine

import (
	"slices"
	"time"
)

const (
	// partCrashWeight and partSoundWeight are the steps of the test, the logarithms of the
	// likelihood ratios. A bad part crashes seven engines of ten at least, and a
	// request with a good one meets a crash in less than one case of ten, so that a
	// crash makes guilt seven times as likely, and a sound start a third.
	partCrashWeight = 2
	partSoundWeight = 1

	// requestCrashWeight and requestSoundWeight are the same steps for a whole request. A
	// crash counts more, as fewer requests than parts are in progress at several crashes by
	// chance, and so does a sound end, as a copy of a bad request hardly ever ends so.
	requestCrashWeight = 3
	requestSoundWeight = 2

	// verdictScore is the score of a verdict: odds of a thousand to one, which four
	// crashes without a sound start give to a part, and three without a sound end to a
	// request.
	verdictScore = 7

	// holdScore is the score of a request from which on its copies are held back before
	// there is a verdict, so that one at a time runs: two crashes.
	holdScore = 2 * requestCrashWeight

	// holdPause is the time after the last crash in which no copy of a request that is held
	// back runs, so that all reports of the crash arrive before it is judged. When a copy
	// comes after that, all routers are told. Its home may let one through, and each router
	// may from homeTime on, for othersTime. trialTime is how long a router awaits the outcome
	// of one before it lets the next one through.
	holdPause  = 300 * time.Millisecond
	homeTime   = 400 * time.Millisecond
	othersTime = 600 * time.Millisecond
	trialTime  = 2 * time.Second

	// ambiguousScore is the score from which on a part is judged although other
	// parts had exactly the same crashes.
	ambiguousScore = 2 * verdictScore

	// suspectCrashes is the number of crashes, not outweighed by sound starts, from
	// which on a router makes no further attempt of its own for a request.
	suspectCrashes = 2

	// minRequests is the number of different requests with a part among those that
	// crashed. The copies of one request can't tell its parts apart.
	minRequests = 2

	// maxCopyCrashes is how often the copies of one request count against a part.
	maxCopyCrashes = 2

	// Engines that lose power together say no more about a prompt than one does. So
	// several crashes count once in crashGap, and in crashGapStep for each engine that
	// crashed within massTime: the reports of many crashes take a while to arrive.
	crashGap     = 30 * time.Millisecond
	crashGapStep = 4 * time.Millisecond
	massTime     = 500 * time.Millisecond

	// massRatio is the number of engines that crashed at the same time for each one
	// that had a run with a part, above which the part did not cause its crash either.
	massRatio = 3

	// clearTime is the least time from the first crash that a part is suspected of to a
	// verdict on it. A popular part starts soundly somewhere in that time. A router that
	// has had requests for less than learnTime knows little of popular parts and waits
	// for newClearTime.
	clearTime    = 300 * time.Millisecond
	newClearTime = time.Second
	learnTime    = 10 * time.Second

	// maxCredit bounds the credit that a part has for sound starts before its first
	// crash. It lowers the score, so that a popular part takes more crashes than one
	// that has never started.
	maxCredit = 6

	// evidenceTTL is how long a suspect is remembered after its last crash.
	evidenceTTL = 10 * time.Minute

	// A verdict may be wrong, and engines get other software. One router lets one
	// request through firstTrial after the first verdict on a part. If that crashes its
	// engine too, the next trial is verdictTime later; if its outcome is not known,
	// trialPause later.
	//
	// A request is tried later than a part, as the evidence is clearer and its callers
	// alone lose by it.
	firstTrial        = 10 * time.Second
	firstRequestTrial = time.Minute

	verdictTime = time.Hour
	trialPause  = 30 * time.Second

	// verdictTTL is how long a verdict is remembered after verdictTime or after it
	// was lifted.
	verdictTTL = 24 * time.Hour
)

// Bounds of what a ledger remembers. Of too many suspects, those with the lowest
// score go first, and of them the oldest; of too many verdicts, the oldest.
const (
	maxSuspects        = 4096
	maxVerdicts        = 1024
	maxExplained       = 1024
	maxCrashTimes      = 1024
	maxSuspectCrashes  = 16
	maxSuspectRequests = 8

	// maxCredits is the number of parts whose credits a generation holds, and
	// creditTime how long a generation lasts. Two are remembered.
	maxCredits = 4096
	creditTime = 30 * time.Second
)

// MaxParts is the number of parts of a prompt that are taken into account.
const MaxParts = 64

// Scope is what a verdict holds for. Engines of another service, or another model,
// may answer requests with the same part soundly.
type Scope struct {
	Service string
	Model   string
}

// Key names what is judged in a scope: a request or, if Request is zero, a part of
// prompts.
type Key struct {
	Scope   Scope
	Part    uint64
	Request Digest
}

// Run is a run of a request at a server. Parts are the IDs of the prompt's parts that
// other requests may share. Session is the ID of the last part, which is the same in the
// copies of a request. Request is zero if the request as a whole isn't judged.
type Run struct {
	Scope   Scope
	Session uint64
	Parts   []uint64
	Request Digest

	// Started says that the run had delivered an event when its server crashed. Then its
	// parts are no suspects: an engine crashes as it begins to answer.
	Started bool
}

// Crash is the crash of one engine as one router saw it. Engine identifies one
// lifetime of the engine, the same at all routers.
type Crash struct {
	Engine uint64
	Runs   []Run
}

// Verdict keeps the copies of a request from servers, or the requests whose prompts have
// all of its parts. It nearly always has one part; it has several if no request with one
// of them lacked another one.
type Verdict struct {
	Scope Scope

	// Parts are the IDs of the parts in ascending order. It is empty if Request is not
	// zero.
	Parts   []uint64
	Request Digest

	// Epoch rises with each change of the verdict. Of two copies the one with the
	// higher epoch is the newer one.
	Epoch uint32

	// Lifted says that the verdict is no longer in force, and Probation that this was
	// for a sound trial.
	Lifted    bool
	Probation bool

	// DecidedAt is when the verdict was made or last changed, and Until when it may
	// be tried again, both by the clock of the router that decided.
	DecidedAt time.Time
	Until     time.Time

	// DecidedBy names the router that decided. Engines is the number of crashes
	// behind the verdict, and Requests the number of different requests in them, as
	// far as they were counted.
	DecidedBy string
	Engines   int
	Requests  int

	// Saved says that the verdict is known to be in the store.
	Saved bool
}

// valid reports whether the verdict names a request or parts.
func (v *Verdict) valid() bool { return v.isOfRequest() != (len(v.Parts) > 0) }

// isOfRequest reports whether the verdict is on a request.
func (v *Verdict) isOfRequest() bool { return !v.Request.IsZero() }

// covers reports whether the verdict keeps a run from servers.
func (v *Verdict) covers(run *Run) bool {
	if v.isOfRequest() {
		return v.Request == run.Request
	}
	for _, part := range v.Parts {
		if !slices.Contains(run.Parts, part) {
			return false
		}
	}
	return true
}

// keys returns the keys of what the verdict names.
func (v *Verdict) keys() []Key {
	if v.isOfRequest() {
		return []Key{{Scope: v.Scope, Request: v.Request}}
	}
	keys := make([]Key, 0, len(v.Parts))
	for _, part := range v.Parts {
		keys = append(keys, Key{Scope: v.Scope, Part: part})
	}
	return keys
}

// home returns the key whose home saves and tries the verdict.
func (v *Verdict) home() Key { return v.keys()[0] }

// supersedes reports whether v replaces another copy of the same verdict.
func (v *Verdict) supersedes(other *Verdict) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return other.Lifted && !v.Lifted
}
