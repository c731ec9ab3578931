package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/senders"
)

// maxViewAge is the maximum age of the list of nodes that a node may use to decide whether it sends
// to cold endpoints. The list is up to 20 s old in normal operation, twice the wait of a read. The
// lists of two nodes are at most maxViewAge apart, and differ only by what changed in between.
const maxViewAge = 25 * time.Second

// members are the nodes that may send to endpoints whose total rate of requests is limited. Nodes
// that are gone remain members until their entries are removed: all nodes read the same entries,
// whereas the messages that they receive differ.
type members struct {
	generation  int64
	confirmedAt time.Time // last time the list was known to be current
	all         []string
	byDomain    map[string][]string
}

// update replaces the members by the nodes in entries. Marks of nodes as gone are ignored.
func (m *members) update(entries map[string]nodeEntry) {
	all := slices.Sorted(maps.Keys(entries))
	byDomain := make(map[string][]string)
	for _, name := range all {
		domain := entries[name].Domain
		byDomain[domain] = append(byDomain[domain], name)
	}
	if slices.Equal(all, m.all) && maps.EqualFunc(byDomain, m.byDomain, slices.Equal) {
		return
	}
	m.generation++
	m.all, m.byDomain = all, byDomain
}

// forDomain returns the nodes of a failure domain, which place most requests to its endpoints, or
// all nodes if the domain has fewer than minSenders.
func (m *members) forDomain(domain string, minSenders int) []string {
	if local := m.byDomain[domain]; len(local) >= minSenders {
		return local
	}
	return m.all
}

// senders returns the nodes that may send to cold endpoints of a failure domain.
func (r *roster) senders(domain string, minSenders int) senders.View {
	return r.view(domain, minSenders, maxViewAge)
}

// rateLimitedSenders returns the nodes that may send to endpoints of a failure domain that reported
// a rate limit. The maximum age of the list is the time for which other nodes count this one: no
// node can join while the store is unavailable, and with a shorter age no node would serve a
// service whose endpoints all reported limits.
func (r *roster) rateLimitedSenders(domain string, minSenders int) senders.View {
	return r.view(domain, minSenders, leaseDuration)
}

// view returns the nodes that may send to endpoints of a failure domain. It returns none if this
// node's own entry is not listed or its copy of the list is older than maxAge, since other nodes
// may not count it.
func (r *roster) view(domain string, minSenders int, maxAge time.Duration) senders.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, listed := r.entries[r.node]
	if !listed || r.clock.Since(r.members.confirmedAt) > maxAge {
		return senders.View{Generation: -1}
	}
	return senders.View{Generation: r.members.generation, Nodes: r.members.forDomain(domain, minSenders)}
}

// maxColdRate returns the requests per second that a cold endpoint of a service may receive from
// all nodes together; 0 if the rate is not limited.
func (n *Node) maxColdRate(s *routing.Service) int {
	bounds := n.bounds()
	if s.MaxColdPerSecond <= 0 {
		return 0
	}
	return max(int(s.MaxColdPerSecond*max(bounds.ColdOverage, 1)+bounds.ColdTolerance), 1)
}
