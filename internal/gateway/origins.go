package gateway

import (
	"net/netip"
	"time"

	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/peerload"
)

const (
	// takeUpFactor is how many times the longest timeout of a stream's route may pass between its first
	// event and the last request of its caller that takes it up: a caller whose stream broke off near its
	// timeout may need another.
	takeUpFactor = 2
	// minTakeUpTime is the least time for which streams can be taken up.
	minTakeUpTime = 10 * time.Second
)

// buildOrigins creates the service that knows which release began each stream.
func (n *Node) buildOrigins() {
	n.origins = origin.New(origin.Config{Conn: n.conn, Retention: n.takeUpTime, View: n.releaseView, Now: n.clock.Now})
	setPeers := n.roster.setPeers
	n.roster.setPeers = func(peers []peerload.Peer) {
		setPeers(peers)
		n.origins.SetPeers(n.originPeers(peers))
	}
}

// originPeers returns the other nodes among the listed ones.
func (n *Node) originPeers(listed []peerload.Peer) []origin.Peer {
	peers := make([]origin.Peer, 0, len(listed))
	for _, p := range listed {
		addr, err := netip.ParseAddrPort(p.Addr)
		if err == nil && p.Node != n.roster.node {
			peers = append(peers, origin.Peer{Name: p.Node, Domain: p.Domain, Addr: addr})
		}
	}
	return peers
}

// takeUpTime returns the longest time between the first event of a stream and the last request that takes
// it up.
func (n *Node) takeUpTime() time.Duration {
	config := n.state.config.Load()
	if config == nil {
		return minTakeUpTime
	}
	return max(minTakeUpTime, takeUpFactor*config.LongestStream())
}

// releaseView returns what this node knows of the releases of a service.
func (n *Node) releaseView(service string) origin.View {
	return n.registry.releases.View(service, n.takeUpTime(), n.roster.firstStart.Load(), n.clock.Now())
}
