package exchange

import (
	"math"

	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/share"
	"snipetally.example/wire/demand"
)

// unitsPerSlot is the number of wire units per slot: demand is sent in tenths
// of a slot.
const unitsPerSlot = 10

// reportToWire converts a demand report to its wire type.
func reportToWire(report share.DemandReport) *demand.Note {
	w := &demand.Note{}
	for name, slots := range report.Pools {
		pool := &demand.Pool{Name: string(name), Slots: make([]uint32, 0, len(slots))}
		for _, n := range slots {
			pool.Slots = append(pool.Slots, uint32(math.Round(n*unitsPerSlot)))
		}
		w.Pools = append(w.Pools, pool)
	}
	return w
}

// reportFromWire converts the demand report of a router from its wire type.
func reportFromWire(router string, w *demand.Note) share.DemandReport {
	report := share.DemandReport{Router: router, Pools: make(map[share.PoolName]share.Demand, len(w.GetPools()))}
	for _, pool := range w.GetPools() {
		var d share.Demand
		for level, n := range pool.GetSlots() {
			if level < len(d) {
				d[level] = float64(n) / unitsPerSlot
			}
		}
		report.Pools[share.PoolName(pool.GetName())] = d
	}
	return report
}

// limitsToWire converts the teams of a message about limits to their wire type.
func limitsToWire(teams []limit.TeamDemand) *demand.Limits {
	w := &demand.Limits{}
	for _, team := range teams {
		w.Usages = append(w.Usages, &demand.Usage{
			Team:     team.Team,
			Requests: float32(team.Demand.Requests),
			Tokens:   float32(team.Demand.Tokens),
			Running:  float32(team.Demand.Running),
			Sum:      team.IsTotal,
		})
	}
	return w
}

// limitsFromWire converts a message about limits from its wire type, which names
// neither sender nor receiver.
func limitsFromWire(from, to string, w *demand.Limits) limit.Message {
	message := limit.Message{From: from, To: to}
	for _, team := range w.GetUsages() {
		message.Teams = append(message.Teams, limit.TeamDemand{
			Team: team.GetTeam(),
			Demand: limit.Demand{
				Requests: float64(team.GetRequests()),
				Tokens:   float64(team.GetTokens()),
				Running:  float64(team.GetRunning()),
			},
			IsTotal: team.GetSum(),
		})
	}
	return message
}
