package peerload

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	// method is the name of the notification.
	method = "node.load"
	// closedFor is how long an endpoint stays closed on one message, so that a few
	// lost ones are bridged.
	closedFor = 800 * time.Millisecond
	// farSpacing is the time between two messages to other failure domains, on orders and on this
	// domain's load. They go to the two nodes that speak for each, of 12 domains at 1,000 nodes, but
	// to all nodes of one of which no speaker was heard.
	farSpacing = 250 * time.Millisecond
	// namesSpacing is the time between two messages with the same promises, of which some
	// may be lost.
	namesSpacing = 500 * time.Millisecond
	// countTime is the time for the request that a message is sent for to be counted.
	countTime = time.Millisecond
	// settleTime is how long a node has collected before it speaks to other failure domains. At a
	// common start all collect until they hear the others, and would all tell each other.
	settleTime = time.Second
	// aliveSpacing is the time between two messages to all of a node that stands by to
	// collect: a few may be lost before it counts as gone.
	aliveSpacing = 300 * time.Millisecond
)

// Conn carries notifications between nodes. Nothing is repeated.
type Conn interface {
	// Addr returns the address that peers send to, IP:PORT.
	Addr() string
	// Handle has a method served. It is called before messages come.
	Handle(method string, h datagram.Handler)
	// Notify sends a notification to each peer, and returns the bytes of all.
	Notify(peers []netip.AddrPort, method string, params any) (bytes int)
}

var _ Conn = (*datagram.Conn)(nil)

// Config is what an Exchange needs. Unless said otherwise all fields must be set.
type Config struct {
	Node   string
	Domain string // failure domain of this node
	Conn   Conn
	// Members are the endpoints whose load is told.
	Members func() []*fleet.Member
	// Member returns one of them by its id, nil for none. Nil has them looked through.
	Member func(id string) *fleet.Member
	// Late are the holders from which fetches come late.
	Late func() []Late
	// Orders are the engines that this node has loaded now, and whether it holds the
	// claim on orders.
	Orders func() (closed []weights.Closed, leads bool)
	// Names are the oldest weights whose parts this node names at stores.
	Names func() []Named
	// Neighbours are the other nodes of this node's failure domain.
	Neighbours func() Neighbours
	// Role is this node's part in telling loads within the failure domain. It is asked in large
	// systems alone. Nil means that each node tells all there itself.
	Role func() Role
	// LinkBytes is what the host's link carries, in bytes a second; 0 if not known.
	LinkBytes int
	// Clock dates what peers tell. Nil is the steady clock.
	Clock *clock.Clock
	Log   zerolog.Logger
}

// Role is a node's part in telling loads within the failure domain of a large system. With its
// zero value it tells all nodes there itself.
type Role struct {
	// Collects is true at a collector, which tells all nodes there what it hears.
	Collects bool
	// StandsBy is true where it is one of the next to collect. It tells all that it lives.
	StandsBy bool
	// Collectors are the others that collect.
	Collectors []netip.AddrPort
}

// Exchange sends this node's digests and takes those of its peers.
type Exchange struct {
	Table *Table

	config      Config
	incarnation int64
	log         zerolog.Logger
	peers       atomic.Pointer[audience]
	collects    atomic.Bool
	kick        chan struct{}

	// The rest is used by Run alone.
	seq       int64
	role      Role
	begun     time.Time // when it began to collect
	toldFar   time.Time // when the nodes far were told something
	toldNear  time.Time // when all nodes near were
	toldOuter time.Time // when they were told of this failure domain's load
	// toldDomain is when they were told of this failure domain's promises.
	toldDomain time.Time
	news       bool // they were told of something that may have ended
	// names are the weights that peers were told of, and when.
	names     []Named
	toldNames time.Time
}

// New returns an exchange that hears its peers at a connection that doesn't run yet.
func New(c Config) *Exchange {
	e := &Exchange{
		Table: NewTable(), config: c, incarnation: time.Now().UnixNano(),
		log: c.Log, kick: make(chan struct{}, 1),
	}
	c.Conn.Handle(method, e.take)
	c.Conn.Handle(domainMethod, e.takeDomain)
	c.Conn.Handle(outerMethod, e.takeOuter)
	return e
}

// Run sends until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	sent := 0
	for ctx.Err() == nil {
		spacing, interval := pace.Digests(e.listeners())
		if e.role.Collects {
			interval = spacing // what others tell it changes all the time
		}
		spacing = max(spacing, pace.Spread(sent, e.config.LinkBytes))
		retry.Sleep(ctx, spacing)
		e.awaitKick(ctx, interval-spacing)
		sent = e.send()
	}
	return nil
}

// awaitKick returns after d, or when a message is to be sent soon; at once where d has passed.
//
// No timer is made then: one that fires on the goroutine which waits for it, beside another of
// the same synctest bubble, ends the race detector's runtime, as these share one race context
// there (a SIGSEGV, or its own check of an epoch).
func (e *Exchange) awaitKick(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.kick:
		retry.Sleep(ctx, countTime)
	}
}

// Kick has a message sent soon, since this node's load has changed. It never waits.
func (e *Exchange) Kick() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// send tells the peers of this node's load. A node that gives orders is heard by all, who must
// send nothing to engines that load; those far hear less often, as one message to each of many
// nodes would fill a small host's link. It returns the bytes of all messages.
func (e *Exchange) send() (bytes int) {
	peers := e.peers.Load()
	if peers == nil {
		return 0
	}
	e.seq++
	members := e.config.Members()
	digest := e.orders(members)
	if len(peers.far) > 0 && e.config.Clock.Since(e.toldFar) >= farSpacing {
		bytes += e.sendFar(peers, digest, members)
	}
	bytes += e.sendDomain(peers)
	digest.Late = e.config.Late()
	digest.Names = e.newNames()
	digest.Limits = LimitsOf(members, e.config.Clock.Now())
	digest.setLoads(members, e.longest(len(peers.near)), e.config.Clock.Now())
	return bytes + e.sendNear(peers, digest, members)
}

// sendNear tells the nodes of this failure domain. In a large system only collectors hear each
// of them.
func (e *Exchange) sendNear(peers *audience, digest *Digest, members []*fleet.Member) (bytes int) {
	if len(peers.far) == 0 || e.config.Role == nil {
		return e.config.Conn.Notify(peers.near, method, digest)
	}
	now := e.config.Clock.Now()
	before := e.role.Collects
	e.role = e.config.Role()
	if e.role.Collects != before {
		e.begun = now
		e.collects.Store(e.role.Collects)
		e.log.Info().Str("event", "collects").Bool("collects", e.role.Collects).Int("heard", e.Table.Lately(now)).Send()
	}
	e.Table.NoteOwn(digest)
	switch {
	case e.role.Collects:
		bytes = e.sendOuter(peers, digest, members)
		digest.Collected = e.Table.Collect(now)
	case len(e.role.Collectors) > 0 && !(e.role.StandsBy && now.Sub(e.toldNear) >= aliveSpacing):
		return e.config.Conn.Notify(e.role.Collectors, method, digest)
	}
	e.toldNear = now
	return bytes + e.config.Conn.Notify(peers.near, method, digest)
}

// Collects reports whether this node tells those of its failure domain what all have under way.
func (e *Exchange) Collects() bool { return e.collects.Load() }

// speaks reports whether this node speaks for its failure domain.
func (e *Exchange) speaks(now time.Time) bool {
	return e.config.Role == nil || e.role.Collects && now.Sub(e.begun) >= settleTime
}

// longest returns the bytes of the longest message that so many peers can be told in time.
func (e *Exchange) longest(peers int) int {
	return pace.LongestMessage(peers, e.config.LinkBytes, toldWithin)
}

// newNames returns which weights' parts this node names, now and then and when that changed:
// it is a promise, which needs no message to last.
func (e *Exchange) newNames() []Named {
	names := e.config.Names()
	if slices.Equal(names, e.names) && e.config.Clock.Since(e.toldNames) < namesSpacing {
		return nil
	}
	e.names, e.toldNames = names, e.config.Clock.Now()
	return names
}

// sendFar tells the nodes of other failure domains, by the collectors there, of orders, and where
// there are none, of this node's load at engines there. Once both have ended they are told so.
func (e *Exchange) sendFar(peers *audience, digest *Digest, members []*fleet.Member) (bytes int) {
	far := *digest
	to := peers.collectors(e.Table, e.config.Clock.Now())
	if e.config.Role == nil { // else the collectors tell of it
		far.setLoads(outside(members, e.config.Domain), e.longest(len(to)), e.config.Clock.Now())
	}
	news := far.Leads || len(far.Loads) > 0
	if news || e.news {
		bytes = e.config.Conn.Notify(to, method, &far)
		e.toldFar = e.config.Clock.Now()
	}
	e.news = news
	return bytes
}

// outside returns the engines of other failure domains. Plain services are left out: all
// nodes use all endpoints of these, a few each.
func outside(members []*fleet.Member, domain string) []*fleet.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *fleet.Member) bool {
		at := m.Endpoint()
		return at.Domain == domain || len(at.Weights) == 0
	})
}

// orders returns a digest of the orders that this node gives, and of the weights that
// it saw.
func (e *Exchange) orders(members []*fleet.Member) *Digest {
	d := &Digest{Node: e.config.Node, Incarnation: e.incarnation, Seq: e.seq, Seen: SeenOf(members, e.config.Clock.Now())}
	var closed []weights.Closed
	closed, d.Leads = e.config.Orders()
	for _, c := range closed {
		d.ForMs = closedFor.Milliseconds()
		if c.Loads {
			d.Loading = append(d.Loading, c.Endpoint)
		} else {
			d.Emptied = append(d.Emptied, c.Endpoint)
		}
	}
	return d
}
