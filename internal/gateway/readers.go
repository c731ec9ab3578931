package gateway

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/peerload"
)

// domainReaders is the number of nodes of a failure domain that read the store and collect loads
// for the others, in a large system. One that is lost is replaced as soon as it isn't heard; for
// one that is cut off from the store, the other stands in meanwhile. domainStandbys is the
// number of nodes that are heard by all so that they can take a reader's place at once.
const (
	domainReaders  = 2
	domainStandbys = 2
)

// neighbour is a node whose address is known.
type neighbour struct {
	name, domain string
	hash         uint64
	milliCores   int
	addr         netip.AddrPort
}

// compareNeighbours puts first who can do most for the others: of 59 nodes of a failure domain
// three may have four times the processor and ten times the link of the rest.
func compareNeighbours(a, b neighbour) int {
	return cmp.Or(cmp.Compare(b.milliCores, a.milliCores), cmp.Compare(a.hash, b.hash))
}

// neighbours returns the nodes of this failure domain, this one included.
func (r *roster) neighbours() []neighbour {
	return r.sorted(func(e nodeEntry) bool { return e.Domain == r.own.Domain })
}

// sorted returns the nodes that match, those with most of a processor first, and equal ones in
// the order of their names' hashes.
func (r *roster) sorted(match func(nodeEntry) bool) []neighbour {
	var list []neighbour
	for name, e := range r.entries {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil || !match(e) {
			continue
		}
		list = append(list, neighbour{name: name, domain: e.Domain, hash: xxhash.Sum64String(name), milliCores: e.MilliCores, addr: addr})
	}
	slices.SortFunc(list, compareNeighbours)
	return list
}

// readers returns the nodes that read the store for this one: the first few of its
// failure domain that were heard lately. None means that it reads the store itself, as
// all do in a small system; own is true where it is one of the few of a large one. Nodes
// may differ for a while in whom they take for a reader: then more read the store.
func (r *roster) readers() (addrs []netip.AddrPort, own bool) {
	if pace.Whole(r.Nodes()) {
		return nil, false
	}
	role := r.rank(r.neighboursNow())
	if role.Collects || len(role.Collectors) < domainReaders {
		return nil, role.Collects // else its own entry is not there yet
	}
	return role.Collectors, false
}

// mayRead reports whether this node is among those that read the store for its failure domain or
// stand by to do so, as far as the list tells. A node that starts hears nobody yet.
func (r *roster) mayRead() bool {
	near := r.neighboursNow()
	own := slices.IndexFunc(near, func(n neighbour) bool { return n.name == r.node })
	return own >= 0 && own < domainReaders+domainStandbys
}

// role returns this node's part in telling loads: the readers collect. Until its own entry is
// there it tells all itself.
func (r *roster) role() peerload.Role {
	near := r.neighboursNow()
	if !slices.ContainsFunc(near, func(n neighbour) bool { return n.name == r.node }) {
		return peerload.Role{}
	}
	return r.rank(near)
}

// neighboursNow returns the nodes of this failure domain as they were listed last.
func (r *roster) neighboursNow() []neighbour {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.near
}

// rank returns who of the neighbours, in their order, are the readers, and whether this node is one
// of them or of those that stand by. Who isn't heard doesn't count.
func (r *roster) rank(near []neighbour) (role peerload.Role) {
	rank := 0
	for _, n := range near {
		self := n.name == r.node
		if !self && !r.heard(n.name) {
			continue
		}
		switch {
		case rank < domainReaders && self:
			role.Collects = true
		case rank < domainReaders:
			role.Collectors = append(role.Collectors, n.addr)
		case self:
			role.StandsBy = true
		}
		if rank++; rank == domainReaders+domainStandbys {
			break
		}
	}
	return role
}

// backups returns nodes that read the store, whichever failure domain they are in, but for
// this one: those of a small system, and each failure domain's readers of a large one.
func (r *roster) backups() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others
}

// readersElsewhere returns what backups returns. A node that is gone may be among them.
func (r *roster) readersElsewhere() []netip.AddrPort {
	whole := pace.Whole(len(r.entries))
	found := make(map[string]int) // nodes, by failure domain
	var addrs []netip.AddrPort
	for _, n := range r.sorted(func(nodeEntry) bool { return true }) {
		if n.name == r.node || !whole && found[n.domain] == domainReaders {
			continue
		}
		found[n.domain]++
		addrs = append(addrs, n.addr)
	}
	return addrs
}
