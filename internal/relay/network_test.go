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
	"github.com/cherryward/cherryward/internal/follow"
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

// simStore is the store of a simulated system, with one topic. All responses share its rate.
type simStore struct {
	rate int // bytes per second

	mu        sync.Mutex
	records   []follow.Record
	changed   chan struct{} // closed and replaced by each write
	busyUntil time.Time
	reads     int
	bytes     int
}

func newSimStore(rate int) *simStore {
	return &simStore{rate: rate, changed: make(chan struct{}), busyUntil: time.Now()}
}

// write appends a record of the topic's only key.
func (s *simStore) write(value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, follow.Record{Key: "config", Value: value, Offset: int64(len(s.records))})
	close(s.changed)
	s.changed = make(chan struct{})
}

// totals returns the number of records, of reads, and of the bytes sent.
func (s *simStore) totals() (records, reads, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.reads, s.bytes
}

// simStoreTopic is a node's view of the store.
type simStoreTopic struct {
	store    *simStore
	link     int // bytes per second
	mu       sync.Mutex
	rejected bool // the store rejects this node's calls
	refused  bool // the store refused a call of this node because of its load
}

const (
	// simTimeout is the time within which a response must arrive, and simQueueTime how long the store may let
	// one wait. Both are as in package platform.
	simTimeout   = 700 * time.Millisecond
	simQueueTime = 2 * time.Second
)

var errBusyStore = errors.New("try later")

// timeout returns the time within which the newest records must arrive.
func (t *simStoreTopic) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refused {
		return simTimeout + simQueueTime
	}
	return simTimeout
}

// list reads bytes of another topic, as the list of nodes, until that succeeds.
func (t *simStoreTopic) list(ctx context.Context, bytes int) {
	value := make([]byte, bytes)
	for delay := 250 * time.Millisecond; ctx.Err() == nil; delay = min(2*delay, time.Second) {
		_, err := t.call(ctx, t.timeout(), func() []follow.Record { return []follow.Record{{Value: value}} })
		if err == nil {
			return
		}
		sleep(ctx, delay)
	}
}

var (
	_ follow.Topic = (*simStoreTopic)(nil)

	errRejected = errors.New("connection reset")
)

func (t *simStoreTopic) setRejected(rejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected = rejected
}

// Newest implements follow.Topic.
func (t *simStoreTopic) Newest(ctx context.Context) (follow.Page, error) {
	return t.call(ctx, t.timeout(), func() []follow.Record {
		all := t.store.records
		return all[max(len(all)-1, 0):]
	})
}

// Read implements follow.Topic.
func (t *simStoreTopic) Read(ctx context.Context, from int64, wait time.Duration) (follow.Page, error) {
	deadline := time.After(wait)
	for {
		t.store.mu.Lock()
		available, changed := len(t.store.records) > int(from), t.store.changed
		t.store.mu.Unlock()
		if available || wait == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return follow.Page{}, ctx.Err()
		case <-changed:
		case <-deadline:
			wait = 0
		}
	}
	return t.call(ctx, simTimeout, func() []follow.Record { return t.store.records[min(int(from), len(t.store.records)):] })
}

// call transfers records. A response that takes longer than the timeout is lost, though the store has sent
// it.
func (t *simStoreTopic) call(ctx context.Context, timeout time.Duration, list func() []follow.Record) (follow.Page, error) {
	t.mu.Lock()
	rejected := t.rejected
	t.mu.Unlock()
	if rejected {
		sleep(ctx, simDelay)
		return follow.Page{}, errRejected
	}
	t.store.mu.Lock()
	records := list()
	next := int64(len(t.store.records))
	bytes := 100 + valueBytes(records)
	t.store.reads++
	if now := time.Now(); t.store.busyUntil.Before(now) {
		t.store.busyUntil = now
	}
	if time.Until(t.store.busyUntil) > simQueueTime {
		t.store.mu.Unlock()
		t.mu.Lock()
		t.refused = true
		t.mu.Unlock()
		sleep(ctx, simDelay)
		return follow.Page{}, errBusyStore
	}
	t.store.bytes += bytes
	t.store.busyUntil = t.store.busyUntil.Add(time.Duration(bytes) * time.Second / time.Duration(t.store.rate))
	took := time.Until(t.store.busyUntil) + time.Duration(bytes)*time.Second/time.Duration(t.link) + 2*simDelay
	t.store.mu.Unlock()
	if !sleep(ctx, min(took, timeout)) {
		return follow.Page{}, ctx.Err()
	}
	if took > timeout {
		return follow.Page{}, context.DeadlineExceeded
	}
	return follow.Page{Records: records, Next: next}, nil
}
