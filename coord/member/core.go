package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Protocol timing.
const (
	tickInterval      = 200 * time.Millisecond
	probeInterval     = time.Second
	exchangeTimeout   = 500 * time.Millisecond
	reconnectInterval = 5 * time.Second
	// suspicionTimeout is the time after which an unconfirmed suspicion is
	// discarded.
	suspicionTimeout = 5 * time.Second
	// refutationWindow is the time in which a member can refute a confirmed
	// suspicion before it becomes Dead.
	refutationWindow     = 2 * time.Second
	isolationTimeout     = 10 * time.Second
	deadRetention        = time.Minute
	startupWindow        = time.Minute
	flushInterval        = 200 * time.Millisecond
	syncQuietPeriod      = 2 * time.Second
	syncMismatchTimeout  = 10 * time.Second
	syncInterval         = 2 * time.Second
	syncResponseInterval = time.Second
)

// Limits on work and memory.
const (
	flushFanout = 3
	// flushMessagesPerSecond and flushMessageBurst limit the messages that
	// flushUrgent sends.
	flushMessagesPerSecond = 6
	flushMessageBurst      = 12
	// peersPerCheck is the number of peers requested to probe a member that this
	// node could not reach.
	peersPerCheck = 2
	// maxReplacements limits, for each failed probe of a member, how many other
	// peers are tried after a peer that was asked to check the member could not
	// be reached. Without the limit, a node whose calls all fail immediately
	// (connection refused) would try every peer in quick succession.
	maxReplacements = 4
	// probeRetries and checkRetries are the number of times a failed exchange
	// is repeated before the failure counts against the peer. probeRetries
	// applies to the regular probes, and checkRetries to all others: those that
	// another node requested, those in the probe queue, and reconnects to
	// members that are not on the roster.
	probeRetries = 2
	checkRetries = 1
	// maxPending limits the exchanges with one peer that are queued or in
	// flight.
	maxPending        = 2
	maxQueuedProbes   = 8
	syncResponseBurst = 8
	// unlistedBase and listedPerUnlisted limit the members that are not on the
	// roster to unlistedBase plus one for every listedPerUnlisted members on
	// the roster.
	unlistedBase      = 64
	listedPerUnlisted = 4
)

// core implements the protocol as a state machine without goroutines, clock or
// I/O. Each step receives the current time and may add exchanges to the outbox.
// The caller (List) fetches these with takeOutbox and reports each outcome with
// completeExchange.
type core struct {
	now     time.Time
	started time.Time
	rng     *rand.Rand
	topo    topology
	stats   Stats

	self *record
	byID map[string]*record
	// records contains all records, also those of dead members, sorted by ID.
	records []*record
	// suspects contains the live members with a suspicion, confirmed or not.
	suspects    []*record
	deadMembers []*record
	// listedCount is the number of valid entries on the newest roster.
	listedCount int

	version    uint64
	lastChange time.Time
	isolated   bool
	superseded bool

	// lastAnyContact is the time of the last message from any other member.
	lastAnyContact time.Time
	nextProbe      time.Time
	nextReconnect  time.Time

	// updateQueue contains the members about which updates are added to
	// regular messages.
	updateQueue []*record
	// urgentUpdates contains the members whose update flushUrgent sends next.
	urgentUpdates []*record
	lastFlush     time.Time
	flushLimit    *rate.Limiter
	// probeQueue contains members to probe in addition to the regular probes of
	// the peers.
	probeQueue []*record

	digest uint32
	// bucketDigests contains the digest of each bucket of the view.
	bucketDigests     [bucketCount]uint32
	mismatchSince     time.Time
	syncLimit         *rate.Limiter
	syncResponseLimit *rate.Limiter

	outbox []*exchange
}

func newCore(self RosterEntry, seed uint64, now time.Time) *core {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.ID)))
	c := &core{
		now:               now,
		started:           now,
		rng:               rng,
		byID:              make(map[string]*record),
		lastAnyContact:    now,
		lastChange:        now,
		nextProbe:         now.Add(jitter(rng, probeInterval)),
		nextReconnect:     now.Add(jitter(rng, reconnectInterval)),
		flushLimit:        rate.NewLimiter(flushMessagesPerSecond, flushMessageBurst),
		syncLimit:         rate.NewLimiter(rate.Every(syncInterval), 1),
		syncResponseLimit: rate.NewLimiter(rate.Every(syncResponseInterval), syncResponseBurst),
	}
	c.self = newRecord(self.ID)
	// The incarnation has 53 bits, so that JSON decoders that use float64 keep
	// it exact. It is never zero, because zero means unknown.
	c.self.incarnation = rng.Uint64()>>11 | 1
	c.self.addr, c.self.domain = self.Addr, self.Domain
	c.topo = &ring{self: c.self, rng: rng}
	c.insert(c.self)
	c.queueUpdate(c.self, true)
	return c
}

func newRecord(id string) *record {
	return &record{id: id, hash: xxhash.Sum64String(id)}
}

func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// insert adds a new record. The member must not be dead.
func (c *core) insert(r *record) {
	c.byID[r.id] = r
	i, _ := slices.BinarySearchFunc(c.records, r.id, compareID)
	c.records = slices.Insert(c.records, i, r)
	c.topo.add(r)
	c.updateDigest(r)
	c.markChanged()
}

// removeRecord deletes a record from all indexes, queues and digests.
func (c *core) removeRecord(r *record) {
	delete(c.byID, r.id)
	c.topo.remove(r)
	c.clearSuspicion(r)
	c.bucketDigests[r.bucket()] ^= r.digest
	c.digest ^= r.digest
	i, _ := slices.BinarySearchFunc(c.records, r.id, compareID)
	c.records = slices.Delete(c.records, i, i+1)
	c.deadMembers = withoutRecord(c.deadMembers, r)
	c.updateQueue = withoutRecord(c.updateQueue, r)
	c.urgentUpdates = withoutRecord(c.urgentUpdates, r)
	c.probeQueue = withoutRecord(c.probeQueue, r)
	c.markChanged()
}

func compareID(r *record, id string) int {
	return strings.Compare(r.id, id)
}

// withoutRecord removes r from list in place and returns the shortened list.
func withoutRecord(list []*record, r *record) []*record {
	return slices.DeleteFunc(list, func(o *record) bool { return o == r })
}

// markChanged starts a new version of the view.
func (c *core) markChanged() {
	c.version++
	c.lastChange = c.now
}

// tick runs the periodic work whose time has come. It must be called every
// tickInterval.
func (c *core) tick(now time.Time) {
	c.now = now
	c.expireSuspicions()
	if !now.Before(c.nextProbe) {
		c.nextProbe = c.nextProbe.Add(probeInterval)
		c.probePeer()
		c.probeNextQueued()
	}
	if !now.Before(c.nextReconnect) {
		c.nextReconnect = c.nextReconnect.Add(reconnectInterval)
		c.reconnect()
		c.removeExpiredDead()
	}
	c.flushUrgent()
	isolated := c.topo.len() > 1 && now.Sub(c.lastAnyContact) > isolationTimeout
	if isolated != c.isolated {
		c.isolated = isolated
		c.markChanged()
	}
}

// probePeer starts the regular exchange with the next peer that has no exchange
// in flight. It tries at most successorCount peers.
func (c *core) probePeer() {
	for range successorCount {
		r := c.topo.nextPeer()
		if r == nil {
			return
		}
		if r.pending == 0 {
			c.send(r, sendOptions{retries: probeRetries})
			return
		}
	}
}

// probeNextQueued removes the first member from the probe queue and probes it
// unless it is dead.
func (c *core) probeNextQueued() {
	if len(c.probeQueue) == 0 {
		return
	}
	r := c.probeQueue[0]
	c.probeQueue = c.probeQueue[1:]
	if !r.dead {
		c.send(r, sendOptions{retries: checkRetries})
	}
}

// reconnect probes one dead member, so that the two sides of a healed network
// partition find each other again, and one live member that is not on the
// roster, which other nodes may have removed from their views.
func (c *core) reconnect() {
	unlisted := slices.DeleteFunc(slices.Clone(c.records), func(r *record) bool {
		return r.listed || r.dead || r == c.self
	})
	if len(unlisted) > 0 {
		c.send(unlisted[c.rng.IntN(len(unlisted))], sendOptions{retries: checkRetries})
	}
	if len(c.deadMembers) > 0 {
		c.send(c.deadMembers[c.rng.IntN(len(c.deadMembers))], sendOptions{ignoreFailure: true})
	}
}

// leave marks this node as Leaving and sends the update to peers. Further calls
// only send queued updates.
func (c *core) leave(now time.Time) {
	c.now = now
	if !c.self.leaving {
		c.setLeaving(c.self)
	}
	c.flushUrgent()
}

// snapshot returns a copy of the current view.
func (c *core) snapshot() View {
	v := View{
		Version:    c.version,
		Members:    make([]Member, len(c.records)),
		Isolated:   c.isolated,
		Superseded: c.superseded,
	}
	for i, r := range c.records {
		v.Members[i] = r.member()
	}
	return v
}
