// Package datagram carries JSON-RPC messages between nodes, one in each UDP datagram.
//
// Nothing is repeated and nothing waits for a peer that is frozen, cut off or gone: a
// notification that is lost is lost, and a call without an answer ends with its context.
// An answer is taken only from the address that was asked.
package datagram

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/time/rate"
)

// MaxBytes is the length of the longest message. A longer one is refused by the sender.
const MaxBytes = 16 << 10

// headerBytes is the length of the headers of IPv4 and UDP.
const headerBytes = 28

// errBusy is told to a caller in place of an answer for which there is no room now.
var errBusy = errors.New("datagram: the answers of this second are given")

// Handler serves one method. It must not wait, as messages are served one after the
// other. For a notification its result is dropped.
type Handler func(params json.RawMessage) (result any, err error)

// Conn sends and receives messages at one port. It is safe for concurrent use.
type Conn struct {
	udp      *net.UDPConn
	log      zerolog.Logger
	handlers map[string]Handler
	answers  *rate.Limiter // bytes of answers; nil for no bound
	sent     atomic.Int64

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]*call
}

// call is a call that waits for its answer.
type call struct {
	to     netip.AddrPort
	answer chan message // has room for one
}

// message is any JSON-RPC message.
type message struct {
	Method string           `json:"method,omitempty"`
	Params *json.RawMessage `json:"params,omitempty"`
	ID     *jsonrpc2.ID     `json:"id,omitempty"`
	Result *json.RawMessage `json:"result,omitempty"`
	Error  *jsonrpc2.Error  `json:"error,omitempty"`
}

// Listen opens a port, given as IP:PORT.
func Listen(addr string, log zerolog.Logger) (*Conn, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "parse the address for peers")
	}
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	return &Conn{udp: udp, log: log, handlers: make(map[string]Handler), waiting: make(map[uint64]*call)}, nil
}

// Addr returns the address that peers send to.
func (c *Conn) Addr() string { return c.udp.LocalAddr().String() }

// Handle has a method served. It must be called before Run.
func (c *Conn) Handle(method string, h Handler) { c.handlers[method] = h }

// Bound bounds the bytes of answers in a second, a second's worth at once. In place of an
// answer beyond it the caller is told so. It must be called before Run.
func (c *Conn) Bound(bytes int) { c.answers = rate.NewLimiter(rate.Limit(bytes), max(bytes, MaxBytes)) }

// Spare returns how many bytes an answer may take of what is not kept for others: half of
// what Bound allows at once.
func (c *Conn) Spare() int {
	if c.answers == nil {
		return MaxBytes
	}
	return max(int(c.answers.Tokens())-c.answers.Burst()/2, 0)
}

// Sent returns the number of bytes sent so far, with the datagrams' headers.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Close ends Run.
func (c *Conn) Close() error { return c.udp.Close() }

// Run receives until ctx is done or the connection is closed.
func (c *Conn) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.udp.Close() })
	defer stop()
	buffer := make([]byte, MaxBytes)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil, eris.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			c.log.Warn().Str("event", "datagram_unread").Err(err).Send()
		default:
			c.take(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// take handles one message.
func (c *Conn) take(data []byte, from netip.AddrPort) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		c.log.Warn().Str("event", "datagram_rejected").Stringer("from", from).Err(err).Send()
		return
	}
	if m.Method == "" {
		c.takeAnswer(m, from)
		return
	}
	result, err := c.serve(&m)
	if err != nil {
		c.log.Warn().Str("event", "datagram_rejected").Stringer("from", from).Str("method", m.Method).AnErr("error", err).Send()
	}
	if m.ID != nil {
		c.answer(*m.ID, result, err, from)
	}
}

func (c *Conn) serve(m *message) (any, error) {
	h, known := c.handlers[m.Method]
	if !known {
		return nil, eris.Errorf("unknown method %q", m.Method)
	}
	if m.Params == nil {
		return nil, eris.New("no parameters")
	}
	return h(*m.Params)
}

// answer sends the answer to a call. In place of one that is too long the caller is told so:
// it would take silence for a peer that is gone.
func (c *Conn) answer(id jsonrpc2.ID, result any, failed error, to netip.AddrPort) {
	resp := jsonrpc2.Response{ID: id}
	if failed == nil {
		failed = resp.SetResult(result)
	}
	if failed == nil {
		failed = c.send(&resp, to)
	}
	if failed == nil {
		return
	}
	err := c.send(&jsonrpc2.Response{ID: id, Error: &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: failed.Error()}}, to)
	if err != nil {
		c.log.Debug().Str("event", "datagram_unsent").Stringer("to", to).AnErr("error", err).Send()
	}
}

func (c *Conn) send(resp *jsonrpc2.Response, to netip.AddrPort) error {
	data, err := json.Marshal(resp)
	if err != nil {
		return eris.Wrap(err, "encode an answer")
	}
	if resp.Error == nil && c.answers != nil && !c.answers.AllowN(time.Now(), len(data)) {
		return errBusy
	}
	return c.write(data, to)
}

func (c *Conn) takeAnswer(m message, from netip.AddrPort) {
	if m.ID == nil {
		return
	}
	c.mu.Lock()
	w := c.waiting[m.ID.Num]
	c.mu.Unlock()
	if w == nil || w.to != from {
		return // late, or of somebody who was not asked
	}
	select {
	case w.answer <- m:
	default: // it came twice
	}
}

func (c *Conn) write(data []byte, to netip.AddrPort) error {
	if len(data) > MaxBytes {
		return eris.Errorf("a message of %d bytes is too long", len(data))
	}
	c.sent.Add(int64(len(data) + headerBytes))
	_, err := c.udp.WriteToUDPAddrPort(data, to)
	return err
}

// Notify sends a notification to each peer, and returns the bytes of all.
func (c *Conn) Notify(peers []netip.AddrPort, method string, params any) (bytes int) {
	req := jsonrpc2.Request{Method: method, Notif: true}
	err := req.SetParams(params)
	var data []byte
	if err == nil {
		data, err = json.Marshal(&req)
	}
	if err != nil {
		c.log.Error().Str("event", "datagram_unsent").Str("method", method).Err(err).Send()
		return 0
	}
	for _, peer := range peers {
		if err := c.write(data, peer); err != nil {
			c.log.Debug().Str("event", "datagram_unsent").Stringer("to", peer).Err(err).Send()
		}
	}
	return len(peers) * (len(data) + headerBytes)
}

// Call calls a method of a peer and decodes its result. Without an answer it fails when
// ctx ends, and the peer may have served it.
func (c *Conn) Call(ctx context.Context, peer netip.AddrPort, method string, params, result any) error {
	id, w := c.begin(peer)
	defer c.end(id)
	req := jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: id}}
	if err := req.SetParams(params); err != nil {
		return eris.Wrapf(err, "encode a call of %s", method)
	}
	data, err := json.Marshal(&req)
	if err != nil {
		return eris.Wrapf(err, "encode a call of %s", method)
	}
	if err := c.write(data, peer); err != nil {
		return eris.Wrapf(err, "send a call of %s", method)
	}
	select {
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "wait for the answer of %s", method)
	case m := <-w.answer:
		return decodeAnswer(&m, method, result)
	}
}

func decodeAnswer(m *message, method string, result any) error {
	if m.Error != nil {
		return eris.Wrapf(m.Error, "call %s", method)
	}
	if m.Result == nil {
		return eris.Errorf("the answer of %s has no result", method)
	}
	return eris.Wrapf(json.Unmarshal(*m.Result, result), "decode the answer of %s", method)
}

func (c *Conn) begin(peer netip.AddrPort) (uint64, *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextID == 0 {
		// Answers to calls of an earlier process at this address must not be taken.
		c.nextID = uint64(time.Now().UnixNano())
	}
	c.nextID++
	w := &call{to: peer, answer: make(chan message, 1)}
	c.waiting[c.nextID] = w
	return c.nextID, w
}

func (c *Conn) end(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}
