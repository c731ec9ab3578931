package peerload

import (
	"net/netip"
	"time"

	"github.com/cherryward/cherryward/internal/pace"
)

// Peer is another node.
type Peer struct {
	Node   string // its name
	Addr   string // IP:PORT
	Domain string // failure domain; empty if not known
}

// audience are the nodes that messages go to.
type audience struct {
	// near are the nodes that hear of this node's load: all of a small system, else
	// those of its failure domain.
	near []netip.AddrPort
	far  []netip.AddrPort // the others
	// farByDomain are the latter by failure domain, with their names.
	farByDomain map[string][]namedAddr
}

// namedAddr is a node with its address.
type namedAddr struct {
	node string
	addr netip.AddrPort
}

// collectors returns the nodes of other failure domains that tell the others there: those that
// speak for theirs, or all of a domain of which no speaker was heard lately.
func (a *audience) collectors(t *Table, now time.Time) []netip.AddrPort {
	if a.farByDomain == nil {
		return a.far
	}
	var addrs []netip.AddrPort
	for domain, nodes := range a.farByDomain {
		speakers := t.speakers(domain, now)
		for _, n := range nodes {
			if len(speakers) == 0 || speakers[n.node] {
				addrs = append(addrs, n.addr)
			}
		}
	}
	return addrs
}

// SetPeers replaces the nodes that digests go to. Wrong addresses are left out.
func (e *Exchange) SetPeers(peers []Peer) {
	own := e.config.Conn.Addr()
	whole := pace.Whole(len(peers))
	next := &audience{farByDomain: make(map[string][]namedAddr)}
	for _, p := range peers {
		if p.Addr == own {
			continue
		}
		addr, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			e.log.Warn().Str("event", "peer_rejected").Str("addr", p.Addr).Err(err).Send()
			continue
		}
		if whole || p.Domain == "" || p.Domain == e.config.Domain {
			next.near = append(next.near, addr)
		} else {
			next.far = append(next.far, addr)
			next.farByDomain[p.Domain] = append(next.farByDomain[p.Domain], namedAddr{p.Node, addr})
		}
	}
	e.peers.Store(next)
}

// Whole reports whether the nodes tell one another everything, rather than those of
// each failure domain.
func (e *Exchange) Whole() bool {
	peers := e.peers.Load()
	return peers == nil || len(peers.far) == 0
}

func (e *Exchange) listeners() int {
	if peers := e.peers.Load(); peers != nil {
		return len(peers.near)
	}
	return 0
}

// lagSpacings is how old what peers told is in the mean, in shortest times between two messages: each
// holds its word back for up to one, and in a large system a collector for another.
const lagSpacings = 3

// Unheard returns how many nodes tell this one of their load, and how old that is.
func (e *Exchange) Unheard() (nodes int, lag time.Duration) {
	nodes = e.listeners()
	spacing, _ := pace.Digests(nodes)
	return nodes, lagSpacings * spacing
}
