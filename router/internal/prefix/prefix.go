// Package prefix estimates which prompt prefixes the engines have in their
// caches. Cache events arrive late and with gaps, so the estimates decay with
// time, and the first token of a response renews those of its whole prompt. It
// is pure code, is not safe for concurrent use and imports no other package of
// the router.
package prefix

import (
	"math"
	"time"
)

const (
	// HalfLife is the time in which a probability decreases by half.
	HalfLife = 2 * time.Minute

	// maxHolders is the largest number of servers that are recorded for a
	// prefix.
	maxHolders = 6

	// minProbability is the probability below which a holder is ignored.
	minProbability = 0.1
)

// Holder is a server that probably has a prefix cached.
type Holder struct {
	Server string

	// Probability is the probability, from 0 to 1, that the server still has
	// it.
	Probability float64
}

// Index records the holders of prefixes.
type Index struct {
	limit   int
	entries map[uint64]*entry

	// order is a ring of the prefixes in the order of insertion, for eviction.
	order []uint64
	next  int
}

// entry holds the holders of one prefix.
type entry struct {
	servers     [maxHolders]string
	probability [maxHolders]float32
	at          [maxHolders]time.Time
}

// NewIndex returns an index of at most limit prefixes of about 300 bytes.
func NewIndex(limit int) *Index {
	return &Index{limit: limit, entries: make(map[uint64]*entry)}
}

// Len returns the number of prefixes.
func (x *Index) Len() int { return len(x.entries) }

// Add records that the server has the prefix with a probability from 0 to 1. If
// the prefix has maxHolders others, the oldest of them is replaced.
func (x *Index) Add(now time.Time, prefix uint64, server string, probability float64) {
	e, ok := x.entries[prefix]
	if !ok {
		e = x.insert(prefix)
	}
	slot := 0
	for i := range e.servers {
		if e.servers[i] == server {
			slot = i
			break
		}
		if e.at[i].Before(e.at[slot]) {
			slot = i
		}
	}
	e.servers[slot] = server
	e.probability[slot] = float32(probability)
	e.at[slot] = now
}

// Remove records that the server no longer has the prefix.
func (x *Index) Remove(prefix uint64, server string) {
	e, ok := x.entries[prefix]
	if !ok {
		return
	}
	for i := range e.servers {
		if e.servers[i] == server {
			e.servers[i] = ""
			e.probability[i] = 0
			e.at[i] = time.Time{}
		}
	}
}

// Holders calls yield for each holder of the prefix whose probability is at
// least minProbability.
func (x *Index) Holders(now time.Time, prefix uint64, yield func(Holder)) {
	e, ok := x.entries[prefix]
	if !ok {
		return
	}
	for i, server := range e.servers {
		if server == "" {
			continue
		}
		probability := float64(e.probability[i]) * math.Exp2(-float64(now.Sub(e.at[i]))/float64(HalfLife))
		if probability >= minProbability {
			yield(Holder{Server: server, Probability: probability})
		}
	}
}

// insert creates an entry and evicts the one inserted first if the index is
// full.
func (x *Index) insert(prefix uint64) *entry {
	e := &entry{}
	if len(x.order) < x.limit {
		x.order = append(x.order, prefix)
	} else {
		delete(x.entries, x.order[x.next])
		x.order[x.next] = prefix
		x.next = (x.next + 1) % x.limit
	}
	x.entries[prefix] = e
	return e
}
