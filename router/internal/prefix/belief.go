// Package prefix holds a router's belief about which prompt prefixes the
// engines have in their caches. Cache events come late and with gaps, so the
// belief fades with time and is corrected by what answers report. It is pure
// code, is not safe for concurrent use and imports nothing of the router.
package prefix

import (
	"math"
	"time"
)

const (
	// HalfLife is the time in which a belief loses half of its strength.
	HalfLife = 2 * time.Minute

	// holders is the largest number of servers that are remembered for a
	// prefix.
	holders = 6

	// faint is the strength under which a belief is forgotten.
	faint = 0.1
)

// Holder is a server that is believed to hold a prefix.
type Holder struct {
	Server string

	// Probability is the probability, from 0 to 1, that the server still holds it.
	Probability float64
}

// Index remembers holders of prefixes.
type Index struct {
	limit int
	known map[uint64]*entry

	// order is a ring of the prefixes in order of entry, for eviction.
	order []uint64
	next  int
}

// entry is what is believed of one prefix.
type entry struct {
	servers  [holders]string
	strength [holders]float32
	at       [holders]time.Time
}

// NewIndex returns a belief of at most limit prefixes of about 300 bytes.
func NewIndex(limit int) *Index {
	return &Index{limit: limit, known: make(map[uint64]*entry)}
}

// Len returns the number of prefixes that are remembered.
func (b *Index) Len() int { return len(b.known) }

// Add books that the server has the prefix with a strength from 0 to 1.
func (b *Index) Add(now time.Time, prefix uint64, server string, strength float64) {
	e, ok := b.known[prefix]
	if !ok {
		e = b.insert(prefix)
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
	e.strength[slot] = float32(strength)
	e.at[slot] = now
}

// Remove books that the server no longer has the prefix.
func (b *Index) Remove(prefix uint64, server string) {
	e, ok := b.known[prefix]
	if !ok {
		return
	}
	for i := range e.servers {
		if e.servers[i] == server {
			e.servers[i] = ""
			e.strength[i] = 0
			e.at[i] = time.Time{}
		}
	}
}

// Holders calls yield for each believed holder of the prefix.
func (b *Index) Holders(now time.Time, prefix uint64, yield func(Holder)) {
	e, ok := b.known[prefix]
	if !ok {
		return
	}
	for i, server := range e.servers {
		if server == "" {
			continue
		}
		strength := float64(e.strength[i]) * math.Exp2(-float64(now.Sub(e.at[i]))/float64(HalfLife))
		if strength >= faint {
			yield(Holder{Server: server, Probability: strength})
		}
	}
}

// insert makes an entry and evicts the oldest one if the belief is full.
func (b *Index) insert(prefix uint64) *entry {
	e := &entry{}
	if len(b.order) < b.limit {
		b.order = append(b.order, prefix)
	} else {
		delete(b.known, b.order[b.next])
		b.order[b.next] = prefix
		b.next = (b.next + 1) % b.limit
	}
	b.known[prefix] = e
	return e
}
