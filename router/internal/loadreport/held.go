package loadreport

import (
	"maps"
	"net/netip"
	"time"

	"snipetally.example/router/internal/placement"
)

// heldLoad is a load that a router published.
type heldLoad struct {
	load       placement.Load
	receivedAt time.Time
}

// hold stores the loads that a router published. Engines without load are
// dropped.
func (d *Directory) hold(now time.Time, router netip.AddrPort, loads []placement.ServerLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range loads {
		held := d.held[l.Server]
		switch {
		case l.Running > 0:
			if held == nil {
				held = make(map[netip.AddrPort]heldLoad)
				d.held[l.Server] = held
			}
			held[router] = heldLoad{load: l.Load, receivedAt: now}
		case held != nil:
			delete(held, router)
			if len(held) == 0 {
				delete(d.held, l.Server)
			}
		}
	}
}

// dropExpired drops the loads that were not published again, and the homes that
// may be asked again.
func (d *Directory) dropExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for engine, held := range d.held {
		maps.DeleteFunc(held, func(_ netip.AddrPort, h heldLoad) bool { return h.expired(now) })
		if len(held) == 0 {
			delete(d.held, engine)
		}
	}
	maps.DeleteFunc(d.silentUntil, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
}

// expired reports whether the load was not published again in time.
func (h heldLoad) expired(now time.Time) bool { return now.Sub(h.receivedAt) > heldTTL }

// sums returns the sums of the loads that all routers but one published at
// engines.
func (d *Directory) sums(now time.Time, except netip.AddrPort, engines []placement.ServerLoad) []placement.ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	sums := make([]placement.ServerLoad, 0, len(engines))
	for _, engine := range engines {
		var loads []placement.Load
		for router, h := range d.held[engine.Server] {
			if router != except && !h.expired(now) {
				loads = append(loads, h.load)
			}
		}
		sums = append(sums, placement.ServerLoad{Server: engine.Server, Load: placement.SumLoads(loads...)})
	}
	return sums
}

// applyHeld gives the load source the loads at engines whose home this router
// is.
func (d *Directory) applyHeld(now time.Time, engines []placement.ServerLoad) {
	for _, sum := range d.sums(now, d.config.Address, engines) {
		d.config.Loads.SetPeerLoad(now, sum.Server, sum.Load)
	}
}
