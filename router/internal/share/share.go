// Package share divides the slots of backend servers between routers. Routers
// tell each other their demand; each computes the same division from the same
// notes, so that nothing has to be granted, kept or handed back. It is pure code,
// is not safe for concurrent use, and imports package class only.
package share

import (
	"math"
	"time"

	"snipetally.example/router/internal/class"
)

const (
	// Levels is the number of levels of demand: the tiers, and below them the
	// demand of borrowers.
	Levels = class.Tiers + 1

	// Borrowed is the level of requests on servers of another partner.
	Borrowed = class.Tiers

	// headerBytes is the size of a datagram with a note beyond the name of its
	// sender: 28 for UDP and IP, 16 for the seal, and 20 for the time and tags.
	// A pool takes poolBytes, its name, and a byte for each level, or two from
	// longSlots on.
	headerBytes = 64
	poolBytes   = 6
	longSlots   = 12.8

	// Stale is the number of periods after which a router's note no longer
	// counts.
	Stale = 4
)

// PoolName names the servers of a partner that serve the same models or service.
type PoolName string

// Demand is the number of slots that a router wants in a pool by level: the
// requests that run or wait.
type Demand [Levels]float64

// Total returns the demand of all levels.
func (d Demand) Total() float64 {
	total := 0.0
	for _, slots := range d {
		total += slots
	}
	return total
}

// DemandReport is what a router tells the others.
type DemandReport struct {
	Router string
	Pools  map[PoolName]Demand
}

// Size estimates the size of the datagram of a note, with all headers.
func (n *DemandReport) Size() int {
	size := headerBytes + len(n.Router)
	for pool, demand := range n.Pools {
		size += poolBytes + len(pool) + Levels
		for _, slots := range demand {
			if slots >= longSlots {
				size++
			}
		}
	}
	return size
}

// Period returns how often a router sends its note so that it receives, or
// sends, at most budget bytes a second.
func Period(routers, noteBytes int, budget float64) time.Duration {
	const shortest = time.Second
	seconds := float64(routers-1) * float64(noteBytes) / budget
	return max(shortest, time.Duration(seconds*float64(time.Second)))
}

// Range is the part of each server of a pool that belongs to a router: slots
// from Low to High, as fractions of the server's slots.
type Range struct {
	Low, High float64
}

// Slots returns the number of whole slots of a server in the range. offset,
// from 0 to 1, differs by server: it rounds the ranges of all routers so that
// they sum up to the slots of each server, and so that each router gets its
// share of the pool.
func (r Range) Slots(slots int, offset float64) int {
	n := float64(slots)
	return int(math.Floor(n*r.High+offset) - math.Floor(n*r.Low+offset))
}

// Divide divides capacity between demands: level by level, and in proportion
// where a level's demand is larger than what is left. What nobody wants is
// spread evenly, so that a router whose demand rises finds room before the next
// notes. The result has the order of demands and sums up to capacity.
func Divide(capacity float64, demands []Demand) []float64 {
	parts := make([]float64, len(demands))
	if len(demands) == 0 {
		return parts
	}
	left := capacity
	for level := range Levels {
		total := 0.0
		for i := range demands {
			total += demands[i][level]
		}
		if total <= 0 {
			continue
		}
		part := min(1, left/total)
		for i := range demands {
			parts[i] += demands[i][level] * part
		}
		left = max(0, left-total)
	}
	even := left / float64(len(demands))
	for i := range parts {
		parts[i] += even
	}
	return parts
}
