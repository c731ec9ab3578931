package peers

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/internal/result"
)

// handlerFunc serves calls of a method with undecoded parameters.
type handlerFunc func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Server serves calls of other nodes. All methods must be added before Serve.
type Server struct {
	self    Identity
	key     []byte
	methods map[string]handlerFunc
	traffic *Traffic

	mu       sync.Mutex
	listener net.Listener
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
}

// NewServer returns a server without methods. All nodes must have the same key.
func NewServer(key []byte, traffic *Traffic) *Server {
	return &Server{
		key:     key,
		methods: make(map[string]handlerFunc),
		traffic: traffic,
		conns:   make(map[*jsonrpc2.Conn]struct{}),
	}
}

// SetIdentity sets this node's identity. It must be called before Serve.
func (s *Server) SetIdentity(self Identity) { s.self = self }

// Handle adds a method. An error with a result code is returned to the calling node
// with that code; any other error becomes result.Internal.
func Handle[Req, Resp any](s *Server, method string, serve func(ctx context.Context, from Identity, req *Req) (*Resp, error)) {
	s.methods[method] = func(ctx context.Context, from Identity, params json.RawMessage) (any, error) {
		req := new(Req)
		if err := json.Unmarshal(params, req); err != nil {
			return nil, result.Wrap(err, result.MalformedBody)
		}
		return serve(ctx, from, req)
	}
}

// Listen opens the listener and returns its address. If config is nil, it listens
// without TLS.
func (s *Server) Listen(address string, config *tls.Config) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	s.listener = l
	return l.Addr(), nil
}

// Serve accepts connections until Close. If accepting fails, for example because the
// process is out of file descriptors, Serve retries for about 15 s before it returns the
// error.
func (s *Server) Serve() error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = acceptMinPause
	pause.MaxInterval = acceptMaxPause
	failures := 0
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			failures = 0
			pause.Reset()
			s.serveConn(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case failures >= maxAcceptFailures:
			return eris.Wrap(err, "accept peer")
		default:
			failures++
			time.Sleep(pause.NextBackOff())
		}
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	err := s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	return err
}

// serveConn serves a connection. It closes the connection if the handshake is not
// complete within handshakeTimeout.
func (s *Server) serveConn(conn net.Conn) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		_ = conn.Close()
		return
	}
	counted := newCountedConn(conn, s.traffic)
	session := &session{server: s, conn: counted}
	stream := jsonrpc2.NewBufferedStream(counted, jsonrpc2.VarintObjectCodec{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	c := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(session), silentLogger)
	s.conns[c] = struct{}{}
	go s.removeOnDisconnect(c)
}

func (s *Server) removeOnDisconnect(c *jsonrpc2.Conn) {
	<-c.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// session is the server side of one connection.
type session struct {
	server *Server
	conn   *countedConn

	mu            sync.Mutex
	hello         *transcript
	authenticated atomic.Bool // the client has proved that it has the shared key
}

var _ jsonrpc2.Handler = (*session)(nil)

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnDisconnect(ctx, conn, cancel)
	reply, err := s.serve(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, toWire(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, reply)
}

// cancelOnDisconnect cancels a call if its caller disconnects.
func cancelOnDisconnect(ctx context.Context, conn *jsonrpc2.Conn, cancel context.CancelFunc) {
	select {
	case <-conn.DisconnectNotify():
		cancel()
	case <-ctx.Done():
	}
}

func (s *session) serve(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	switch req.Method {
	case methodHello:
		return s.serveHello(params)
	case methodProve:
		return s.serveProve(params)
	}
	if !s.authenticated.Load() {
		_ = s.conn.Close()
		return nil, result.New(result.PeerKey)
	}
	serve, ok := s.server.methods[req.Method]
	if !ok {
		return nil, result.New(result.PeerMethod, result.WithField(req.Method))
	}
	return serve(ctx, s.hello.client, params)
}

func (s *session) serveHello(params json.RawMessage) (any, error) {
	var req helloRequest
	if err := json.Unmarshal(params, &req); err != nil || len(req.Nonce) != nonceBytes {
		return nil, result.New(result.PeerKey)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hello != nil {
		return nil, result.New(result.PeerKey)
	}
	s.hello = &transcript{client: req.From, server: s.server.self, clientNonce: req.Nonce, serverNonce: newNonce()}
	return &helloResponse{From: s.server.self, Nonce: s.hello.serverNonce, Proof: s.hello.proof(s.server.key, roleServer)}, nil
}

func (s *session) serveProve(params json.RawMessage) (any, error) {
	var req proveRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, result.New(result.PeerKey)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hello == nil || !s.hello.verify(s.server.key, roleClient, req.Proof) {
		_ = s.conn.Close()
		return nil, result.New(result.PeerKey)
	}
	if err := s.conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	s.conn.unlimited.Store(true)
	s.authenticated.Store(true)
	return &proveResponse{}, nil
}
