package peerload

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
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
	// farSpacing is the time between two messages to the nodes of other failure
	// domains: the message to each of 1,000 nodes takes 4 Mbit/s then.
	farSpacing = 250 * time.Millisecond
	// namesSpacing is the time between two messages with the same promises, of which some
	// may be lost.
	namesSpacing = 500 * time.Millisecond
	// countTime is the time for the request that a message is sent for to be counted.
	countTime = time.Millisecond
)

// Config is what an Exchange needs. All fields must be set.
type Config struct {
	Node   string
	Domain string // failure domain of this node
	Conn   *datagram.Conn
	// Members are the endpoints whose load is told.
	Members func() []*fleet.Member
	// Late are the holders from which fetches come late.
	Late func() []Late
	// Orders are the engines that this node has loaded now, and whether it holds the
	// claim on orders.
	Orders func() (closed []weights.Closed, leads bool)
	// Names are the oldest weights whose parts this node names at stores.
	Names func() []Named
	// Neighbours are the other nodes of this node's failure domain.
	Neighbours func() Neighbours
	Log        zerolog.Logger
}

// Peer is another node.
type Peer struct {
	Addr   string // IP:PORT
	Domain string // failure domain; empty if not known
}

// audience are the nodes that messages go to.
type audience struct {
	// near are the nodes that hear of this node's load: all of a small system, else
	// those of its failure domain.
	near []netip.AddrPort
	far  []netip.AddrPort // the others
}

// Exchange sends this node's digests and takes those of its peers.
type Exchange struct {
	Table *Table

	config      Config
	incarnation int64
	log         zerolog.Logger
	peers       atomic.Pointer[audience]
	kick        chan struct{}

	// The rest is used by Run alone.
	seq     int64
	toldFar time.Time // when the nodes far were told something
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
	return e
}

// SetPeers replaces the nodes that digests go to. Wrong addresses are left out.
func (e *Exchange) SetPeers(peers []Peer) {
	own := e.config.Conn.Addr()
	whole := pace.Whole(len(peers))
	next := &audience{}
	for _, p := range peers {
		if p.Addr == own {
			continue
		}
		addr, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			e.log.Warn().Str("event", "peer_rejected").Str("addr", p.Addr).Err(err).Send()
			continue
		}
		if whole || p.Domain == "" || p.Domain == e.config.Domain {
			next.near = append(next.near, addr)
		} else {
			next.far = append(next.far, addr)
		}
	}
	e.peers.Store(next)
}

// Whole reports whether the nodes tell one another everything, rather than those of
// each failure domain.
func (e *Exchange) Whole() bool {
	peers := e.peers.Load()
	return peers == nil || len(peers.far) == 0
}

// Run sends until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	sent := 0
	for ctx.Err() == nil {
		spacing, interval := pace.Digests(e.listeners())
		spacing = max(spacing, pace.Spread(sent))
		retry.Sleep(ctx, spacing)
		e.awaitKick(ctx, interval-spacing)
		sent = e.send()
	}
	return nil
}

// awaitKick returns after d, or when a message is to be sent soon.
func (e *Exchange) awaitKick(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.kick:
		retry.Sleep(ctx, countTime)
	}
}

func (e *Exchange) listeners() int {
	if peers := e.peers.Load(); peers != nil {
		return len(peers.near)
	}
	return 0
}

// Kick has a message sent soon, since this node's load has changed. It never waits.
func (e *Exchange) Kick() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// send tells the peers near of this node's load. A node that gives orders is heard by
// all, who must send nothing to engines that load; those far hear less often, as one
// message to each of many nodes would fill a small host's link. It returns the bytes of all
// messages.
func (e *Exchange) send() (bytes int) {
	peers := e.peers.Load()
	if peers == nil {
		return 0
	}
	e.seq++
	members := e.config.Members()
	digest := e.orders(members)
	if len(peers.far) > 0 && time.Since(e.toldFar) >= farSpacing {
		bytes += e.sendFar(peers, digest, members)
	}
	bytes += e.sendDomain(peers.far)
	digest.Late = e.config.Late()
	digest.Names = e.newNames()
	digest.setLoads(members, len(peers.near), time.Now())
	return bytes + e.config.Conn.Notify(peers.near, method, digest)
}

// newNames returns which weights' parts this node names, now and then and when that changed:
// it is a promise, which needs no message to last.
func (e *Exchange) newNames() []Named {
	names := e.config.Names()
	if slices.Equal(names, e.names) && time.Since(e.toldNames) < namesSpacing {
		return nil
	}
	e.names, e.toldNames = names, time.Now()
	return names
}

// sendFar tells the nodes of other failure domains of orders, and of this node's load at
// engines there, which it uses where its own domain has too few. Once both have ended they
// are told so.
func (e *Exchange) sendFar(peers *audience, digest *Digest, members []*fleet.Member) (bytes int) {
	far := *digest
	far.setLoads(outside(members, e.config.Domain), len(peers.far), time.Now())
	news := far.Leads || len(far.Loads) > 0
	if news || e.news {
		bytes = e.config.Conn.Notify(peers.far, method, &far)
		e.toldFar = time.Now()
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
	d := &Digest{Node: e.config.Node, Incarnation: e.incarnation, Seq: e.seq, Seen: SeenOf(members, time.Now())}
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

// learnVersions takes over what a peer was told by engines of their weights. It counts from
// when they said it, so that a late digest does no harm.
func (e *Exchange) learnVersions(d *Digest, now time.Time) {
	if len(d.Seen) == 0 {
		return
	}
	members := e.config.Members()
	for i := range d.Seen {
		s := &d.Seen[i]
		for _, m := range members {
			if at := slices.Index(s.Endpoints, m.ID); at >= 0 {
				m.Heard(s.statement(at, now))
			}
		}
	}
}

// take notes what a peer tells.
func (e *Exchange) take(params json.RawMessage) (any, error) {
	var d Digest
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, eris.Wrap(err, "decode a digest")
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	now := time.Now()
	e.Table.Take(d, now)
	e.learnVersions(&d, now)
	return nil, nil
}
