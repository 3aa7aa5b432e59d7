package document

import (
	"net/netip"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/preset"
)

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 64

// maxFloor bounds the sum of the floors of all classes. The remaining capacity is
// allocated strictly by tier.
const maxFloor = 0.5

// nameSet holds the names of one kind of document.
type nameSet map[string]struct{}

// checkName adds name to seen. It reports a name that is empty, repeated or not
// valid in a document key.
func (conv *converter) checkName(kind string, i int, name string, seen nameSet) {
	if !validName(name) {
		conv.problemf(indexedPath(kind, i)+".name", "%q is not a name of 1 to %d letters, digits, dots, dashes or underscores", name, maxNameBytes)
	}
	if _, ok := seen[name]; ok {
		conv.problemf(indexedPath(kind, i)+".name", "%q stands twice", name)
	}
	seen[name] = struct{}{}
}

// validName reports whether a name has only characters that a document key may
// have, and neither too few nor too many.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

// requireKnown reports a problem unless known contains name.
func (conv *converter) requireKnown(path, kind, name string, known nameSet) {
	if !known.has(name) {
		conv.addUnknown(path, kind, name)
	}
}

// addUnknown reports a reference to a name that does not exist. The checks of
// teams and servers call it directly, so that a plan with thousands of them builds
// paths only for actual problems.
func (conv *converter) addUnknown(path, kind, name string) {
	conv.problemf(path, "there is no %s %q", kind, name)
}

// has reports whether the set contains name.
func (n nameSet) has(name string) bool {
	_, ok := n[name]
	return ok
}

// checkPlan reports invalid names, values out of range and broken references
// between the parts of a plan.
func (conv *converter) checkPlan(plan fleet.Plan) {
	partners := conv.checkPartners(plan)
	classes := conv.checkClasses(plan, partners)
	conv.checkTeams(plan, partners, classes)
	conv.checkServers(plan, partners)
	conv.checkPresets(plan, classes)
}

// checkPartners checks the partners and their loans, and returns the names of the
// partners.
func (conv *converter) checkPartners(plan fleet.Plan) nameSet {
	seen := nameSet{}
	for i, partner := range plan.Partners {
		conv.checkName("partner", i, partner.Name, seen)
	}
	for i, partner := range plan.Partners {
		for j, loan := range partner.Loans {
			conv.requireKnown(indexedPath(indexedPath("partner", i)+".loan", j)+".to", "partner", loan.Borrower, seen)
		}
	}
	return seen
}

// checkClasses checks the classes as they are without a preset, and returns their
// names.
func (conv *converter) checkClasses(plan fleet.Plan, partners nameSet) nameSet {
	seen := nameSet{}
	for i := range plan.Classes {
		c := &plan.Classes[i]
		path := indexedPath("class", i)
		conv.checkName("class", i, c.Name, seen)
		if c.Partner != "" {
			conv.requireKnown(path+".partner", "partner", c.Partner, partners)
		}
		conv.checkTargets(path, c)
	}
	return seen
}

// checkTargets reports latency targets, weights, floors and queue bounds that are
// out of range.
func (conv *converter) checkTargets(path string, c *class.Class) {
	if c.FirstTokenTarget <= 0 {
		conv.problemf(path+".first", "a target is needed")
	}
	if c.QueueTimeout <= 0 {
		conv.problemf(path+".deadline", "a deadline is needed")
	}
	if c.Weight <= 0 {
		conv.problemf(path+".weight", "%v is not above 0", c.Weight)
	}
	if c.Floor < 0 || c.Floor > maxFloor {
		conv.problemf(path+".floor", "%v is not between 0 and %v", c.Floor, maxFloor)
	}
	if c.MaxQueued <= 0 {
		conv.problemf(path+".queue", "%d is not above 0", c.MaxQueued)
	}
}

// checkPresets checks the presets, the classes as each of them changes them, and
// that the preset in force exists.
func (conv *converter) checkPresets(plan fleet.Plan, classes nameSet) {
	seen := nameSet{}
	for i := range plan.Presets {
		p := &plan.Presets[i]
		path := indexedPath("preset", i)
		conv.checkName("preset", i, p.Name, seen)
		for name := range p.Overrides {
			conv.requireKnown(path+".class", "class", name, classes)
		}
		conv.checkPlacements(path, p, plan)
		floors := 0.0
		for _, c := range plan.Classes {
			applied := p.Apply(c)
			if applied != c {
				conv.checkTargets(path, &applied)
			}
			floors += applied.Floor
		}
		if floors > maxFloor {
			conv.problemf(path, "the floors add up to %v, which is above %v", floors, maxFloor)
		}
	}
	conv.requireKnown("force", "preset", plan.ActivePreset, seen)
}

// checkPlacements reports placements on servers that are not engines.
func (conv *converter) checkPlacements(path string, p *preset.Preset, plan fleet.Plan) {
	engines := nameSet{}
	for i := range plan.Servers {
		if plan.Servers[i].Kind == backend.KindEngine {
			engines[plan.Servers[i].Name] = struct{}{}
		}
	}
	for name := range p.Placements {
		conv.requireKnown(path+".server", "engine", name, engines)
	}
}

// checkTeams checks the teams, and that no key belongs to two of them.
func (conv *converter) checkTeams(plan fleet.Plan, partners, classes nameSet) {
	seen := make(nameSet, len(plan.Teams))
	owners := make(map[contract.KeyHash]string, len(plan.Teams))
	for i := range plan.Teams {
		team := &plan.Teams[i]
		pathOf := func(field string) string { return indexedPath("team", i) + field }
		conv.checkName("team", i, team.Name, seen)
		if !partners.has(team.Partner) {
			conv.addUnknown(pathOf(".partner"), "partner", team.Partner)
		}
		if len(team.Classes) == 0 {
			conv.problemf(pathOf(".classes"), "a team needs a class")
		}
		for _, name := range team.Classes {
			if !classes.has(name) {
				conv.addUnknown(pathOf(".classes"), "class", name)
			}
		}
		if team.Weight <= 0 {
			conv.problemf(pathOf(".weight"), "%v is not above 0", team.Weight)
		}
		if team.Limits.RequestsPerSecond < 0 || team.Limits.TokensPerSecond < 0 || team.Limits.MaxRunning < 0 {
			conv.problemf(pathOf(""), "a limit is below 0")
		}
		for _, key := range team.Keys {
			if owner, ok := owners[key]; ok {
				conv.problemf(pathOf(".keys"), "a key is used by team %q too", owner)
			}
			owners[key] = team.Name
		}
	}
}

// checkServers checks the plain services and the backend servers.
func (conv *converter) checkServers(plan fleet.Plan, partners nameSet) {
	services := nameSet{}
	for i, service := range plan.Services {
		conv.checkName("service", i, service.Name, services)
	}
	seen := make(nameSet, len(plan.Servers))
	for i := range plan.Servers {
		server := &plan.Servers[i]
		pathOf := func(field string) string { return indexedPath("server", i) + field }
		conv.checkName("server", i, server.Name, seen)
		if !partners.has(server.Partner) {
			conv.addUnknown(pathOf(".partner"), "partner", server.Partner)
		}
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			conv.problemf(pathOf(".address"), "%q is not an IP address and port", server.Address)
		}
		if server.Service != "" && !services.has(server.Service) {
			conv.addUnknown(pathOf(".service"), "service", server.Service)
		}
		if server.Slots <= 0 {
			conv.problemf(pathOf(".slots"), "%d is not above 0", server.Slots)
		}
		if server.Zone == "" || server.Region == "" {
			conv.problemf(pathOf(""), "a zone and a region are needed")
		}
	}
}
