package gateway

// Nodes returns the number of listed nodes, this one included. A node that is gone remains listed
// until silenceTimeout and removalGrace have passed.
func (r *roster) Nodes() int { return int(r.count.Load()) }

// Loaded reports whether the topic has been read.
func (r *roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// listedAtStart reports whether this node's entry was listed when the node first read the topic. If so,
// the list is that of a system that ran before, and shows its size.
func (r *roster) listedAtStart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded && !r.firstStart.Load()
}

// HoldsLease reports whether the other nodes are certain to count this one, so that it may use its
// share of common limits.
func (r *roster) HoldsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.valid(r.clock.Now())
}
