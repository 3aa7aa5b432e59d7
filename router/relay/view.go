package relay

import (
	"cmp"
	"net"
	"slices"
	"sort"
	"strings"
)

// view is the plan in force with its indexes. It is immutable; a request holds
// one to its end.
type view struct {
	plan     Plan
	hosts    map[string][]*Class
	services map[string]*Service
	keys     map[string]*Team

	// ranks are the places of all pairs of tiers that requests can have, from
	// the most urgent one on.
	ranks map[importance]int
}

// importance orders requests: by the tier that is in force for them, and among
// equals by the tier of their class.
type importance struct {
	tier  int
	class int
}

// newView builds the indexes of a plan.
func newView(plan Plan) *view {
	v := &view{
		plan:     plan,
		hosts:    make(map[string][]*Class),
		services: make(map[string]*Service, len(plan.Services)),
		keys:     make(map[string]*Team),
	}
	for i := range plan.Classes {
		class := &plan.Classes[i]
		host := strings.ToLower(class.Host)
		v.hosts[host] = append(v.hosts[host], class)
	}
	for _, classes := range v.hosts {
		sort.SliceStable(classes, func(i, j int) bool { return len(classes[i].Prefix) > len(classes[j].Prefix) })
	}
	for i := range plan.Services {
		v.services[plan.Services[i].Name] = &plan.Services[i]
	}
	for i := range plan.Teams {
		for _, key := range plan.Teams[i].Keys {
			v.keys[key] = &plan.Teams[i]
		}
	}
	v.ranks = rankAll(plan)
	return v
}

// rankAll returns the places of all pairs of tiers in a plan.
func rankAll(plan Plan) map[importance]int {
	var all []importance
	for i := range plan.Classes {
		class := &plan.Classes[i]
		all = append(all, importanceOf(class, nil))
		for j := range plan.Teams {
			all = append(all, importanceOf(class, &plan.Teams[j]))
		}
	}
	slices.SortFunc(all, func(a, b importance) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.class, b.class))
	})
	ranks := make(map[importance]int)
	for i, pair := range slices.Compact(all) {
		ranks[pair] = i
	}
	return ranks
}

// class returns the class with the longest prefix that begins the path, or nil.
func (v *view) class(host, path string) *Class {
	for _, class := range v.hosts[hostname(host)] {
		if strings.HasPrefix(path, class.Prefix) {
			return class
		}
	}
	return nil
}

// hostname returns the name in a Host header, without a port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// importanceOf returns the tiers of a request of a class by a team. A team's
// own tier takes the place of that of the class.
func importanceOf(class *Class, team *Team) importance {
	if team != nil && team.OverridesTier {
		return importance{tier: team.Tier, class: class.Tier}
	}
	return importance{tier: class.Tier, class: class.Tier}
}
