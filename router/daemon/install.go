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

// installer builds fleet snapshots from settings revisions and the VM list, and
// puts them in force.
type installer struct {
	router *Router

	// mu is held while a snapshot is installed and guards the fields below.
	mu            sync.Mutex
	decoder       document.Decoder
	revision      uint64
	plan          fleet.Plan
	vmListVersion uint64
	leaving       map[string]struct{}
}

// Install implements spread.Installer. Each document was validated before it was
// accepted. Two accepted changes can still conflict, such as a team that names a
// class that was removed concurrently. Such a plan is installed as it is, and the
// affected requests are refused.
func (i *installer) Install(_ context.Context, s *revision.Snapshot) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	doc, err := i.decoder.Decode(s)
	if err != nil {
		return fmt.Errorf("install revision %d: %w", s.Revision, err)
	}
	plan, problems := document.Convert(doc)
	for _, problem := range problems {
		i.router.log.Warn().Uint64("revision", s.Revision).Str("place", problem.Path).Msg(problem.Message)
	}
	i.revision, i.plan = s.Revision, plan
	i.installSnapshot()
	i.router.log.Info().Uint64("revision", s.Revision).Str("preset", plan.ActivePreset).Msg("settings installed")
	return nil
}

// setLeaving sets the addresses of the VMs that the VM list reports as leaving.
// Backend servers among them get no new requests.
func (i *installer) setLeaving(leaving map[string]struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if maps.Equal(leaving, i.leaving) {
		return
	}
	i.leaving = leaving
	i.vmListVersion++
	if i.revision > 0 {
		i.installSnapshot()
	}
}

// installSnapshot builds a snapshot and puts it in force. It also drops the links
// to servers that are gone. The caller must hold i.mu.
func (i *installer) installSnapshot() {
	r := i.router
	plan := i.plan
	plan.Servers = slices.Clone(plan.Servers)
	for n := range plan.Servers {
		if _, ok := i.leaving[plan.Servers[n].Address]; ok {
			plan.Servers[n].State = backend.StateDraining
		}
	}
	next := fleet.New(i.revision, plan)
	next.VMListVersion = i.vmListVersion
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
