package daemon

import (
	"runtime"
	"time"

	"snipetally.example/router/internal/dump"
)

// dumpState returns the state dump of the process.
func (r *Router) dumpState() dump.State {
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
		Report:     r.cluster.replicator.Report(),
		Spread:     r.cluster.replicator.Stats(),
		Members:    r.cluster.node.Stats(),
		Parts:      r.componentStates(),
	}
	if snapshot := r.fleet.Acquire(); snapshot != nil {
		s.Revision = snapshot.Revision
		s.Preset = snapshot.Preset.Name
		s.Holders = snapshot.References() - 1
		snapshot.Release()
	}
	return s
}

// componentStates returns the states of the router's other components.
func (r *Router) componentStates() []dump.Part {
	return []dump.Part{
		{Name: "gate", State: r.gate.State()},
		{Name: "records", State: r.recorder.State()},
		{Name: "table", State: r.platform.table.Statistics()},
		{Name: "links", State: r.links.States()},
		{Name: "exchange", State: r.cluster.exchange.Statistics()},
		{Name: "inside", State: r.inflight.CountByClass()},
	}
}
