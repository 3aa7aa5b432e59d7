// Package placement chooses the backend server for each request. Costs are in
// seconds of a server's time: what is left to read of a prompt, what waits
// before it, and what it delays for others. The package is pure code: it takes
// the time as an argument and knows no network.
//
// A Board is safe for concurrent use; one mutex guards all of it, and no other
// lock is taken while it is held.
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

// Request is one request as far as the choice depends on it.
type Request struct {
	Service string

	// PromptTokens and Output are the expected tokens; both are zero at a plain
	// service.
	PromptTokens int
	OutputTokens int

	// Parts are the parts of the prompt, in order. The last one is not shared.
	Parts []Part

	// Target is the time to the first event that the request is due.
	Target time.Duration

	// Priority is the place of the request in the order in which engines take
	// requests; 0 is first.
	Priority int

	// name is that of the session, or zero if the request shares nothing but
	// what is common.
	name uint64

	// common is the number of prompt tokens that every server is believed to
	// keep, keepers are the servers that got the session lately, flow is the
	// number of tokens that each server reads in a second. The board sets them.
	common  int
	keepers []keeper
	flow    float64

	// routers is the number of routers that are heard, with this one. The board
	// sets it.
	routers int

	// crowd is the usual wait at the servers of the work's group, as a part of
	// the wait from which on work is refused. The board sets it.
	crowd float64
}

// shared returns the tokens of the parts that other requests share.
func (w *Request) shared() int {
	n := 0
	for i := 0; i+1 < len(w.Parts); i++ {
		n += w.Parts[i].Tokens
	}
	return n
}

// unread returns the tokens of the prompt that a server has to read. One that
// keeps the session keeps all shared parts, each other server those that are
// common.
func (w *Request) unread(kept bool) int {
	if kept {
		return max(w.PromptTokens-w.shared(), 0)
	}
	return max(w.PromptTokens-w.common, 0)
}

// needs returns the tokens that the request takes of an engine's memory in the
// end, beside what is kept there anyway.
func (w *Request) needs(kept bool) int { return w.unread(kept) + w.OutputTokens }

// economy returns which part of what a server reads for the work it has to read
// at any server.
func (w *Request) economy(kept bool) float64 {
	unread := w.unread(kept)
	if unread == 0 {
		return 1
	}
	return float64(min(w.unread(true), unread)) / float64(unread)
}

// session returns the name of all shared parts. Requests with the same session
// share most of their prompts.
func (w *Request) session() uint64 {
	last := len(w.Parts) - 1
	if last < 1 {
		return 0
	}
	hash := xxhash.New()
	for _, part := range w.Parts[:last] {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], part.ID)
		_, _ = hash.Write(b[:]) // A hash in memory never fails.
	}
	return hash.Sum64()
}

// score returns the rank of a server for a session, by rendezvous hashing.
func score(session, server uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], session)
	binary.BigEndian.PutUint64(b[8:], server)
	return xxhash.Sum64(b[:])
}
