package origin

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

const (
	// maxFullHomes is the number of other nodes up to which all of them are homes of all streams.
	maxFullHomes = 12
	// copies is the number of homes of a stream in a larger system. They are in different failure domains
	// if there are enough.
	copies = 3
	// askedHomes is the number of nodes that are asked for a record. It is more than copies, as the list
	// of nodes may have changed since the record was sent.
	askedHomes = 6
	// slotsPerDomain is the number of groups of streams that have the same homes in a failure domain.
	slotsPerDomain = 1 << 12
)

// Peer is another node.
type Peer struct {
	Name   string
	Domain string // failure domain
	Addr   netip.AddrPort
}

// homes assigns streams to nodes. It is immutable and safe for concurrent use.
type homes struct {
	all []netip.AddrPort // in a small system
	// The other fields are set in a large one.
	domains []rendezvous.Node
	slots   map[string]*rendezvous.Slots // by failure domain
	addrs   map[string]netip.AddrPort    // by node name
	nodes   map[netip.AddrPort]Peer
}

func newHomes(peers []Peer) *homes {
	h := &homes{}
	if len(peers) <= maxFullHomes {
		for _, p := range peers {
			h.all = append(h.all, p.Addr)
		}
		return h
	}
	h.slots, h.addrs = make(map[string]*rendezvous.Slots), make(map[string]netip.AddrPort, len(peers))
	h.nodes = make(map[netip.AddrPort]Peer, len(peers))
	byDomain := make(map[string][]rendezvous.Node)
	for _, p := range peers {
		h.addrs[p.Name], h.nodes[p.Addr] = p.Addr, p
		byDomain[p.Domain] = append(byDomain[p.Domain], rendezvous.Node{ID: p.Name, Weight: 1})
	}
	for domain, nodes := range byDomain {
		h.domains = append(h.domains, rendezvous.Node{ID: domain, Weight: 1})
		h.slots[domain] = rendezvous.NewSlots(rendezvous.NewSet(nodes), slotsPerDomain, askedHomes)
	}
	return h
}

// isSmall reports whether all nodes are homes of all streams.
func (h *homes) isSmall() bool { return h.addrs == nil }

// of returns the first homes of a stream, at most count unless the system is small.
func (h *homes) of(k Key, count int) []netip.AddrPort {
	if h.isSmall() {
		return h.all
	}
	key := string(k[:])
	domains := rendezvous.Top(len(h.domains), key, h.domains)
	list := make([]netip.AddrPort, 0, count)
	for rank := range askedHomes {
		for _, domain := range domains {
			names := h.slots[domain].Top(key)
			if rank >= len(names) {
				continue
			}
			if list = append(list, h.addrs[names[rank]]); len(list) == count {
				return list
			}
		}
	}
	return list
}

// has reports whether a node is a home of a stream.
func (h *homes) has(k Key, node netip.AddrPort) bool {
	if h.isSmall() {
		return true
	}
	p, listed := h.nodes[node]
	if !listed {
		return false
	}
	first := h.slots[p.Domain].Top(string(k[:]))
	first = first[:min(len(first), copies)]
	// Most streams have other homes in the node's domain, which takes less time to find out.
	return slices.Contains(first, p.Name) && slices.Contains(h.of(k, copies), node)
}

// sharing returns the other nodes of a large system that are homes of the same streams as a node.
func (h *homes) sharing(node netip.AddrPort) []netip.AddrPort {
	p := h.nodes[node]
	// The number of homes that a stream has in one domain at most.
	depth := (copies + len(h.domains) - 1) / len(h.domains)
	found := make(map[netip.AddrPort]bool)
	for slot := range h.slots[p.Domain].Count() {
		if !slices.Contains(h.first(p.Domain, slot, depth), p.Name) {
			continue
		}
		for domain := range h.slots {
			for _, name := range h.first(domain, slot, depth) {
				found[h.addrs[name]] = true
			}
		}
	}
	delete(found, node)
	return slices.Collect(maps.Keys(found))
}

// first returns the first homes in a domain of the streams of a slot.
func (h *homes) first(domain string, slot, count int) []string {
	names := h.slots[domain].At(slot)
	return names[:min(len(names), count)]
}
