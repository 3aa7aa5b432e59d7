// Package placement chooses the backend server for each request. At engines the
// cost of a choice is the expected number of requests that miss their
// objectives by it: the request itself, streams that pause beside its prompt,
// and requests whose place a repeated prefill takes. At plain servers it is the
// expected latency in seconds. The package is pure code: it takes the time as an
// argument and does no I/O.
//
// A Balancer is safe for concurrent use; one mutex guards all of it, and no
// other lock is taken while it is held.
package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request describes a request as far as the choice of a server depends on it.
type Request struct {
	Service string

	// PromptTokens and OutputTokens are the expected lengths; both are zero at
	// a plain service.
	PromptTokens int
	OutputTokens int

	// Parts are the parts of the prompt, in order. The last one is not shared.
	Parts []Part

	// Class is the name of the request's class. Target is the time to the first
	// event that the class demands, and Gap the longest pause between events
	// that it tolerates, or zero if it tolerates any.
	Class  string
	Target time.Duration
	Gap    time.Duration

	// Priority is the request's priority at the engines, which take requests
	// with lower numbers first; 0 is the first.
	Priority int

	// Level is the request's precedence at a server whose limit has to be kept, from 0 to
	// 1; 0 is the first. See Balancer.Withhold.
	Level float64

	// Admitted says that the request was admitted before and may have run, so that
	// it is never refused.
	Admitted bool

	// Draw is a random number, drawn once for a request. It decides between
	// equal servers, so that repeated choices for a request consider the same
	// ones.
	Draw uint64

	// sessionHash identifies the session. It is zero if the request shares
	// nothing but the common tokens.
	sessionHash uint64

	// commonTokens is the number of prompt tokens that every server is expected
	// to have cached, holders are the servers that recently processed the
	// session, and tokenRate is the mean number of tokens that a server's cache
	// takes in a second. The balancer sets them.
	commonTokens int
	holders      []holder
	tokenRate    float64

	// congestion is the mean wait at the servers of the request's group, as a
	// fraction of the wait above which requests are refused. The balancer sets
	// it.
	congestion float64
}

// sharedTokens returns the tokens of the parts that other requests share.
func (r *Request) sharedTokens() int {
	n := 0
	for i := 0; i+1 < len(r.Parts); i++ {
		n += r.Parts[i].Tokens
	}
	return n
}

// prefillTokens returns the tokens of the prompt that a server has to process.
// A server with the session cached has all shared parts, any other one only the
// common tokens.
func (r *Request) prefillTokens(cached bool) int {
	if cached {
		return max(r.PromptTokens-r.sharedTokens(), 0)
	}
	return max(r.PromptTokens-r.commonTokens, 0)
}

// cacheTokens returns the tokens that the request takes of an engine's memory
// when it ends, beside those that are cached there anyway.
func (r *Request) cacheTokens(cached bool) int { return r.prefillTokens(cached) + r.OutputTokens }

// unavoidableShare returns the fraction of the prefill at a server that would
// be needed at any server.
func (r *Request) unavoidableShare(cached bool) float64 {
	needed := r.prefillTokens(cached)
	if needed == 0 {
		return 1
	}
	return float64(min(r.prefillTokens(true), needed)) / float64(needed)
}

// hashSession returns a hash of all shared parts, or zero if there are none.
// Requests with the same hash share most of their prompts.
func (r *Request) hashSession() uint64 {
	last := len(r.Parts) - 1
	if last < 1 {
		return 0
	}
	hash := xxhash.New()
	for _, part := range r.Parts[:last] {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], part.ID)
		_, _ = hash.Write(b[:]) // Writing to an xxhash digest never fails.
	}
	return hash.Sum64()
}

// rendezvousScore returns the score of a server for a session in rendezvous
// hashing; the highest is preferred.
func rendezvousScore(session, server uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], session)
	binary.BigEndian.PutUint64(b[8:], server)
	return xxhash.Sum64(b[:])
}
