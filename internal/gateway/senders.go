package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/senders"
)

// oldestView is the oldest copy of the nodes' addresses by which a node sends to cold endpoints. A copy
// is twice as old as a read waits on a calm day, 20 s. Two nodes' views are at most so far apart, so
// that they differ by what changed meanwhile.
const oldestView = 25 * time.Second

// members are the nodes that may send to endpoints which all together may send little. Nodes that are gone stay among them until
// their entries are removed: all nodes read the same, where what each hears differs.
type members struct {
	generation int64
	proven     time.Time // when the list was certainly current
	all        []string
	byDomain   map[string][]string
}

// take takes the nodes' entries. Whether one is marked as gone changes nothing.
func (m *members) take(entries map[string]nodeEntry) {
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

// of returns the nodes of a failure domain, which place most of what its endpoints get, or all where
// there are too few.
func (m *members) of(domain string, senders int) []string {
	if near := m.byDomain[domain]; len(near) >= senders {
		return near
	}
	return m.all
}

// senders returns the nodes that may send to cold endpoints of a failure domain.
func (r *roster) senders(domain string, most int) senders.View {
	return r.view(domain, most, oldestView)
}

// throttlers returns the nodes that may send to endpoints of a failure domain that name a limit. Their
// copy of the list may be as old as others count a node for: while the store is away no node comes, and a
// service whose endpoints all name limits would be served by nobody.
func (r *roster) throttlers(domain string, most int) senders.View {
	return r.view(domain, most, entryProof)
}

// view returns the nodes that may send to endpoints of a failure domain: none where this node's own entry
// is not there, or its copy of the list is too old, as others may not count it.
func (r *roster) view(domain string, most int, oldest time.Duration) senders.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, listed := r.entries[r.node]
	if !listed || r.clock.Since(r.members.proven) > oldest {
		return senders.View{Generation: -1}
	}
	return senders.View{Generation: r.members.generation, Nodes: r.members.of(domain, most)}
}

// mostCold returns the requests in a second that a cold endpoint of a service may get from all nodes
// together; 0 where it stands any number.
func (n *Node) mostCold(s *routing.Service) int {
	bounds := n.bounds()
	if s.ColdPerSecond <= 0 {
		return 0
	}
	return max(int(s.ColdPerSecond*max(bounds.ColdOverage, 1)+bounds.ColdTolerance), 1)
}
