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
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	// method is the name of the notification.
	method = "node.load"
	// maxDatagram bounds a message; an endpoint takes about 60 bytes.
	maxDatagram = 16 << 10
	// closedFor is how long an endpoint stays closed on one message, so that a few
	// lost ones are bridged.
	closedFor = 600 * time.Millisecond
	// spacing is the shortest time between two messages. It leaves time for the
	// request that a message is sent for to be counted.
	spacing = 15 * time.Millisecond
)

// Exchange sends this node's digests and takes those of its peers.
type Exchange struct {
	Table *Table

	node        string
	incarnation int64
	conn        *net.UDPConn
	members     func() []*fleet.Member
	closed      func() []weights.Closed
	log         zerolog.Logger
	peers       atomic.Pointer[[]*net.UDPAddr]
	seq         int64
	kick        chan struct{}
}

// Listen opens the node's port. members are the endpoints whose load is told,
// closed those that this node has loaded.
func Listen(node, addr string, members func() []*fleet.Member, closed func() []weights.Closed, log zerolog.Logger) (*Exchange, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "parse the address for peers")
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	return &Exchange{
		Table: NewTable(), node: node, incarnation: time.Now().UnixNano(),
		conn: conn, members: members, closed: closed, log: log, kick: make(chan struct{}, 1),
	}, nil
}

// Addr returns the address that peers send to.
func (e *Exchange) Addr() string { return e.conn.LocalAddr().String() }

// SetPeers replaces the addresses that digests go to. Wrong ones are left out.
func (e *Exchange) SetPeers(addrs []string) {
	own := e.Addr()
	slices.Sort(addrs)
	var peers []*net.UDPAddr
	for _, addr := range slices.Compact(addrs) {
		peer, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			e.log.Warn().Str("event", "peer_rejected").Str("addr", addr).Err(err).Send()
			continue
		}
		if addr != own {
			peers = append(peers, peer)
		}
	}
	e.peers.Store(&peers)
}

// Run sends and receives until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { e.conn.Close() })
	defer stop()
	go e.receive(ctx)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.kick:
			retry.Sleep(ctx, spacing)
		}
		e.send()
	}
}

// Kick has a message sent soon, since this node's load has changed. It never waits.
func (e *Exchange) Kick() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

func (e *Exchange) send() {
	peers := e.peers.Load()
	if peers == nil || len(*peers) == 0 {
		return
	}
	e.seq++
	digest := Digest{Node: e.node, Incarnation: e.incarnation, Seq: e.seq, Loads: LoadsOf(e.members())}
	for _, c := range e.closed() {
		digest.Closed = append(digest.Closed, Closed{Endpoint: c.Endpoint, Loads: c.Loads, ForMs: closedFor.Milliseconds()})
	}
	data, err := encode(&digest)
	if err != nil {
		e.log.Error().Str("event", "encode_digest").Err(err).Send()
		return
	}
	for _, peer := range *peers {
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
	for _, l := range d.Loads {
		if l.Version == 0 {
			continue
		}
		for _, m := range e.members() {
			if m.ID == l.Endpoint {
				m.SawVersion(l.Model, l.Version)
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
