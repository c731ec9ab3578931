package gateway

import (
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/weights"
)

var _ weights.Peers = (*Node)(nil)

// Standby implements weights.Peers.
func (n *Node) Standby() bool { return n.roster.Standby() }

// Led implements weights.Peers. It reports whether another node has reported within takeoverDelay
// that it holds the claim on orders, or must do so: a node that follows a part of the endpoints can't.
func (n *Node) Led() bool {
	return n.registry.scope.isNarrow.Load() || n.peers.Table.ClaimHeld(n.clock.Now(), takeoverDelay)
}

// orderStatus returns the status that is reported to peers: the engines that will load or are
// loading new weights by this node's orders, and whether this node holds the claim on orders.
func (n *Node) orderStatus() (closed []weights.Closed, leads bool) {
	return n.orders.Closed(), n.orders.Leads()
}

// setPeers receives the listed nodes, this one included.
func (n *Node) setPeers(listed []peerload.Peer) {
	n.peers.SetPeers(listed)
	n.origins.SetPeers(n.originPeers(listed))
}

// peerAlive reports whether a message of the given node arrived within peerTimeout.
func (n *Node) peerAlive(node string) bool {
	return n.peers.Table.ReceivedFrom(node, n.clock.Now(), peerTimeout)
}

// mayHelp reports whether requests may be passed to a node as far as its messages tell. In a small system
// each node hears all others; one that hears none, such as one that has just started, knows nothing of them.
func (n *Node) mayHelp(node string) bool {
	if !intervals.FullMesh(n.roster.Nodes()) || n.peerAlive(node) {
		return true
	}
	return !n.peers.Table.ReceivedFromAny(n.clock.Now(), peerTimeout)
}

// domainPeers returns the other nodes of the failure domain. The nodes that read the metadata store
// for others also represent the domain.
func (n *Node) domainPeers() peerload.Neighbours {
	_, isReader := n.roster.readers()
	return peerload.Neighbours{Others: n.roster.othersByDomain()[n.boot.Load().Domain], Represents: isReader}
}

// nodes returns the number of nodes among which shared limits are divided: the listed nodes, or
// those whose messages arrived recently if they are more. Until the list has been read, no node
// whose messages arrived is considered gone.
func (n *Node) nodes() int {
	if !n.roster.Loaded() {
		return n.peers.Table.Nodes()
	}
	return max(n.roster.Nodes(), n.peers.Table.LiveNodes(n.clock.Now()))
}
