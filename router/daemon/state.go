package daemon

import (
	"runtime"
	"time"

	"snipetally.example/router/internal/dump"
)

// state returns the state dump of the process.
func (r *Router) state() dump.State {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := dump.State{
		At:         time.Now(),
		Started:    r.started,
		VM:         r.settings.VM.Name,
		Zone:       r.settings.VM.Zone,
		Region:     r.settings.VM.Region,
		Ready:      r.Ready(),
		Closing:    r.stopping.Load(),
		Inside:     r.inflight.Count(),
		Goroutines: runtime.NumGoroutine(),
		Memory:     memory.HeapAlloc,
		Report:     r.network.spreader.Confirmed(),
		Spread:     r.network.spreader.Stats(),
		Members:    r.network.pool.Stats(),
		Parts:      r.parts(),
	}
	if snapshot := r.fleet.Acquire(); snapshot != nil {
		s.Revision = snapshot.Revision
		s.Preset = snapshot.Preset.Name
		s.Holders = snapshot.References() - 1
		snapshot.Release()
	}
	return s
}

// parts returns the states of the router's other parts.
func (r *Router) parts() []dump.Part {
	return []dump.Part{
		{Name: "gate", State: r.gate.State()},
		{Name: "records", State: r.book.State()},
		{Name: "table", State: r.platform.table.Statistics()},
		{Name: "links", State: r.links.States()},
		{Name: "exchange", State: r.network.exchange.Statistics()},
		{Name: "inside", State: r.inflight.CountByClass()},
	}
}
