package gateway

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/peerload"
)

// domainReaders is the number of nodes of a failure domain of a large system that read the metadata
// store for the others and collect their loads; they are both the readers and the collectors. A
// reader that fails is replaced as soon as its messages cease; while one is disconnected from the
// store, the other one reads for all. domainStandbys is the number of further nodes that all others
// report to, so that they can replace a reader at once.
const (
	// rootReaders is the number of nodes of a large system that read the registry from the store; the
	// readers of the failure domains obtain it from them. Every endpoint's heartbeat is a record, so what
	// each of them reads grows with the number of endpoints. Of the next rootStandbys nodes, one takes a
	// lost one's place.
	rootReaders    = 2
	rootStandbys   = 2
	domainReaders  = 2
	domainStandbys = 2
	// storeStandbys is the number of further nodes of a domain that read the store as soon as the readers'
	// copies are too old, for all nodes of the domain.
	storeStandbys = 4
)

// rosterNode is a node with a valid address.
type rosterNode struct {
	name, domain string
	hash         uint64
	milliCores   int
	addr         netip.AddrPort
}

// compareNodes orders nodes by decreasing processor capacity, then by the hashes of their names.
// Capacities differ widely: some nodes have four times the processor and ten times the link of the
// rest.
func compareNodes(a, b rosterNode) int {
	return cmp.Or(cmp.Compare(b.milliCores, a.milliCores), cmp.Compare(a.hash, b.hash))
}

// listDomainNodes returns the nodes of this failure domain, this one included. The caller must hold
// mu.
func (r *roster) listDomainNodes() []rosterNode {
	return r.sortedNodes(func(e nodeEntry) bool { return e.Domain == r.own.Domain })
}

// sortedNodes returns the nodes that match, by decreasing processor capacity and then by the hashes
// of their names. The caller must hold mu.
func (r *roster) sortedNodes(match func(nodeEntry) bool) []rosterNode {
	var list []rosterNode
	for name, e := range r.entries {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil || !match(e) {
			continue
		}
		list = append(list, rosterNode{name: name, domain: e.Domain, hash: xxhash.Sum64String(name), milliCores: e.MilliCores, addr: addr})
	}
	slices.SortFunc(list, compareNodes)
	return list
}

// readers returns the nodes that read the metadata store for this one: those of its failure domain
// that come first in the order of compareNodes and whose messages arrived recently. If it returns
// none, this node reads the store itself, as all nodes of a small system do; isReader is true if it
// is one of the few readers of a large one. Nodes may temporarily disagree on the readers, in which
// case more nodes read the store.
func (r *roster) readers() (addrs []netip.AddrPort, isReader bool) {
	if intervals.FullMesh(r.Nodes()) {
		return nil, false
	}
	role := r.assignRole(r.currentDomainNodes())
	if role.Collects || len(role.Collectors) < domainReaders {
		return nil, role.Collects // if it does not collect, its own entry is not listed yet
	}
	return role.Collectors, false
}

// readerCandidate reports whether, according to the list alone, this node is a reader of the store
// for its failure domain or a standby for one. A node that has just started has not received
// messages from any other yet.
func (r *roster) readerCandidate() bool {
	domainNodes := r.currentDomainNodes()
	own := slices.IndexFunc(domainNodes, func(n rosterNode) bool { return n.name == r.node })
	return own >= 0 && own < domainReaders+domainStandbys
}

// standbys returns the nodes that read the store in place of this node's readers if their copies are too old,
// and whether this node is one of them.
func (r *roster) standbys() (addrs []netip.AddrPort, isStandby bool) {
	rank := 0
	for _, n := range r.currentDomainNodes() {
		self := n.name == r.node
		if !self && !r.peerAlive(n.name) {
			continue
		}
		if rank++; rank <= domainReaders {
			continue
		}
		if rank > domainReaders+storeStandbys {
			break
		}
		if self {
			isStandby = true
			continue
		}
		addrs = append(addrs, n.addr)
	}
	return addrs, isStandby
}

// listedReaders returns the other nodes that are readers of this node's failure domain, or standbys for them,
// according to the list alone: a node that has just started has received no messages yet.
func (r *roster) listedReaders() []netip.AddrPort {
	if intervals.FullMesh(r.Nodes()) {
		return nil
	}
	domainNodes := r.currentDomainNodes()
	var addrs []netip.AddrPort
	for _, n := range domainNodes[:min(domainReaders+domainStandbys, len(domainNodes))] {
		if n.name != r.node {
			addrs = append(addrs, n.addr)
		}
	}
	return addrs
}

// rootReaders returns the addresses of the nodes of a large system that read the registry from the
// store. It returns none if this node is one of them, or if it knows fewer.
func (r *roster) rootReaders() []netip.AddrPort {
	if intervals.FullMesh(r.Nodes()) {
		return nil
	}
	r.mu.Lock()
	candidates := r.rootCandidates
	r.mu.Unlock()
	var addrs []netip.AddrPort
	for _, n := range candidates {
		if n.name == r.node {
			return nil
		}
		if r.peerAlive(n.name) {
			if addrs = append(addrs, n.addr); len(addrs) == rootReaders {
				return addrs
			}
		}
	}
	return nil
}

// rootCandidate reports whether this node is a root reader or may become one.
func (r *roster) rootCandidate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.rootCandidates, func(n rosterNode) bool { return n.name == r.node })
}

// listRootCandidates returns the root readers and their standbys: the nodes with the most processor
// capacity.
func (r *roster) listRootCandidates() []rosterNode {
	all := r.sortedNodes(func(nodeEntry) bool { return true })
	return all[:min(rootReaders+rootStandbys, len(all))]
}

// role returns this node's role in the exchange of loads: the readers collect them. Until its own
// entry is listed, a node sends its loads to all others itself.
func (r *roster) role() peerload.Role {
	domainNodes := r.currentDomainNodes()
	if !slices.ContainsFunc(domainNodes, func(n rosterNode) bool { return n.name == r.node }) {
		return peerload.Role{}
	}
	return r.assignRole(domainNodes)
}

// currentDomainNodes returns the nodes of this failure domain as listed by the last read.
func (r *roster) currentDomainNodes() []rosterNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.domainNodes
}

// assignRole returns which of the given nodes, in their order, are the readers, and whether this
// node is a reader or a standby. Nodes whose messages ceased are skipped.
func (r *roster) assignRole(domainNodes []rosterNode) (role peerload.Role) {
	rank := 0
	for _, n := range domainNodes {
		self := n.name == r.node
		if !self && !r.peerAlive(n.name) {
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

// backups returns the other nodes that read the store, in any failure domain: all nodes of a small
// system, or the readers of each failure domain of a large one.
func (r *roster) backups() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backupAddrs
}

// listBackups computes the result of backups. It may include nodes that are gone. The caller must
// hold mu.
func (r *roster) listBackups() []netip.AddrPort {
	small := intervals.FullMesh(len(r.entries))
	countByDomain := make(map[string]int) // number of nodes by failure domain
	var addrs []netip.AddrPort
	for _, n := range r.sortedNodes(func(nodeEntry) bool { return true }) {
		if n.name == r.node || !small && countByDomain[n.domain] == domainReaders {
			continue
		}
		countByDomain[n.domain]++
		addrs = append(addrs, n.addr)
	}
	return addrs
}
