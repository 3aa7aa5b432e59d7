package document

import (
	"net/netip"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/preset"
)

// maxName bounds the length of names in bytes.
const maxName = 64

// maxFloor bounds the sum of the floors of all classes. What is left above it
// is served strictly by tier.
const maxFloor = 0.5

// names collects the names of one kind and reports those that are missing,
// repeated or not fit for a document key.
type names map[string]struct{}

func (r *reader) name(kind string, i int, name string, seen names) {
	if !validName(name) {
		r.problemf(place(kind, i)+".name", "%q is not a name of 1 to %d letters, digits, dots, dashes or underscores", name, maxName)
	}
	if _, ok := seen[name]; ok {
		r.problemf(place(kind, i)+".name", "%q stands twice", name)
	}
	seen[name] = struct{}{}
}

func validName(name string) bool {
	if name == "" || len(name) > maxName {
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

// known reports a problem if name is not among the names of its kind.
func (r *reader) known(at, kind, name string, seen names) {
	if !seen.has(name) {
		r.unknown(at, kind, name)
	}
}

// unknown reports that there is no such name. The checks of teams and servers
// call it themselves, so that a plan with thousands of them builds no place for
// what is right.
func (r *reader) unknown(at, kind, name string) {
	r.problemf(at, "there is no %s %q", kind, name)
}

// has reports whether the name is among the names.
func (n names) has(name string) bool {
	_, ok := n[name]
	return ok
}

// check reports what is wrong between the parts of a plan.
func (r *reader) check(plan fleet.Plan) {
	partners := r.checkPartners(plan)
	classes := r.checkClasses(plan, partners)
	r.checkTeams(plan, partners, classes)
	r.checkServers(plan, partners)
	r.checkPresets(plan, classes)
}

func (r *reader) checkPartners(plan fleet.Plan) names {
	seen := names{}
	for i, partner := range plan.Partners {
		r.name("partner", i, partner.Name, seen)
	}
	for i, partner := range plan.Partners {
		for j, loan := range partner.Loans {
			r.known(place(place("partner", i)+".loan", j)+".to", "partner", loan.Borrower, seen)
		}
	}
	return seen
}

func (r *reader) checkClasses(plan fleet.Plan, partners names) names {
	seen := names{}
	for i := range plan.Classes {
		c := &plan.Classes[i]
		at := place("class", i)
		r.name("class", i, c.Name, seen)
		if c.Partner != "" {
			r.known(at+".partner", "partner", c.Partner, partners)
		}
		r.checkPromise(at, c)
	}
	return seen
}

// checkPromise reports targets and shares out of range.
func (r *reader) checkPromise(at string, c *class.Class) {
	if c.FirstTokenTarget <= 0 {
		r.problemf(at+".first", "a target is needed")
	}
	if c.QueueTimeout <= 0 {
		r.problemf(at+".deadline", "a deadline is needed")
	}
	if c.Weight <= 0 {
		r.problemf(at+".weight", "%v is not above 0", c.Weight)
	}
	if c.Floor < 0 || c.Floor > maxFloor {
		r.problemf(at+".floor", "%v is not between 0 and %v", c.Floor, maxFloor)
	}
	if c.MaxQueued <= 0 {
		r.problemf(at+".queue", "%d is not above 0", c.MaxQueued)
	}
}

func (r *reader) checkPresets(plan fleet.Plan, classes names) {
	seen := names{}
	for i := range plan.Presets {
		p := &plan.Presets[i]
		at := place("preset", i)
		r.name("preset", i, p.Name, seen)
		for name := range p.Overrides {
			r.known(at+".class", "class", name, classes)
		}
		r.checkPlacements(at, p, plan)
		floors := 0.0
		for _, c := range plan.Classes {
			applied := p.Apply(c)
			if applied != c {
				r.checkPromise(at, &applied)
			}
			floors += applied.Floor
		}
		if floors > maxFloor {
			r.problemf(at, "the floors add up to %v, which is above %v", floors, maxFloor)
		}
	}
	r.known("force", "preset", plan.ActivePreset, seen)
}

// checkPlacements reports placements on what is no engine.
func (r *reader) checkPlacements(at string, p *preset.Preset, plan fleet.Plan) {
	engines := names{}
	for i := range plan.Servers {
		if plan.Servers[i].Kind == backend.KindEngine {
			engines[plan.Servers[i].Name] = struct{}{}
		}
	}
	for name := range p.Placements {
		r.known(at+".server", "engine", name, engines)
	}
}

func (r *reader) checkTeams(plan fleet.Plan, partners, classes names) {
	seen := make(names, len(plan.Teams))
	owners := make(map[contract.KeyHash]string, len(plan.Teams))
	for i := range plan.Teams {
		team := &plan.Teams[i]
		at := func(field string) string { return place("team", i) + field }
		r.name("team", i, team.Name, seen)
		if !partners.has(team.Partner) {
			r.unknown(at(".partner"), "partner", team.Partner)
		}
		if len(team.Classes) == 0 {
			r.problemf(at(".classes"), "a team needs a class")
		}
		for _, name := range team.Classes {
			if !classes.has(name) {
				r.unknown(at(".classes"), "class", name)
			}
		}
		if team.Weight <= 0 {
			r.problemf(at(".weight"), "%v is not above 0", team.Weight)
		}
		if team.Limits.RequestsPerSecond < 0 || team.Limits.TokensPerSecond < 0 || team.Limits.MaxRunning < 0 {
			r.problemf(at(""), "a limit is below 0")
		}
		for _, key := range team.Keys {
			if owner, ok := owners[key]; ok {
				r.problemf(at(".keys"), "a key is used by team %q too", owner)
			}
			owners[key] = team.Name
		}
	}
}

func (r *reader) checkServers(plan fleet.Plan, partners names) {
	services := names{}
	for i, service := range plan.Services {
		r.name("service", i, service.Name, services)
	}
	seen := make(names, len(plan.Servers))
	for i := range plan.Servers {
		server := &plan.Servers[i]
		at := func(field string) string { return place("server", i) + field }
		r.name("server", i, server.Name, seen)
		if !partners.has(server.Partner) {
			r.unknown(at(".partner"), "partner", server.Partner)
		}
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			r.problemf(at(".address"), "%q is not an IP address and port", server.Address)
		}
		if server.Service != "" && !services.has(server.Service) {
			r.unknown(at(".service"), "service", server.Service)
		}
		if server.Slots <= 0 {
			r.problemf(at(".slots"), "%d is not above 0", server.Slots)
		}
		if server.Zone == "" || server.Region == "" {
			r.problemf(at(""), "a zone and a region are needed")
		}
	}
}
