// Package datagram exchanges JSON-RPC messages between nodes, one in each UDP datagram.
//
// Messages are not retransmitted, so that sending never blocks on a peer that is suspended,
// partitioned or gone: a notification may be lost, and a call without a response fails when
// its context ends. A response is accepted only from the address that was called.
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

	"github.com/cherryward/cherryward/internal/loglimit"
)

// MaxBytes is the maximum length of a message. Sending a longer one fails.
const MaxBytes = 16 << 10

// headerBytes is the length of the IPv4 and UDP headers together.
const headerBytes = 28

// ErrBusy is the error whose text a caller receives instead of a response that exceeds the rate limit.
var ErrBusy = errors.New("datagram: the answers of this second are given")

// Handler handles calls of one method. It must not block, since messages are handled
// sequentially. The result is discarded if the message is a notification.
type Handler func(params json.RawMessage) (result any, err error)

// Conn sends and receives messages on one UDP port. It is safe for concurrent use.
type Conn struct {
	udp          *net.UDPConn
	log, rejects zerolog.Logger // rejects is that of messages that can't be handled
	handlers     map[string]Handler
	limiter      *rate.Limiter // limits the bytes of responses; nil for no limit
	sent         atomic.Int64

	// unknownMethods are the methods without a handler that were logged. Run uses it only.
	unknownMethods map[string]bool

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]*call // by request ID
	tooLong map[string]time.Time
}

// call is a call in flight.
type call struct {
	to       netip.AddrPort
	response chan message // buffer size 1
}

// message is a JSON-RPC request, notification or response.
type message struct {
	Method string           `json:"method,omitempty"`
	Params *json.RawMessage `json:"params,omitempty"`
	ID     *jsonrpc2.ID     `json:"id,omitempty"`
	Result *json.RawMessage `json:"result,omitempty"`
	Error  *jsonrpc2.Error  `json:"error,omitempty"`
}

// Listen opens the UDP port addr, given as IP:PORT.
func Listen(addr string, log zerolog.Logger) (*Conn, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "resolve the peer listen address")
	}
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peer datagrams")
	}
	return &Conn{udp: udp, log: log, rejects: loglimit.Bound(log), handlers: make(map[string]Handler), unknownMethods: make(map[string]bool), pending: make(map[uint64]*call), tooLong: make(map[string]time.Time)}, nil
}

// Addr returns the address that peers send to.
func (c *Conn) Addr() string { return c.udp.LocalAddr().String() }

// Handle registers the handler of a method. It must be called before Run.
func (c *Conn) Handle(method string, h Handler) { c.handlers[method] = h }

// LimitResponses limits the responses to the given number of bytes per second, with bursts of up to
// one second's worth and at least MaxBytes. The caller of a response beyond the limit receives
// an error. Error responses are not limited, and headers are not counted. It must be called
// before Run.
func (c *Conn) LimitResponses(bytes int) {
	c.limiter = rate.NewLimiter(rate.Limit(bytes), max(bytes, MaxBytes))
}

// AvailableResponseBytes returns the maximum number of bytes for an optional part of a response at the moment.
// Half of the burst that LimitResponses allows is reserved for other responses. Without a limit it
// returns MaxBytes.
func (c *Conn) AvailableResponseBytes() int {
	if c.limiter == nil {
		return MaxBytes
	}
	return max(int(c.limiter.Tokens())-c.limiter.Burst()/2, 0)
}

// SentBytes returns the number of bytes passed to the socket so far, including IPv4 and UDP headers
// and failed sends.
func (c *Conn) SentBytes() int64 { return c.sent.Load() }

// Close closes the port; Run then returns nil.
func (c *Conn) Close() error { return c.udp.Close() }

// Run receives and handles messages until ctx is done or the connection is closed.
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
			c.handleMessage(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// handleMessage decodes and handles one message.
func (c *Conn) handleMessage(data []byte, from netip.AddrPort) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		c.rejects.Warn().Str("event", "datagram_rejected").Stringer("from", from).Err(err).Send()
		return
	}
	if m.Method == "" {
		c.handleResponse(m, from)
		return
	}
	result, err := c.callHandler(&m)
	if err != nil && !c.loggedUnknownMethod(m.Method) {
		c.rejects.Warn().Str("event", "datagram_rejected").Stringer("from", from).Str("method", m.Method).AnErr("error", err).Send()
	}
	if m.ID != nil {
		c.respond(*m.ID, result, err, from)
	}
}

func (c *Conn) callHandler(m *message) (any, error) {
	h, ok := c.handlers[m.Method]
	if !ok {
		return nil, eris.Errorf("unknown method %q", m.Method)
	}
	if m.Params == nil {
		return nil, eris.New("message has no parameters")
	}
	return h(*m.Params)
}

// respond sends the response to a call: the result, or the error callErr. If the result can't
// be sent, for example because it is too long, it sends an error instead, because the caller
// would conclude from a missing response that the peer has failed.
func (c *Conn) respond(id jsonrpc2.ID, result any, callErr error, to netip.AddrPort) {
	resp := jsonrpc2.Response{ID: id}
	if callErr == nil {
		callErr = resp.SetResult(result)
	}
	if callErr == nil {
		callErr = c.sendResponse(&resp, to)
	}
	if callErr == nil {
		return
	}
	err := c.sendResponse(&jsonrpc2.Response{ID: id, Error: &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: callErr.Error()}}, to)
	if err != nil {
		c.log.Debug().Str("event", "datagram_unsent").Stringer("to", to).AnErr("error", err).Send()
	}
}

func (c *Conn) sendResponse(resp *jsonrpc2.Response, to netip.AddrPort) error {
	data, err := json.Marshal(resp)
	if err != nil {
		return eris.Wrap(err, "encode a response")
	}
	if resp.Error == nil && c.limiter != nil && !c.limiter.AllowN(time.Now(), len(data)) {
		return ErrBusy
	}
	return c.write(data, to)
}

// handleResponse passes a response to the call in flight that it belongs to. It ignores late
// responses and responses from an address other than the one called.
func (c *Conn) handleResponse(m message, from netip.AddrPort) {
	if m.ID == nil {
		return
	}
	c.mu.Lock()
	pendingCall := c.pending[m.ID.Num]
	c.mu.Unlock()
	if pendingCall == nil || pendingCall.to != from {
		return
	}
	select {
	case pendingCall.response <- m:
	default: // duplicate response
	}
}

func (c *Conn) write(data []byte, to netip.AddrPort) error {
	if len(data) > MaxBytes {
		return eris.Errorf("message of %d bytes is too long", len(data))
	}
	c.sent.Add(int64(len(data) + headerBytes))
	_, err := c.udp.WriteToUDPAddrPort(data, to)
	return err
}

// Notify sends a notification to each peer and returns the total number of bytes, including
// headers and messages that could not be sent. Errors are logged; it returns 0 if the message
// can't be encoded.
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
	if len(data) > MaxBytes {
		c.logTooLong(method, len(data), len(peers))
		return len(peers) * (len(data) + headerBytes)
	}
	for _, peer := range peers {
		if err := c.write(data, peer); err != nil {
			c.log.Debug().Str("event", "datagram_unsent").Stringer("to", peer).Err(err).Send()
		}
	}
	return len(peers) * (len(data) + headerBytes)
}

// Call calls a method of a peer and decodes the response into result. Without a response it
// fails when ctx ends; the peer may nevertheless have handled the call.
func (c *Conn) Call(ctx context.Context, peer netip.AddrPort, method string, params, result any) error {
	id, pendingCall := c.register(peer)
	defer c.unregister(id)
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
		return eris.Wrapf(ctx.Err(), "wait for the response of %s", method)
	case m := <-pendingCall.response:
		return decodeResponse(&m, method, result)
	}
}

func decodeResponse(m *message, method string, result any) error {
	if m.Error != nil {
		return eris.Wrapf(m.Error, "call %s", method)
	}
	if m.Result == nil {
		return eris.Errorf("response of %s has no result", method)
	}
	return eris.Wrapf(json.Unmarshal(*m.Result, result), "decode the response of %s", method)
}

// register assigns a request ID to a new call.
func (c *Conn) register(peer netip.AddrPort) (uint64, *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextID == 0 {
		// Starting from the clock avoids accepting responses to calls that an earlier
		// process made from this address.
		c.nextID = uint64(time.Now().UnixNano())
	}
	c.nextID++
	pendingCall := &call{to: peer, response: make(chan message, 1)}
	c.pending[c.nextID] = pendingCall
	return c.nextID, pendingCall
}

func (c *Conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
