// Package fleet defines the immutable snapshot of the configuration that operators
// manage: classes, presets, contracts and backend servers at one revision. A
// request acquires one snapshot, uses it throughout and releases it at the end. The
// package imports the packages of plain data only.
package fleet

import (
	"sync/atomic"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/preset"
)

// Plan is the plain data of a snapshot as written by operators.
type Plan struct {
	Classes  []class.Class
	Presets  []preset.Preset
	Partners []contract.Partner
	Teams    []contract.Team
	Services []Service
	Servers  []backend.Server

	// ActivePreset is the name of the preset in force.
	ActivePreset string
}

// Service is a named plain service that one or more backend servers run.
type Service struct {
	Name string

	// AtMostOnce marks a service whose calls are not idempotent and so must run at
	// most once.
	AtMostOnce bool

	// ReportsStatus marks a service that echoes attempt IDs and answers queries
	// about the status of an attempt.
	ReportsStatus bool
}

// Snapshot is the fleet at one revision. It is immutable after New, except that
// VMListVersion is set before the snapshot is installed.
type Snapshot struct {
	Revision uint64

	// VMListVersion is the number of changes of the VM list that this router has
	// applied to the plan. It orders snapshots of the same revision.
	VMListVersion uint64
	Preset        preset.Preset
	Plan          Plan

	// Classes are the classes by name, with the preset in force applied.
	Classes  map[string]*class.Class
	Teams    map[string]*contract.Team
	Partners map[string]*contract.Partner
	Services map[string]*Service

	// Servers are the backend servers by name, with the placements of the preset
	// in force applied. OrderedServers holds the same servers in plan order.
	Servers        map[string]*backend.Server
	OrderedServers []*backend.Server

	// ByModel and ByService index the active and draining servers by model and by
	// service, in plan order.
	ByModel   map[string][]*backend.Server
	ByService map[string][]*backend.Server

	teamsByKey map[contract.KeyHash]*contract.Team
	refs       atomic.Int64
}

// NewerThan reports whether s is newer than other, by revision and then by VM list
// version. A nil other is older than any snapshot.
func (s *Snapshot) NewerThan(other *Snapshot) bool {
	if other == nil || s.Revision != other.Revision {
		return other == nil || s.Revision > other.Revision
	}
	return s.VMListVersion > other.VMListVersion
}

// New builds the snapshot of plan at revision. The caller must not modify the plan
// afterwards. The snapshot starts with one reference, which the caller owns.
func New(revision uint64, plan Plan) *Snapshot {
	s := &Snapshot{
		Revision:   revision,
		Plan:       plan,
		Classes:    make(map[string]*class.Class, len(plan.Classes)),
		Teams:      make(map[string]*contract.Team, len(plan.Teams)),
		Partners:   make(map[string]*contract.Partner, len(plan.Partners)),
		Services:   make(map[string]*Service, len(plan.Services)),
		Servers:    make(map[string]*backend.Server, len(plan.Servers)),
		ByModel:    make(map[string][]*backend.Server),
		ByService:  make(map[string][]*backend.Server),
		teamsByKey: make(map[contract.KeyHash]*contract.Team),
	}
	s.refs.Store(1)
	s.indexPreset()
	s.indexContracts()
	s.indexServers()
	return s
}

// TeamByKey returns the team that the key with the given hash belongs to.
func (s *Snapshot) TeamByKey(key contract.KeyHash) (*contract.Team, bool) {
	team, ok := s.teamsByKey[key]
	return team, ok
}

// ReportsStatus reports whether the named service answers queries about the status
// of an attempt.
func (s *Snapshot) ReportsStatus(service string) bool {
	known, ok := s.Services[service]
	return ok && known.ReportsStatus
}

// indexPreset selects the preset in force and applies it to the classes.
func (s *Snapshot) indexPreset() {
	for i := range s.Plan.Presets {
		if s.Plan.Presets[i].Name == s.Plan.ActivePreset {
			s.Preset = s.Plan.Presets[i]
		}
	}
	for _, c := range s.Plan.Classes {
		applied := s.Preset.Apply(c)
		s.Classes[c.Name] = &applied
	}
}

// indexContracts indexes partners, teams and their keys.
func (s *Snapshot) indexContracts() {
	for i := range s.Plan.Partners {
		partner := &s.Plan.Partners[i]
		s.Partners[partner.Name] = partner
	}
	for i := range s.Plan.Teams {
		team := &s.Plan.Teams[i]
		s.Teams[team.Name] = team
		for _, key := range team.Keys {
			s.teamsByKey[key] = team
		}
	}
}

// indexServers indexes services and backend servers.
func (s *Snapshot) indexServers() {
	for i := range s.Plan.Services {
		service := &s.Plan.Services[i]
		s.Services[service.Name] = service
	}
	for i := range s.Plan.Servers {
		server := s.withPlacement(&s.Plan.Servers[i])
		s.Servers[server.Name] = server
		s.OrderedServers = append(s.OrderedServers, server)
		if server.Kind == backend.KindService {
			s.ByService[server.Service] = append(s.ByService[server.Service], server)
			continue
		}
		for _, model := range server.Models {
			s.ByModel[model] = append(s.ByModel[model], server)
		}
	}
}

// withPlacement returns the server with its placement by the preset in force, if
// any.
func (s *Snapshot) withPlacement(server *backend.Server) *backend.Server {
	placement, ok := s.Preset.Placements[server.Name]
	if !ok {
		return server
	}
	changed := *server
	changed.Models = placement.Models
	return &changed
}
