package relay

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sort"
	"strings"
)

// planIndex is a plan with lookup tables. It is immutable; a request uses the
// same one until it ends.
type planIndex struct {
	plan           Plan
	classesByHost  map[string][]*Class
	servicesByName map[string]*Service
	teamsByKey     map[string]*Team
	keysRequired   bool

	// ranks maps each priority that a request can have to its rank; 0 is the
	// most important.
	ranks map[priority]int
}

// priority orders requests: by the tier in force for them, and then by the tier
// of their class.
type priority struct {
	tier      int
	classTier int
}

// newPlanIndex builds the lookup tables of a plan.
func newPlanIndex(plan Plan) *planIndex {
	index := &planIndex{
		plan:           plan,
		classesByHost:  make(map[string][]*Class),
		servicesByName: make(map[string]*Service, len(plan.Services)),
		teamsByKey:     make(map[string]*Team),
		keysRequired:   plan.KeysRequired || len(plan.Teams) > 0,
	}
	for i := range plan.Classes {
		class := &plan.Classes[i]
		host := strings.ToLower(class.Host)
		index.classesByHost[host] = append(index.classesByHost[host], class)
	}
	for _, classes := range index.classesByHost {
		sort.SliceStable(classes, func(i, j int) bool { return len(classes[i].Prefix) > len(classes[j].Prefix) })
	}
	for i := range plan.Services {
		index.servicesByName[plan.Services[i].Name] = &plan.Services[i]
	}
	for i := range plan.Teams {
		for _, key := range plan.Teams[i].Keys {
			index.teamsByKey[key] = &plan.Teams[i]
		}
	}
	index.ranks = rankPriorities(plan)
	return index
}

// rankPriorities returns the rank of each priority that requests can have under
// a plan. A plan has far fewer of them than pairs of a class and a team.
func rankPriorities(plan Plan) map[priority]int {
	teamTiers := make(map[int]struct{})
	for i := range plan.Teams {
		if team := &plan.Teams[i]; team.OverridesTier {
			teamTiers[team.Tier] = struct{}{}
		}
	}
	classTiers := make(map[int]struct{})
	for i := range plan.Classes {
		classTiers[plan.Classes[i].Tier] = struct{}{}
	}
	all := make(map[priority]struct{})
	for classTier := range classTiers {
		all[priority{tier: classTier, classTier: classTier}] = struct{}{}
		for tier := range teamTiers {
			all[priority{tier: tier, classTier: classTier}] = struct{}{}
		}
	}
	sorted := slices.SortedFunc(maps.Keys(all), func(a, b priority) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.classTier, b.classTier))
	})
	ranks := make(map[priority]int, len(sorted))
	for i, p := range sorted {
		ranks[p] = i
	}
	return ranks
}

// class returns the class of the host with the longest prefix that matches the
// path, or nil.
func (p *planIndex) class(host, path string) *Class {
	for _, class := range p.classesByHost[hostname(host)] {
		if strings.HasPrefix(path, class.Prefix) {
			return class
		}
	}
	return nil
}

// hostname returns the host name in a Host header in lower case, without the
// port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// priorityOf returns the priority of a request of a class by a team, which may
// be nil. A team's own tier replaces the tier of the class.
func priorityOf(class *Class, team *Team) priority {
	if team != nil && team.OverridesTier {
		return priority{tier: team.Tier, classTier: class.Tier}
	}
	return priority{tier: class.Tier, classTier: class.Tier}
}
