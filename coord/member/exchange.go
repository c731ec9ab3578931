package member

import (
	"slices"
	"time"
)

// exchange is a request to one peer, queued or in flight.
type exchange struct {
	peer *record
	addr string
	req  *Message
	opts sendOptions
}

// sendOptions selects the content of a request and the handling of its failure.
type sendOptions struct {
	// retries is the number of times to repeat a failed exchange before the
	// failure counts against the peer.
	retries int
	// ignoreFailure is set when a failure does not count against the peer.
	ignoreFailure bool
	// checkTarget is the member that the peer is requested to probe, if any.
	checkTarget *record
	// sync requests a comparison of bucket digests. pushBuckets lists the
	// buckets whose records are sent after such a comparison.
	sync        bool
	pushBuckets []int
	// updates contains urgent updates, sent in place of those in the update
	// queue.
	updates []*record
}

// send queues an exchange with the member. It does nothing if maxPending
// exchanges with the member are already queued or in flight, or if the member is
// this node.
func (c *core) send(r *record, opts sendOptions) {
	if r.pending >= maxPending || r == c.self {
		return
	}
	r.pending++
	c.stats.Exchanges++
	c.outbox = append(c.outbox, &exchange{peer: r, addr: r.addr, req: c.newRequest(r, opts), opts: opts})
}

// newRequest builds the request for an exchange with the given options.
func (c *core) newRequest(r *record, opts sendOptions) *Message {
	m := c.newMessage(r)
	for _, update := range opts.updates {
		m.Entries = append(m.Entries, update.updateEntry())
	}
	if len(opts.updates) == 0 {
		m.Entries = c.appendUpdates(m.Entries)
	}
	if opts.checkTarget != nil {
		m.Check = opts.checkTarget.id
		m.Entries = append(m.Entries, opts.checkTarget.suspectEntry())
	}
	if opts.sync {
		m.BucketDigests = slices.Clone(c.bucketDigests[:])
	}
	if len(opts.pushBuckets) > 0 {
		m.Entries = c.appendBucketEntries(m.Entries, opts.pushBuckets)
	}
	return m
}

// newMessage returns a message to the peer. If the peer is Dead or Suspect in
// this view, the message contains an entry with that state, so that the peer can
// refute it.
func (c *core) newMessage(peer *record) *Message {
	m := &Message{From: c.self.selfReportEntry(), Digest: c.digest}
	if peer != nil && (peer.dead || peer.confirmed()) {
		m.Entries = append(m.Entries, peer.currentEntry())
	}
	return m
}

// takeOutbox returns the queued exchanges and empties the outbox.
func (c *core) takeOutbox() []*exchange {
	out := c.outbox
	c.outbox = nil
	return out
}

// handleRequest merges a request from a peer and returns the response.
func (c *core) handleRequest(now time.Time, req *Message) *Message {
	c.now = now
	c.mergeMessage(req)
	from := c.byID[req.From.ID]
	resp := c.newMessage(from)
	resp.Entries = c.appendUpdates(resp.Entries)
	if from != nil && c.recordDiffers(from, &req.From) {
		resp.Entries = append(resp.Entries, from.selfReportEntry())
	}
	if req.Check != "" {
		c.handleCheck(req, resp)
	}
	if len(req.BucketDigests) == bucketCount && c.syncResponseLimit.AllowN(now, 1) {
		c.compareBuckets(req.BucketDigests, resp)
	}
	c.flushUrgent()
	resp.Digest = c.digest
	return resp
}

// recordDiffers reports whether the record of a member differs from the entry
// that the member sent about itself. It returns false for this node, for a dead
// member and for one with a confirmed suspicion.
func (c *core) recordDiffers(r *record, e *Entry) bool {
	return r != c.self && !r.dead && !r.confirmed() && (r.incarnation != e.Incarnation || r.seq != e.Seq)
}

// handleCheck starts a probe of the member that the request names. If the
// member is dead in this view, or is not in this view but the request contains
// an entry about it, the response reports it as Dead immediately.
func (c *core) handleCheck(req, resp *Message) {
	r := c.byID[req.Check]
	switch {
	case r == c.self:
	case r == nil:
		i := slices.IndexFunc(req.Entries, func(e Entry) bool { return e.ID == req.Check && e.valid() })
		if i >= 0 {
			e := req.Entries[i]
			resp.Entries = append(resp.Entries, Entry{ID: e.ID, Incarnation: e.Incarnation, Seq: e.Seq, State: Dead})
		}
	case r.dead:
		resp.Entries = append(resp.Entries, r.deadEntry())
	default:
		c.send(r, sendOptions{retries: checkRetries})
	}
}

// mergeMessage merges a message from an authenticated peer. It rejects a message
// in which the sender reports itself as neither Alive nor Leaving, and entries
// beyond maxEntries.
func (c *core) mergeMessage(m *Message) {
	if m.From.State != Alive && m.From.State != Leaving {
		c.stats.Rejected++
		return
	}
	c.mergeEntry(&m.From, m.From.ID)
	if r := c.byID[m.From.ID]; r != nil {
		c.markContact(r)
	}
	for i := range m.Entries {
		if i >= maxEntries {
			c.stats.Rejected++
			return
		}
		c.mergeEntry(&m.Entries[i], m.From.ID)
	}
}

// markContact records that a message arrived from the member. It clears an
// unconfirmed suspicion and restarts the refutation window of a confirmed one.
func (c *core) markContact(r *record) {
	if r == c.self {
		return
	}
	r.lastContact = c.now
	c.lastAnyContact = c.now
	switch {
	case r.dead || r.suspicion == nil:
	case r.suspicion.confirmed:
		r.suspicion.deadline = c.now.Add(refutationWindow)
	default:
		c.clearSuspicion(r)
	}
}

// completeExchange processes the outcome of an exchange: a response or an
// error. A response from a member with another ID counts as a failure.
func (c *core) completeExchange(now time.Time, ex *exchange, resp *Message, err error) {
	c.now = now
	r := ex.peer
	r.pending--
	if c.byID[r.id] != r {
		return
	}
	if err != nil || resp == nil || resp.From.ID != r.id {
		c.handleFailure(ex)
		return
	}
	c.mergeMessage(resp)
	switch {
	case len(resp.DifferingBuckets) > 0 && ex.opts.sync:
		c.send(r, sendOptions{pushBuckets: resp.DifferingBuckets, ignoreFailure: true})
	case resp.Digest == c.digest:
		c.mismatchSince = time.Time{}
	default:
		c.handleDigestMismatch(r)
	}
	c.flushUrgent()
}

// handleFailure processes a failed exchange. It repeats the exchange while
// retries remain. After that, if the exchange requested a check, it requests the
// check from another peer; otherwise, unless ignoreFailure is set, it counts the
// failure against the peer. Failures of dead peers are only counted in the
// statistics.
func (c *core) handleFailure(ex *exchange) {
	c.stats.Failures++
	switch {
	case ex.peer.dead:
	case ex.opts.retries > 0:
		opts := ex.opts
		opts.retries--
		c.send(ex.peer, opts)
	case ex.opts.checkTarget != nil:
		c.requestReplacementCheck(ex.opts.checkTarget)
	case ex.opts.ignoreFailure:
	default:
		c.markUnreachable(ex.peer)
	}
	c.flushUrgent()
}
