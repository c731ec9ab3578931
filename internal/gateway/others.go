package gateway

import (
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/weights"
)

var _ weights.Peers = (*Node)(nil)

// Standby implements weights.Peers.
func (n *Node) Standby() bool { return n.roster.Standby() }

// Led implements weights.Peers.
func (n *Node) Led() bool { return n.peers.Table.Led(n.clock.Now(), takeoverTime) }

// givenOrders is what peers are told of the orders that this node gives.
func (n *Node) givenOrders() (closed []weights.Closed, leads bool) {
	return n.orders.Closed(), n.orders.Leads()
}

// heard reports whether another node of the failure domain was heard lately.
func (n *Node) heard(node string) bool {
	return n.peers.Table.Heard(node, n.clock.Now(), heardTime)
}

// neighbours returns the other nodes of the failure domain. Those speak for it that read the
// store for others.
func (n *Node) neighbours() peerload.Neighbours {
	_, own := n.roster.readers()
	return peerload.Neighbours{Others: n.roster.othersByDomain()[n.boot.Load().Domain], Speaks: own}
}

// nodes returns the number of nodes that share what is given out among nodes: those that are
// listed, or heard and not listed yet. Until the list was read none is taken for gone.
func (n *Node) nodes() int {
	if !n.roster.Read() {
		return n.peers.Table.Nodes()
	}
	return max(n.roster.Nodes(), n.peers.Table.Lately(n.clock.Now()))
}
