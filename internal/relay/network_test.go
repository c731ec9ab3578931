package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/time/rate"

	"github.com/cherryward/cherryward/internal/datagram"
)

// simDelay is the one-way delay between two nodes, or between a node and the store.
const simDelay = time.Millisecond

// simNetwork connects nodes in virtual time. It loses a share of the messages.
type simNetwork struct {
	loss float64

	mu     sync.Mutex
	random *rand.Rand
	conns  map[netip.AddrPort]*simConn
	bytes  int // of all responses
	calls  int
}

func newSimNetwork(loss float64) *simNetwork {
	return &simNetwork{loss: loss, random: rand.New(rand.NewPCG(1, 2)), conns: make(map[netip.AddrPort]*simConn)}
}

// sentBytes returns the bytes of all responses.
func (n *simNetwork) sentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// callCount returns the number of calls between nodes.
func (n *simNetwork) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// lost reports whether the next message is lost.
func (n *simNetwork) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.loss
}

// simConn is a node's connection to a simNetwork.
type simConn struct {
	network  *simNetwork
	handlers map[string]datagram.Handler
	limiter  *rate.Limiter // of the bytes of responses

	mu   sync.Mutex // calls are handled one after the other
	down bool       // receives and sends nothing
	sent int        // bytes of responses
}

// connect adds a node, whose responses are limited to a rate in bytes per second.
func (n *simNetwork) connect(addr netip.AddrPort, responseRate int) *simConn {
	c := &simConn{network: n, handlers: make(map[string]datagram.Handler), limiter: rate.NewLimiter(rate.Limit(responseRate), max(responseRate, datagram.MaxBytes))}
	n.conns[addr] = c
	return c
}

// Handle implements Conn.
func (c *simConn) Handle(method string, h datagram.Handler) { c.handlers[method] = h }

// Call implements Conn.
func (c *simConn) Call(ctx context.Context, node netip.AddrPort, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	peer := c.network.conns[node]
	c.network.mu.Lock()
	c.network.calls++
	c.network.mu.Unlock()
	if len(data) > datagram.MaxBytes || peer == nil || c.network.lost() || !sleep(ctx, simDelay) {
		<-ctx.Done()
		return ctx.Err()
	}
	response, err := peer.handle(method, data)
	if errors.Is(err, errSilent) || c.network.lost() || !sleep(ctx, simDelay) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
	}
	return json.Unmarshal(response, result)
}

var (
	errSilent  = errors.New("the node is down")
	errTooLong = errors.New("message is too long")
	errLimited = errors.New("the answers of this second are given")
)

// handle handles a call as datagram.Conn does.
func (c *simConn) handle(method string, params []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, errSilent
	}
	handler := c.handlers[method]
	if handler == nil {
		return nil, errors.New("unknown method")
	}
	result, err := handler(params)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(result)
	switch {
	case err != nil:
		return nil, err
	case len(data) > datagram.MaxBytes:
		return nil, errTooLong
	case !c.limiter.AllowN(time.Now(), len(data)):
		return nil, errLimited
	}
	c.sent += len(data)
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.bytes += len(data)
	return data, nil
}

// sleep sleeps, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
