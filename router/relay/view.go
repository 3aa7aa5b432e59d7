package relay

import (
	"net"
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
	return v
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

// tier returns the importance of a request of a class by a team.
func tier(class *Class, team *Team) int {
	if team != nil && team.Ranked {
		return team.Tier
	}
	return class.Tier
}
