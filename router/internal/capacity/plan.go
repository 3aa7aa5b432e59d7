// Package capacity builds plans of the deployment sizes for which
// docs/CAPACITY.md computes what a router costs. Its tests compare that page
// with the code. Only tests import it; it imports document and the revisions of
// coordination.
package capacity

import (
	"fmt"

	"snipetally.example/coordination/revision"
	"snipetally.example/router/internal/document"
)

const (
	// Models is the number of models in a plan.
	Models = 15

	// Zones is the number of availability zones in a plan.
	Zones = 15

	// Regions is the number of regions in a plan.
	Regions = 4

	partners           = 2
	slotsPerServer     = 16
	addressesPerSubnet = 250
	firstTeamKey       = 1
)

// Size is the size of a deployment.
type Size struct {
	Routers int
	Servers int
	Teams   int
}

// String returns the numbers of routers and servers, as in 9x20.
func (s Size) String() string {
	return fmt.Sprintf("%dx%d", s.Routers, s.Servers)
}

// Sizes returns the sizes on the page, the smallest first.
func Sizes() []Size {
	return []Size{
		{Routers: 9, Servers: 20, Teams: 20},
		{Routers: 9, Servers: 30, Teams: 20},
		{Routers: 100, Servers: 3000, Teams: 920},
		{Routers: 400, Servers: 12_000, Teams: 920},
	}
}

// Encode returns the first revision of a plan.
func Encode(p document.Plan) (*revision.Snapshot, error) {
	changes, err := document.Encode(p)
	if err != nil {
		return nil, fmt.Errorf("encode plan: %w", err)
	}
	s := &revision.Snapshot{Revision: 1, Documents: make(map[string]revision.Document, len(changes))}
	for _, change := range changes {
		s.Documents[change.Key] = revision.Document{Key: change.Key, Value: change.Value, Revision: 1}
	}
	return s, nil
}

// Plan returns the plan of a deployment: a class for each tier, three presets,
// and engines that are spread evenly over models, zones and partners.
func Plan(size Size) document.Plan {
	const tiers = 6
	p := document.Plan{
		ActivePreset: "day",
		Partners:     []document.Partner{{Name: "one"}, {Name: "two"}},
		Presets:      []document.Preset{{Name: "day"}, {Name: "peak"}, {Name: "maintenance"}},
	}
	for i := range tiers {
		p.Classes = append(p.Classes, document.Class{
			Name: fmt.Sprintf("class-%d", i), Tier: i,
			FirstTokenTarget: "420ms", BetweenTokensTarget: "38ms", QueueTimeout: "20s", Weight: 1, MaxQueued: 1000,
		})
	}
	for i := range size.Teams {
		p.Teams = append(p.Teams, document.Team{
			Name:              fmt.Sprintf("team-%04d", i),
			Partner:           p.Partners[i%partners].Name,
			Keys:              []string{fmt.Sprintf("%064x", i+firstTeamKey)},
			Classes:           []string{"class-0", "class-3", "class-5"},
			Weight:            1,
			RequestsPerSecond: 20,
			TokensPerSecond:   4000,
			MaxRunning:        40,
		})
	}
	for i := range size.Servers {
		p.Servers = append(p.Servers, server(i, p.Partners[i%partners].Name))
	}
	return p
}

// server returns the i-th engine.
func server(i int, partner string) document.Server {
	zone := i % Zones
	return document.Server{
		Name:    fmt.Sprintf("server-%05d", i),
		Address: fmt.Sprintf("10.%d.%d.%d:8000", zone, i/addressesPerSubnet, i%addressesPerSubnet),
		Zone:    fmt.Sprintf("zone-%d", zone),
		Region:  fmt.Sprintf("region-%d", zone%Regions),
		Partner: partner,
		Models:  []string{fmt.Sprintf("model-%d", i%Models)},
		Slots:   slotsPerServer,
	}
}
