package gateway

import (
	"net/netip"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/senders"
)

// newBrittle returns the service that shares out the slots of brittle endpoints.
func (n *Node) newBrittle() *brittle.Service {
	return brittle.New(brittle.Config{
		Node:    n.boot.Load().Name,
		Conn:    n.conn,
		View:    func(domain string, count int) senders.View { return n.roster.rateLimitedSenders(domain, count) },
		Addr:    func(node string) (netip.AddrPort, bool) { return n.roster.addrOf(node) },
		Load:    n.loadAt,
		Changed: func() { n.peers.RequestReport() },
		Now:     n.clock.Now,
		Log:     n.log,
	})
}

// loadAt returns what is known to run at a start of an endpoint.
func (n *Node) loadAt(endpoint string, startedMs int64) brittle.Load {
	sum := n.peers.Table.Loads(n.clock.Now()).At(endpoint, startedMs)
	load := brittle.Load{Running: sum.Running, HeldTokens: sum.HeldTokens}
	if m := n.fleet.Member(endpoint); m != nil && m.StartedMs == startedMs {
		load.Running += m.Load.Running()
		load.HeldTokens += m.Load.HeldTokens()
	}
	return load
}

// brittleServices returns the services whose endpoints reported to this node that they are brittle.
func (n *Node) brittleServices() []peerload.Brittle {
	var list []peerload.Brittle
	for _, r := range n.brittle.Reports.Told(n.clock.Now()) {
		list = append(list, peerload.Brittle{Service: r.Service, Refusals: r.Refusals, AgeMs: r.Age.Milliseconds()})
	}
	return list
}
