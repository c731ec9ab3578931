// Package peerload exchanges load reports among the gateway nodes several times a second: what each
// node has in progress at each endpoint.
//
// Messages are JSON-RPC notifications, one per datagram, so a peer that is suspended, unreachable
// or stopped delays no other node. Only the quality of placement depends on them: the next message
// makes up for a lost one, and reports older than DigestLifetime are not used.
package peerload

// Digest is the report of one node.
type Digest struct {
	Node string `json:"node"`
	// Incarnation identifies a start of the node; later starts have greater values.
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Loads       []Load `json:"loads,omitempty"`
	// Starts are the tags of the endpoint starts that the loads belong to, in the order of Loads.
	// Nodes of other builds may leave them out.
	Starts []StartTag `json:"starts,omitempty"`
	// Late are the holders whose fetches are late.
	Late []Late `json:"late,omitempty"`
	// UnlistedWeights are weight versions that engines reported to the node before the registry
	// listed them.
	UnlistedWeights []UnlistedWeights `json:"seen,omitempty"`
	// Limits are the rate limits that endpoints recently reported to the node.
	Limits []Limit `json:"limits,omitempty"`
	// Slow are the engines that are slow by the node's own observation.
	Slow []Slow `json:"slow,omitempty"`
	// Brittle are the services whose endpoints recently reported to the node that they are brittle.
	Brittle []Brittle `json:"brittle,omitempty"`
	// Emptied and Loading are the engines that this node has closed to load weights. Those in
	// Emptied still accept short requests. Both lists are valid for ForMs.
	Emptied []string `json:"emptied,omitempty"`
	Loading []string `json:"loading,omitempty"`
	ForMs   int64    `json:"for_ms,omitempty"`
	// Leads is true if this node holds the claim to give orders: to coordinate the loading of
	// weights and close engines for it.
	Leads bool `json:"leads,omitempty"`
	// References are the oldest versions whose parts this node still references at stores. They
	// only rise, also across restarts of the node.
	References []OldestReferenced `json:"names,omitempty"`
	// Aggregate is set if the node is a collector.
	Aggregate *Aggregate `json:"collected,omitempty"`
}

// OldestReferenced is the oldest version of a model whose parts a node still references at stores.
type OldestReferenced struct {
	Model  string `json:"model"`
	Oldest int64  `json:"oldest"`
}

// Late is how much later than expected recent fetches from a holder completed.
type Late struct {
	Addr string `json:"addr"`
	MS   int    `json:"ms"`
}
