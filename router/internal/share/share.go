// Package share divides the slots of backend servers between routers. Routers
// send each other their demand, and each computes the same division from the
// same reports, so that no slots have to be granted, leased or returned. The
// package does no I/O, is not safe for concurrent use, and imports only package
// class.
package share

import (
	"math"
	"time"

	"snipetally.example/router/internal/class"
)

const (
	// Levels is the number of demand levels: the tiers, followed by the demand
	// of borrowers.
	Levels = class.Tiers + 1

	// Borrowed is the level of requests that run on servers of another partner.
	// It is the least important one.
	Borrowed = class.Tiers

	// headerBytes is the size of a datagram with a demand report, less the name
	// of its sender: 28 bytes for UDP and IP, 16 for the MAC, and 20 for the
	// time and tags. Each pool takes poolBytes, its name, and one byte per
	// level, or two bytes for a level of twoByteSlots or more, since demand is
	// encoded as a varint of tenths of a slot.
	headerBytes  = 64
	poolBytes    = 6
	twoByteSlots = 12.8

	// StalePeriods is the number of periods after which a router's report is ignored.
	StalePeriods = 4
)

// PoolName names a pool: the servers of a partner that run the same models or
// service.
type PoolName string

// Demand is the number of slots that a router wants in a pool, by level: its
// requests that are running or waiting.
type Demand [Levels]float64

// Total returns the demand summed over all levels.
func (d Demand) Total() float64 {
	total := 0.0
	for _, slots := range d {
		total += slots
	}
	return total
}

// DemandReport is the demand of a router in each pool, as it is sent to other
// routers.
type DemandReport struct {
	Router string
	Pools  map[PoolName]Demand
}

// Size estimates the size in bytes of the datagram of a report, with all
// headers.
func (r *DemandReport) Size() int {
	size := headerBytes + len(r.Router)
	for pool, demand := range r.Pools {
		size += poolBytes + len(pool) + Levels
		for _, slots := range demand {
			if slots >= twoByteSlots {
				size++
			}
		}
	}
	return size
}

// Period returns the interval at which a router sends its report, so that it
// sends, and receives, at most budget bytes per second. It is at least one
// second. routers counts the router itself too, and reportBytes is the size of
// a report.
func Period(routers, reportBytes int, budget float64) time.Duration {
	const shortest = time.Second
	seconds := float64(routers-1) * float64(reportBytes) / budget
	return max(shortest, time.Duration(seconds*float64(time.Second)))
}

// Range is the part of each server of a pool that belongs to a router: the
// slots from Low to High, as fractions of the server's slots.
type Range struct {
	Low, High float64
}

// Slots returns the number of whole slots of a server in the range. offset,
// from 0 to 1, differs by server. It determines the rounding such that the
// ranges of all routers add up to the slots of each server and each router gets
// its share of the pool.
func (r Range) Slots(slots int, offset float64) int {
	n := float64(slots)
	return int(math.Floor(n*r.High+offset) - math.Floor(n*r.Low+offset))
}

// Divide divides capacity between demands, level by level. A level whose demand
// exceeds the remaining capacity is met in proportion. Capacity that is left
// over is spread evenly, so that a router whose demand rises has slots before
// the next reports. The result is in the order of demands and adds up to
// capacity.
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
		fraction := min(1, left/total)
		for i := range demands {
			parts[i] += demands[i][level] * fraction
		}
		left = max(0, left-total)
	}
	even := left / float64(len(demands))
	for i := range parts {
		parts[i] += even
	}
	return parts
}
