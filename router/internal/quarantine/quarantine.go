// Package quarantine keeps parts of prompts away from engines that crash when they
// begin to answer a request with them.
//
// When an engine crashes, the requests in progress there that had no event yet are
// suspect, and so are the parts of their prompts that other requests have too: most
// of them are popular parts that were there by chance. A part is judged by a
// sequential test (CUSUM). Each crash counts for its guilt, and each request with
// the part that starts soundly, at any engine, against it. A popular part starts
// somewhere within milliseconds and is cleared; a part that crashes engines hardly
// ever does. When the score of a part reaches a threshold, a verdict keeps all
// requests with it from engines.
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
	// crashWeight and startWeight are the steps of the test, the logarithms of the
	// likelihood ratios. A bad part crashes seven engines of ten at least, and a
	// request with a good one meets a crash in less than one case of ten, so that a
	// crash makes guilt seven times as likely, and a sound start a third.
	crashWeight = 2
	startWeight = 1

	// verdictScore is the score of a verdict: odds of a thousand to one, which four
	// crashes without a sound start give.
	verdictScore = 7

	// ambiguousScore is the score from which on a part is judged although other
	// parts had exactly the same crashes.
	ambiguousScore = 2 * verdictScore

	// suspectCrashes is the number of crashes, not outweighed by sound starts, from
	// which on a router makes no further attempt of its own for a request.
	suspectCrashes = 2

	// minRequests is the number of different requests with a part among those that
	// crashed. The copies of one request can't tell its parts apart.
	minRequests = 2

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
	firstTrial  = 10 * time.Second
	verdictTime = time.Hour
	trialPause  = 30 * time.Second

	// probationScore is the score of a part after a sound trial. One more crash gives a
	// new verdict.
	probationScore = verdictScore - crashWeight

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

// Key names a part of prompts in a scope.
type Key struct {
	Scope Scope
	Part  uint64
}

// Run is a request in progress at an engine that had no event yet when the engine
// crashed. Parts are the IDs of the prompt's parts that other requests may share.
// Session is the ID of the last part, which is the same in the copies of a request.
type Run struct {
	Scope   Scope
	Session uint64
	Parts   []uint64
}

// Crash is the crash of one engine as one router saw it. Engine identifies one
// lifetime of the engine, the same at all routers.
type Crash struct {
	Engine uint64
	Runs   []Run
}

// Verdict keeps requests from engines whose prompts have all of its parts. It nearly
// always has one part; it has several if no request with one of them lacked another
// one.
type Verdict struct {
	Scope Scope

	// Parts are the IDs of the parts in ascending order.
	Parts []uint64

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

// covers reports whether a prompt with these parts has all parts of the verdict.
func (v *Verdict) covers(parts []uint64) bool {
	for _, part := range v.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// supersedes reports whether v replaces another copy of the same verdict.
func (v *Verdict) supersedes(other *Verdict) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return other.Lifted && !v.Lifted
}
