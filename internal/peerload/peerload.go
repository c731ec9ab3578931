// Package peerload tells the other gateway nodes, several times a second, what this
// node has under way at each endpoint, and hears the same from them.
//
// Messages are JSON-RPC notifications, one a datagram, so a peer that is frozen, cut
// off or gone holds nobody up. Nothing but the quality of placement rests on them:
// what is lost is made up by the next one, and what is older than Fresh is not used.
package peerload

// Digest is what a node says of itself.
type Digest struct {
	Node string `json:"node"`
	// Incarnation tells starts of the node apart; later ones are greater.
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Loads       []Load `json:"loads,omitempty"`
	// Starts tell which start of its endpoint each load is of. A node of another build may
	// leave them out.
	Starts []Start `json:"starts,omitempty"`
	// Late are the holders from which fetches come late.
	Late []Late `json:"late,omitempty"`
	// Seen are weights that the node saw in answers or reports before the registry told
	// of them.
	Seen []Seen `json:"seen,omitempty"`
	// Limits are what endpoints told the node of limits lately.
	Limits []Limit `json:"limits,omitempty"`
	// Emptied and Loading are the engines that this node has loaded now: the former take
	// short requests yet. Both count for ForMs.
	Emptied []string `json:"emptied,omitempty"`
	Loading []string `json:"loading,omitempty"`
	ForMs   int64    `json:"for_ms,omitempty"`
	// Leads is true where this node holds the claim on orders.
	Leads bool `json:"leads,omitempty"`
	// Names are the oldest weights whose parts this node names at stores. They only rise,
	// also over a restart of the node.
	Names []Named `json:"names,omitempty"`
	// Collected is what a collector tells of all the nodes that it hears.
	Collected *Collected `json:"collected,omitempty"`
}

// Named is the oldest version of a model whose parts a node names at stores.
type Named struct {
	Model  string `json:"model"`
	Oldest int64  `json:"oldest"`
}

// Late is how much later than expected fetches from a holder came lately.
type Late struct {
	Addr string `json:"addr"`
	MS   int    `json:"ms"`
}
