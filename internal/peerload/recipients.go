package peerload

import (
	"net/netip"
	"time"

	"github.com/cherryward/cherryward/internal/intervals"
)

// Peer is another node of the system.
type Peer struct {
	Node   string // its name
	Addr   string // IP:PORT
	Domain string // failure domain; empty if not known
}

// Role is a node's role in distributing loads within the failure domain of a large system. With
// the zero value, the node sends its load to all nodes there.
type Role struct {
	// Collects is true for a collector, which sends the aggregate of all digests to all nodes
	// there.
	Collects bool
	// StandsBy is true for a node that is next to become a collector. It sends to all nodes, which
	// shows that it is alive.
	StandsBy bool
	// Collectors are the other collectors.
	Collectors []netip.AddrPort
}

// recipients are the nodes that messages are sent to.
type recipients struct {
	// local are the nodes for which this node's load is intended: all nodes of a small system, else
	// those of its failure domain.
	local []netip.AddrPort
	// localNames are the names of these nodes.
	localNames map[string]bool
	remote     []netip.AddrPort // the other nodes
	// remoteByDomain holds the remote nodes with their names, by failure domain.
	remoteByDomain map[string][]namedAddr
}

// namedAddr is a node's name and address.
type namedAddr struct {
	node string
	addr netip.AddrPort
}

// representatives returns the nodes of other failure domains that pass messages on within their
// domain: the representatives of each domain, which are collectors there, or all nodes of a domain
// without a recently active representative.
func (a *recipients) representatives(t *Table, now time.Time) []netip.AddrPort {
	if a.remoteByDomain == nil {
		return a.remote
	}
	var addrs []netip.AddrPort
	for domain, nodes := range a.remoteByDomain {
		representatives := t.representatives(domain, now)
		for _, n := range nodes {
			if len(representatives) == 0 || representatives[n.node] {
				addrs = append(addrs, n.addr)
			}
		}
	}
	return addrs
}

// SetPeers replaces the nodes that digests are sent to. Peers with invalid addresses are skipped.
func (e *Exchange) SetPeers(peers []Peer) {
	own := e.config.Conn.Addr()
	fullMesh := intervals.FullMesh(len(peers))
	next := &recipients{localNames: make(map[string]bool), remoteByDomain: make(map[string][]namedAddr)}
	for _, p := range peers {
		if p.Addr == own {
			continue
		}
		addr, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			e.log.Warn().Str("event", "peer_rejected").Str("addr", p.Addr).Err(err).Send()
			continue
		}
		if fullMesh || p.Domain == "" || p.Domain == e.config.Domain {
			next.local = append(next.local, addr)
			next.localNames[p.Node] = true
		} else {
			next.remote = append(next.remote, addr)
			next.remoteByDomain[p.Domain] = append(next.remoteByDomain[p.Domain], namedAddr{p.Node, addr})
		}
	}
	e.peers.Store(next)
}

// FullMesh reports whether digests are exchanged among all nodes, as in a small system, rather than
// within each failure domain only.
func (e *Exchange) FullMesh() bool {
	peers := e.peers.Load()
	return peers == nil || len(peers.remote) == 0
}

// localCount returns the number of nodes for which this node's load is intended. In a large system,
// most of them receive it only as part of an aggregate.
func (e *Exchange) localCount() int {
	if peers := e.peers.Load(); peers != nil {
		return len(peers.local)
	}
	return 0
}

// digestAgeIntervals is the estimated mean age of the peers' reported loads, in units of the
// minimum interval between two messages. The sender and, in a large system, a collector delay a
// load by up to one interval each; the third is a margin.
const digestAgeIntervals = 3

// ReportLag returns the number of nodes for which this node's load is intended, whose loads this
// node receives directly or in an aggregate, and the estimated time after which it knows of a prompt
// that they placed.
func (e *Exchange) ReportLag() (nodes int, lag time.Duration) {
	nodes, lag = e.reportAge()
	switch {
	case !e.NoticesInUse():
		return nodes, lag
	case e.IsCollector():
		return nodes, lag / digestAgeIntervals // receives the digests without a detour
	}
	return nodes, min(lag, noticeDelay)
}

// reportAge is ReportLag without notices: the estimated mean age of the nodes' loads.
func (e *Exchange) reportAge() (nodes int, age time.Duration) {
	nodes = e.localCount()
	spacing, _ := intervals.DigestIntervals(nodes)
	return nodes, digestAgeIntervals * spacing
}
