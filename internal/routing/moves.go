package routing

import (
	"slices"
	"strings"
	"time"
)

// InheritMoves sets MovedAt of the routes by the configuration before. now is when this node learned of c. It must be
// called before c is shared.
func (c *Config) InheritMoves(before *Config, now time.Time) {
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, former := range c.formerRoutes(before, r) {
			if former.MovedAt.After(r.MovedAt) {
				r.MovedAt = former.MovedAt
			}
			if !slices.Equal(former.services(), r.services()) {
				r.MovedAt = now
				break
			}
		}
	}
}

// formerRoutes returns the routes of the configuration before whose requests may be matched by a route of c now.
func (c *Config) formerRoutes(before *Config, r *Route) (list []*Route) {
	if former := before.Match(r.Host, r.Prefix); former != nil {
		list = append(list, former)
	}
	for _, former := range before.table.byHost[r.Host] {
		isLonger := len(former.Prefix) > len(r.Prefix) && strings.HasPrefix(former.Prefix, r.Prefix)
		if isLonger && c.Match(r.Host, former.Prefix) == r {
			list = append(list, former)
		}
	}
	return list
}

// services returns the names of the services to which requests of the route may be sent, sorted.
func (r *Route) services() (names []string) {
	for _, u := range r.Upstreams {
		if u.Weight > 0 {
			names = append(names, u.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// SoleService returns the service to which all requests of the route's paths have been sent since the given time, as far
// as this node knows; empty if there are several.
func (r *Route) SoleService(since time.Time) string {
	names := r.services()
	if len(names) != 1 || r.MovedAt.After(since) {
		return ""
	}
	return names[0]
}
