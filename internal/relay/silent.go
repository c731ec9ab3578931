package relay

import (
	"net/netip"
	"slices"
	"time"
)

// silentFor is how long a node that didn't respond is asked only if no other node is there. By then the list of readers
// leaves out those that are gone.
const silentFor = time.Second

// silentNodes are the nodes that didn't respond to the latest call. It is not safe for concurrent use.
type silentNodes map[netip.AddrPort]time.Time

// record records whether a node responded to a call.
func (s *silentNodes) record(node netip.AddrPort, responded bool) {
	if responded {
		delete(*s, node)
		return
	}
	if *s == nil {
		*s = make(silentNodes)
	}
	(*s)[node] = time.Now()
}

// without returns the nodes that may respond, or all if that is none. Records that no longer count are removed.
func (s silentNodes) without(nodes []netip.AddrPort) []netip.AddrPort {
	if len(s) == 0 {
		return nodes
	}
	for node, at := range s {
		if time.Since(at) >= silentFor {
			delete(s, node)
		}
	}
	responding := slices.DeleteFunc(slices.Clone(nodes), func(n netip.AddrPort) bool { return !s[n].IsZero() })
	if len(responding) == 0 {
		return nodes
	}
	return responding
}
