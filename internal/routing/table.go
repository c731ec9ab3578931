package routing

import (
	"slices"
	"strings"
	"time"
)

// table holds the lookup tables of one configuration.
type table struct {
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Account
	services map[string]*Service
	// longestStream is the result of LongestStream.
	longestStream time.Duration
	// resumableServices is the result of ResumableServices.
	resumableServices []string
}

// Index builds the lookup tables and returns the configuration. It must be called once, before the
// configuration is shared.
func (c *Config) Index() *Config {
	t := &table{
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Account),
		services: make(map[string]*Service),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		if r.Kind == Stream && r.Resumable {
			t.longestStream = max(t.longestStream, r.Timeout)
			t.addResumable(r)
		}
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.byKey[key] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	c.setGapObjectives(t.services)
	c.sharingKey = sharingKeyOf(c.Accounts)
	c.table = t
	return c
}

// addResumable adds the services to which a route leads whose streams may be resumed.
func (t *table) addResumable(r *Route) {
	for _, u := range r.Upstreams {
		at, known := slices.BinarySearch(t.resumableServices, u.Service)
		if u.Weight > 0 && !known {
			t.resumableServices = slices.Insert(t.resumableServices, at, u.Service)
		}
	}
}

// LeadsTo reports whether requests of the route may be sent to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Upstreams, func(u Upstream) bool { return u.Service == service && u.Weight > 0 })
}

// LongestStream returns the longest timeout of the routes whose streams may be resumed.
func (c *Config) LongestStream() time.Duration { return c.table.longestStream }

// ResumableServices returns the names of the services to which routes lead whose streams may be resumed,
// sorted.
func (c *Config) ResumableServices() []string { return c.table.resumableServices }

// setGapObjectives sets the services' GapObjective.
func (c *Config) setGapObjectives(services map[string]*Service) {
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, u := range r.Upstreams {
			if s := services[u.Service]; s != nil && r.GapObjective > 0 && (s.GapObjective == 0 || r.GapObjective < s.GapObjective) {
				s.GapObjective = r.GapObjective
			}
		}
	}
}

// Match returns the route of the host with the longest prefix that matches the path, or nil. A port
// in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.table.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountOf returns the client account that holds the key, or nil.
func (c *Config) AccountOf(key string) *Account { return c.table.byKey[key] }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.table.services[name] }

// Choose returns the service of one of the upstreams, selected by weight. draw is a random number
// in [0, 1).
func (r *Route) Choose(draw float64) string {
	total := 0.0
	for _, u := range r.Upstreams {
		total += u.Weight
	}
	remaining := draw * total
	for _, u := range r.Upstreams {
		remaining -= u.Weight
		if remaining < 0 {
			return u.Service
		}
	}
	return r.Upstreams[len(r.Upstreams)-1].Service
}
