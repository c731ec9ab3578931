package peerload

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	// method is the name of the notification.
	method = "node.load"
	// maxDatagram bounds a message; an endpoint takes about 60 bytes.
	maxDatagram = 16 << 10
	// closedFor is how long an endpoint stays closed on one message, so that a few
	// lost ones are bridged.
	closedFor = 800 * time.Millisecond
	// farSpacing is the time between two messages to the nodes that hear of orders
	// alone: the message to each of 1,000 nodes takes 4 Mbit/s then.
	farSpacing = 250 * time.Millisecond
	// countTime is the time for the request that a message is sent for to be counted.
	countTime = time.Millisecond
)

// Config is what an Exchange needs. All fields must be set.
type Config struct {
	Node   string
	Domain string // failure domain of this node
	Addr   string // where this node listens, IP:PORT
	// Members are the endpoints whose load is told.
	Members func() []*fleet.Member
	// Orders are the engines that this node has loaded now, and whether it holds the
	// claim on orders.
	Orders func() (closed []weights.Closed, leads bool)
	Log    zerolog.Logger
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
	near []*net.UDPAddr
	far  []*net.UDPAddr // the others, which hear of orders alone
}

// Exchange sends this node's digests and takes those of its peers.
type Exchange struct {
	Table *Table

	config      Config
	incarnation int64
	conn        *net.UDPConn
	log         zerolog.Logger
	peers       atomic.Pointer[audience]
	kick        chan struct{}

	// The rest is used by Run alone.
	seq     int64
	toldFar time.Time // when the nodes far were told of orders
	led     bool      // they were told that this node leads
}

// Listen opens the node's port.
func Listen(c Config) (*Exchange, error) {
	local, err := net.ResolveUDPAddr("udp", c.Addr)
	if err != nil {
		return nil, eris.Wrap(err, "parse the address for peers")
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	return &Exchange{
		Table: NewTable(), config: c, incarnation: time.Now().UnixNano(),
		conn: conn, log: c.Log, kick: make(chan struct{}, 1),
	}, nil
}

// Addr returns the address that peers send to.
func (e *Exchange) Addr() string { return e.conn.LocalAddr().String() }

// SetPeers replaces the nodes that digests go to. Wrong addresses are left out.
func (e *Exchange) SetPeers(peers []Peer) {
	own := e.Addr()
	whole := pace.Whole(len(peers))
	next := &audience{}
	for _, p := range peers {
		if p.Addr == own {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp", p.Addr)
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

// Run sends and receives until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { e.conn.Close() })
	defer stop()
	go e.receive(ctx)
	for ctx.Err() == nil {
		spacing, interval := pace.Digests(e.listeners())
		retry.Sleep(ctx, spacing)
		e.awaitKick(ctx, interval-spacing)
		e.send()
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
// all, who must send nothing to engines that load; those that don't need its load hear
// less often, as one message to each of many nodes would fill a small host's link.
func (e *Exchange) send() {
	peers := e.peers.Load()
	if peers == nil {
		return
	}
	e.seq++
	digest := e.orders()
	leads := digest.Leads
	if len(peers.far) > 0 && (leads || e.led) && time.Since(e.toldFar) >= farSpacing {
		e.tell(peers.far, digest)
		e.toldFar = time.Now()
		e.led = leads // once more after the end
	}
	digest.Loads = LoadsOf(e.config.Members(), time.Now())
	e.tell(peers.near, digest)
}

// orders returns a digest of the orders that this node gives, and of the weights that
// it saw.
func (e *Exchange) orders() *Digest {
	d := &Digest{Node: e.config.Node, Incarnation: e.incarnation, Seq: e.seq, Seen: SeenOf(e.config.Members())}
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

func (e *Exchange) tell(peers []*net.UDPAddr, d *Digest) {
	if len(peers) == 0 {
		return
	}
	data, err := encode(d)
	if err != nil {
		e.log.Error().Str("event", "encode_digest").Err(err).Send()
		return
	}
	for _, peer := range peers {
		// A datagram that can't be sent is as good as a lost one: the next one follows.
		if _, err := e.conn.WriteToUDP(data, peer); err != nil {
			e.log.Debug().Str("event", "digest_unsent").Stringer("peer", peer).Err(err).Send()
		}
	}
}

func encode(d *Digest) ([]byte, error) {
	request := jsonrpc2.Request{Method: method, Notif: true}
	if err := request.SetParams(d); err != nil {
		return nil, err
	}
	return json.Marshal(&request)
}

func decode(data []byte) (Digest, error) {
	var d Digest
	var request jsonrpc2.Request
	if err := json.Unmarshal(data, &request); err != nil {
		return d, err
	}
	if request.Method != method || request.Params == nil {
		return d, eris.Errorf("unknown method %q", request.Method)
	}
	err := json.Unmarshal(*request.Params, &d)
	return d, err
}

// learnVersions takes over what a peer saw of engines' weights. Versions only rise,
// so a late digest does no harm.
func (e *Exchange) learnVersions(d *Digest) {
	if len(d.Seen) == 0 {
		return
	}
	members := e.config.Members()
	for _, s := range d.Seen {
		for _, m := range members {
			if slices.Contains(s.Endpoints, m.ID) {
				m.SawVersion(s.Model, s.Version)
			}
		}
	}
}

func (e *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := e.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.log.Warn().Str("event", "digest_unread").Err(err).Send()
			}
			continue
		}
		digest, err := decode(buffer[:n])
		if err != nil {
			e.log.Warn().Str("event", "digest_rejected").Stringer("from", from).Err(err).Send()
			continue
		}
		e.Table.Take(digest, time.Now())
		e.learnVersions(&digest)
	}
}
