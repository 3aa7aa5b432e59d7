package exchange

import (
	"math"

	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/share"
	"snipetally.example/wire/demand"
)

// tenths is the number of units of a slot in a note.
const tenths = 10

func noteToWire(note share.DemandReport) *demand.Note {
	w := &demand.Note{}
	for name, slots := range note.Pools {
		pool := &demand.Pool{Name: string(name), Slots: make([]uint32, 0, len(slots))}
		for _, n := range slots {
			pool.Slots = append(pool.Slots, uint32(math.Round(n*tenths)))
		}
		w.Pools = append(w.Pools, pool)
	}
	return w
}

func noteFromWire(router string, w *demand.Note) share.DemandReport {
	note := share.DemandReport{Router: router, Pools: make(map[share.PoolName]share.Demand, len(w.GetPools()))}
	for _, pool := range w.GetPools() {
		var d share.Demand
		for level, n := range pool.GetSlots() {
			if level < len(d) {
				d[level] = float64(n) / tenths
			}
		}
		note.Pools[share.PoolName(pool.GetName())] = d
	}
	return note
}

func limitsToWire(usages []limit.TeamDemand) *demand.Limits {
	w := &demand.Limits{}
	for _, usage := range usages {
		w.Usages = append(w.Usages, &demand.Usage{
			Team:     usage.Team,
			Requests: float32(usage.Demand.Requests),
			Tokens:   float32(usage.Demand.Tokens),
			Running:  float32(usage.Demand.Running),
			Sum:      usage.IsTotal,
		})
	}
	return w
}

func limitsFromWire(from, to string, w *demand.Limits) limit.Message {
	message := limit.Message{From: from, To: to}
	for _, usage := range w.GetUsages() {
		message.Teams = append(message.Teams, limit.TeamDemand{
			Team: usage.GetTeam(),
			Demand: limit.Demand{
				Requests: float64(usage.GetRequests()),
				Tokens:   float64(usage.GetTokens()),
				Running:  float64(usage.GetRunning()),
			},
			IsTotal: usage.GetSum(),
		})
	}
	return message
}
