package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// confirmNodesTimeout is the time for a read that confirms the list of nodes.
const confirmNodesTimeout = 500 * time.Millisecond

// confirm reads the end of the topic. If it has no records that this node has not read, the list of nodes was
// current when the read was sent. Otherwise the node's follower reads them, and confirm may be called again. It
// fails if the store does not respond in time.
func (r *roster) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmNodesTimeout)
	defer cancel()
	end, sentAt := r.End(), r.clock.Now()
	page, err := r.topic.Read(ctx, end, 0)
	if err != nil {
		return eris.Wrap(err, "confirm the list of nodes")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	isCurrent := len(page.Records) == 0 && page.Next == end && r.end == end
	if isCurrent && sentAt.After(r.members.confirmedAt) {
		r.members.confirmedAt = sentAt
	}
	return nil
}

// confirmedSince reports whether the list of nodes was known to be current at a time or later.
func (r *roster) confirmedSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.members.confirmedAt.Before(at)
}

// listedSince returns a time since which the other nodes could read this node's entry, and false if it was not
// listed yet.
func (r *roster) listedSince() (since time.Time, listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.listedSince, r.lease.everListed
}

// confirmNodes confirms the list of nodes if parts may be freed early once it is: after this node's watermark of
// a model was raised, and before parts of the earlier versions are freed in any case. Nodes of a large system
// that free later than the standbys leave it to their follower.
func (c *cacheTracker) confirmNodes(ctx context.Context) {
	if !c.node.Standby() || !c.awaitsNodes() {
		return
	}
	if err := c.node.roster.confirm(ctx); err != nil {
		c.node.log.Debug().Str("event", "nodes_unconfirmed").AnErr("error", err).Send()
	}
}

// awaitsNodes reports whether a watermark was raised since the list of nodes was last known to be current.
func (c *cacheTracker) awaitsNodes() bool {
	for _, w := range c.watermarks.list() {
		own := c.watermarks.get(w.Model)
		by, replaced := c.node.state.replaced(w.Model, own.version-1)
		if replaced && c.node.clock.Since(by.readAt) < freeDelay && !c.node.roster.confirmedSince(own.since) {
			return true
		}
	}
	return false
}
