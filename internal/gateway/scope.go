package gateway

import (
	"sync/atomic"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// maxFollowedEndpoints is the number of endpoints of a service up to which every node follows all of
	// them. An endpoint takes some 3 KB of memory, and processor time with each of its changes.
	maxFollowedEndpoints = 1000
	// minDomainEndpoints is the number of endpoints that the node's failure domain must have of a larger
	// service for the node to follow only these.
	minDomainEndpoints = 100
)

// scope decides which endpoints a node of a large system follows: of a service with very many
// endpoints only those of its own failure domain, as long as these are enough. It is used by the
// registry, under its lock.
//
// Nodes that read for others or may give orders follow all endpoints, and so does a node whose failure
// domain is evacuated.
type scope struct {
	domain string // failure domain of this node
	// followsAll reports whether this node must follow all endpoints whatever their number. Nil means
	// that it always does.
	followsAll func() bool

	listed map[string]listedEndpoint // all valid entries, by endpoint id
	counts map[string]serviceCount   // by service
	narrow map[string]bool           // services of which only endpoints of the own domain are followed

	// isNarrow is true if narrow has any service, and isLarge if any service has more than
	// maxFollowedEndpoints. They may be read without the registry's lock.
	isNarrow, isLarge atomic.Bool
}

// listedEndpoint is what the scope needs to know of an entry.
type listedEndpoint struct {
	service string
	local   bool // in the node's failure domain
}

type serviceCount struct{ all, local int }

func (c serviceCount) plus(e listedEndpoint, n int) serviceCount {
	c.all += n
	if e.local {
		c.local += n
	}
	return c
}

// list records an entry.
func (s *scope) list(e *fleet.Endpoint) {
	if s.listed == nil {
		s.listed, s.counts = make(map[string]listedEndpoint), make(map[string]serviceCount)
	}
	listed := listedEndpoint{service: e.Service, local: e.Domain == s.domain}
	if s.listed[e.ID] == listed {
		return
	}
	s.unlist(e.ID)
	s.listed[e.ID] = listed
	s.counts[e.Service] = s.counts[e.Service].plus(listed, 1)
}

// unlist records that an entry is gone or invalid.
func (s *scope) unlist(id string) {
	listed, known := s.listed[id]
	if !known {
		return
	}
	delete(s.listed, id)
	s.counts[listed.service] = s.counts[listed.service].plus(listed, -1)
}

// follows reports whether the node follows an endpoint.
func (s *scope) follows(e *fleet.Endpoint) bool {
	return e.Domain == s.domain || !s.narrow[e.Service]
}

// update decides anew of which services only endpoints of the own failure domain are followed, and
// reports whether that has changed.
func (s *scope) update() (changed bool) {
	narrow := make(map[string]bool)
	followsAll := s.followsAll == nil || s.followsAll()
	isLarge := false
	for service, count := range s.counts {
		if count.all <= maxFollowedEndpoints {
			continue
		}
		isLarge = true
		if !followsAll && count.local >= minDomainEndpoints {
			narrow[service] = true
		}
	}
	s.isLarge.Store(isLarge)
	s.isNarrow.Store(len(narrow) > 0)
	changed = len(narrow) != len(s.narrow)
	for service := range narrow {
		changed = changed || !s.narrow[service]
	}
	s.narrow = narrow
	return changed
}

// rescope follows what the scope has come to contain, and drops what it no longer contains. all are the
// newest records of all entries that exist.
func (r *registry) rescope(all []follow.Record) {
	now := r.clock.Now()
	for id, e := range r.entries {
		if !r.scope.follows(e.endpoint) {
			delete(r.entries, id)
			r.fleet.Remove(id)
		}
	}
	for i := range all {
		if _, followed := r.entries[all[i].Key]; !followed {
			r.apply(&all[i], now)
		}
	}
}
