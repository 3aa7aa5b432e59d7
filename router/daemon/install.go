package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"snipetally.example/coordination/revision"
	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/fleet"
)

// installer puts settings in force, with what the VM list says of backend
// servers.
type installer struct {
	router *Router

	// mu is held while a snapshot is put in force, and guards the fields below.
	mu       sync.Mutex
	decoder  document.Decoder
	revision uint64
	plan     fleet.Plan
	listing  uint64
	leaving  map[string]struct{}
}

// Install implements spread.Installer. Each document was checked before it was
// accepted. Two accepted changes can still contradict each other, such as a
// team that names a class that was removed at the same time; such a plan is put
// in force as it is, and the requests concerned are refused.
func (i *installer) Install(_ context.Context, s *revision.Snapshot) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	form, err := i.decoder.Decode(s)
	if err != nil {
		return fmt.Errorf("install revision %d: %w", s.Revision, err)
	}
	plan, problems := document.Convert(form)
	for _, problem := range problems {
		i.router.log.Warn().Uint64("revision", s.Revision).Str("place", problem.Path).Msg(problem.Message)
	}
	i.revision, i.plan = s.Revision, plan
	i.apply()
	i.router.log.Info().Uint64("revision", s.Revision).Str("preset", plan.ActivePreset).Msg("settings in force")
	return nil
}

// listed takes in the addresses of the VMs that the VM list calls leaving.
// Backend servers among them get no new work.
func (i *installer) listed(leaving map[string]struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if maps.Equal(leaving, i.leaving) {
		return
	}
	i.leaving = leaving
	i.listing++
	if i.revision > 0 {
		i.apply()
	}
}

// apply builds a snapshot and puts it in force. The caller holds i.mu.
func (i *installer) apply() {
	r := i.router
	plan := i.plan
	plan.Servers = slices.Clone(plan.Servers)
	for n := range plan.Servers {
		if _, ok := i.leaving[plan.Servers[n].Address]; ok {
			plan.Servers[n].State = backend.StateDraining
		}
	}
	next := fleet.New(i.revision, plan)
	next.VMListVersion = i.listing
	if !r.fleet.Install(next) {
		return
	}
	current := r.fleet.Acquire()
	defer current.Release()
	r.gate.Apply(current)
	addresses := r.backendAddresses()
	r.links.Retain(func(address string) bool {
		_, ok := addresses[address]
		return ok
	})
}
