// Package fleet holds the immutable snapshot of everything that operators
// decide: classes, presets, contracts and backend servers at one revision. A
// request acquires one snapshot, works on it throughout and releases it. The
// package imports the packages of plain data only.
package fleet

import (
	"sync/atomic"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/preset"
)

// Plan is the plain data of a snapshot, as operators wrote it.
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

// Service is a named plain service, run by one or more backend servers.
type Service struct {
	Name string

	// AtMostOnce marks a service whose calls are not idempotent.
	AtMostOnce bool

	// ReportsStatus says that the service echoes attempt ids and answers where an
	// attempt stands.
	ReportsStatus bool
}

// Snapshot is the fleet at one revision. Nothing in it changes after New.
type Snapshot struct {
	Revision uint64

	// VMListVersion counts the changes of the VM list that were applied to the plan
	// on this VM.
	VMListVersion uint64
	Preset        preset.Preset
	Plan          Plan

	// Classes are the classes with the preset in force applied, by name.
	Classes  map[string]*class.Class
	Teams    map[string]*contract.Team
	Partners map[string]*contract.Partner
	Services map[string]*Service

	// Servers are the backend servers by name, with what the preset in force
	// places on them. Order holds the same in the order of the plan.
	Servers        map[string]*backend.Server
	OrderedServers []*backend.Server

	// ByModel and ByService hold the active and leaving servers in the order
	// of the plan.
	ByModel   map[string][]*backend.Server
	ByService map[string][]*backend.Server

	keys map[contract.KeyHash]*contract.Team
	refs atomic.Int64
}

// NewerThan reports whether s is newer than other, which may be nil.
func (s *Snapshot) NewerThan(other *Snapshot) bool {
	if other == nil || s.Revision != other.Revision {
		return other == nil || s.Revision > other.Revision
	}
	return s.VMListVersion > other.VMListVersion
}

// New builds the snapshot of plan at revision. The caller must not change the
// plan afterwards. The snapshot starts with one reference, owned by the caller.
func New(revision uint64, plan Plan) *Snapshot {
	s := &Snapshot{
		Revision:  revision,
		Plan:      plan,
		Classes:   make(map[string]*class.Class, len(plan.Classes)),
		Teams:     make(map[string]*contract.Team, len(plan.Teams)),
		Partners:  make(map[string]*contract.Partner, len(plan.Partners)),
		Services:  make(map[string]*Service, len(plan.Services)),
		Servers:   make(map[string]*backend.Server, len(plan.Servers)),
		ByModel:   make(map[string][]*backend.Server),
		ByService: make(map[string][]*backend.Server),
		keys:      make(map[contract.KeyHash]*contract.Team),
	}
	s.refs.Store(1)
	s.indexPreset()
	s.indexContracts()
	s.indexServers()
	return s
}

// TeamByKey returns the team that the key hash names.
func (s *Snapshot) TeamByKey(key contract.KeyHash) (*contract.Team, bool) {
	team, ok := s.keys[key]
	return team, ok
}

// ReportsStatus reports whether the named service answers where an attempt stands.
func (s *Snapshot) ReportsStatus(service string) bool {
	known, ok := s.Services[service]
	return ok && known.ReportsStatus
}

// indexPreset applies the preset in force to the classes.
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
			s.keys[key] = team
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
		server := s.placed(&s.Plan.Servers[i])
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

// placed returns the server with what the preset in force places on it.
func (s *Snapshot) placed(server *backend.Server) *backend.Server {
	placement, ok := s.Preset.Placements[server.Name]
	if !ok {
		return server
	}
	changed := *server
	changed.Models = placement.Models
	return &changed
}
