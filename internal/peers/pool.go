package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/internal/result"
)

// NotSentError is returned for a call that did not reach the other node because no
// connection could be made. The call may be repeated.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Pool opens and caches connections to other nodes, one per address.
type Pool struct {
	self    Identity
	key     []byte
	tls     *tls.Config
	traffic *Traffic

	mu    sync.Mutex
	slots map[string]*slot
}

// NewPool returns a pool without connections. If config is nil, it dials without TLS.
func NewPool(self Identity, key []byte, config *tls.Config, traffic *Traffic) *Pool {
	return &Pool{self: self, key: key, tls: config, traffic: traffic, slots: make(map[string]*slot)}
}

// Call calls a method of the node at addr. If the node responds with an error, Call
// returns an error with the same result code. *NotSentError means that the call did not
// reach the node. After any other error it may have reached the node.
func Call[Req, Resp any](ctx context.Context, p *Pool, addr, method string, req *Req) (*Resp, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	defer c.release()
	p.traffic.Calls.Add(1)
	resp := new(Resp)
	if err := c.conn.Call(ctx, method, req, resp); err != nil {
		return nil, fromWire(err)
	}
	return resp, nil
}

// CallOrServe calls a method of a node like Call. If the node is this one, it calls
// serve, the function passed to Handle for the method.
func CallOrServe[Req, Resp any](ctx context.Context, p *Pool, node, addr, method string, req *Req, serve func(context.Context, Identity, *Req) (*Resp, error)) (*Resp, error) {
	if node == p.self.ID {
		return serve(ctx, p.self, req)
	}
	return Call[Req, Resp](ctx, p, addr, method, req)
}

// Identity returns the identity of the node at addr. It connects to the node if
// necessary and fails if it cannot connect.
func (p *Pool) Identity(ctx context.Context, addr string) (Identity, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return Identity{}, err
	}
	defer c.release()
	return c.identity, nil
}

// Run periodically closes idle connections. When ctx is done, it closes all connections
// and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.closeIdle(now.Add(-idleTimeout))
		case <-ctx.Done():
			p.closeAll()
			return
		}
	}
}

func (p *Pool) slot(addr string) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.slots[addr]
	if !ok {
		s = newSlot()
		p.slots[addr] = s
	}
	return s
}

// acquire returns a connection to the node at addr. The caller must release it.
func (p *Pool) acquire(ctx context.Context, addr string) (*peerConn, error) {
	for {
		c, err := p.slot(addr).use(ctx, func() (*peerConn, error) { return p.dial(ctx, addr) })
		if !errors.Is(err, errSlotRemoved) {
			return c, err
		}
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*peerConn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	if p.tls != nil {
		raw = tls.Client(raw, p.tlsFor(addr))
	}
	counted := newCountedConn(raw, p.traffic)
	counted.unlimited.Store(true)
	stream := jsonrpc2.NewBufferedStream(counted, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(context.Background(), stream, rejectCalls{}, silentLogger)
	identity, err := p.handshake(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &peerConn{conn: conn, identity: identity}, nil
}

// tlsFor returns a TLS configuration that requires a certificate for the host of addr.
func (p *Pool) tlsFor(addr string) *tls.Config {
	config := p.tls.Clone()
	config.ServerName, _, _ = net.SplitHostPort(addr) // addr is valid: it has just been dialed
	return config
}

func (p *Pool) handshake(ctx context.Context, conn *jsonrpc2.Conn) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	t := &transcript{client: p.self, clientNonce: newNonce()}
	var hello helloResponse
	if err := conn.Call(ctx, methodHello, helloRequest{From: p.self, Nonce: t.clientNonce}, &hello); err != nil {
		return Identity{}, eris.Wrap(err, "peer hello")
	}
	t.server, t.serverNonce = hello.From, hello.Nonce
	if !t.verify(p.key, roleServer, hello.Proof) {
		return Identity{}, result.New(result.PeerKey)
	}
	if err := conn.Call(ctx, methodProve, proveRequest{Proof: t.proof(p.key, roleClient)}, &proveResponse{}); err != nil {
		return Identity{}, eris.Wrap(fromWire(err), "peer proof")
	}
	return hello.From, nil
}

func (p *Pool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, s := range p.slots {
		if s.removeIfIdle(before) {
			delete(p.slots, addr)
		}
	}
}

// closeAll closes all connections, including those with calls in flight. It waits for
// dials in progress, which end at the latest by their timeout.
func (p *Pool) closeAll() {
	p.mu.Lock()
	slots := slices.Collect(maps.Values(p.slots))
	clear(p.slots)
	p.mu.Unlock()
	for _, s := range slots {
		s.lock <- struct{}{}
		s.close()
		s.unlock()
	}
}

// rejectCalls is the handler of dialed connections. It rejects all calls, because only
// the dialing end makes calls.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, toWire(result.New(result.PeerMethod)))
	}
}

func resultError(rpc *jsonrpc2.Error, data wireError) error {
	opts := []result.Option{
		result.WithMessage("%s", rpc.Message),
		result.WithField(data.Field),
		result.WithRetryAfter(time.Duration(data.RetryAfterMS) * time.Millisecond),
		result.WithRevision(data.Revision),
	}
	if data.RunState != "" {
		opts = append(opts, result.WithRunState(data.RunState))
	}
	return result.New(result.Code(rpc.Code), opts...)
}

// IsNotSent reports whether the error guarantees that a call did not reach the other
// node.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}
