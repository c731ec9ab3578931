package peers

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/internal/result"
)

type echoRequest struct{ Text string }
type echoResponse struct{ Text, From string }

var (
	key    = []byte("0123456789abcdef")
	server = Identity{ID: "n1", Incarnation: 7}
	client = Identity{ID: "n2", Incarnation: 9}
)

func newServer() *Server {
	s := NewServer(key, &Traffic{})
	s.SetIdentity(server)
	return s
}

func startServer(t *testing.T) string {
	t.Helper()
	s := newServer()
	Handle(s, "echo", func(_ context.Context, from Identity, req *echoRequest) (*echoResponse, error) {
		if req.Text == "" {
			return nil, result.New(result.Shed, result.WithField("text"), result.WithRetryAfter(time.Second))
		}
		return &echoResponse{Text: req.Text, From: from.ID}, nil
	})
	addr, err := s.Listen("127.0.0.1:0", nil)
	must.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return addr.String()
}

func TestCall(t *testing.T) {
	addr := startServer(t)
	pool := NewPool(client, key, nil, &Traffic{})
	resp, err := Call[echoRequest, echoResponse](t.Context(), pool, addr, "echo", &echoRequest{Text: "hi"})
	must.NoError(t, err)
	must.Eq(t, &echoResponse{Text: "hi", From: "n2"}, resp)
	peer, err := pool.Identity(t.Context(), addr)
	must.NoError(t, err)
	must.Eq(t, server, peer)
}

func TestCallCarriesResultCodes(t *testing.T) {
	addr := startServer(t)
	pool := NewPool(client, key, nil, &Traffic{})
	_, err := Call[echoRequest, echoResponse](t.Context(), pool, addr, "echo", &echoRequest{})
	e := result.From(err)
	must.Eq(t, result.Shed, e.Code)
	must.Eq(t, result.NotRun, e.RunState)
	must.Eq(t, "text", e.Field)
	must.Eq(t, time.Second, e.RetryAfter)
	_, err = Call[echoRequest, echoResponse](t.Context(), pool, addr, "absent", &echoRequest{})
	must.Eq(t, result.PeerMethod, result.From(err).Code)
}

func TestHandshakeRejectsAnotherKey(t *testing.T) {
	addr := startServer(t)
	pool := NewPool(client, []byte("another key here"), nil, &Traffic{})
	_, err := Call[echoRequest, echoResponse](t.Context(), pool, addr, "echo", &echoRequest{Text: "hi"})
	must.True(t, IsNotSent(err))
	must.Eq(t, result.PeerKey, result.From(err).Code)
}

// TestServerRejectsMissingProof checks that a client is rejected if it skips the proof or
// sends back the server's own proof.
func TestServerRejectsMissingProof(t *testing.T) {
	addr := startServer(t)
	dial := func() *jsonrpc2.Conn {
		raw, err := net.Dial("tcp", addr)
		must.NoError(t, err)
		return jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), rejectCalls{}, silentLogger)
	}
	conn := dial()
	must.Error(t, conn.Call(t.Context(), "echo", echoRequest{Text: "hi"}, &echoResponse{}))

	conn = dial()
	var hello helloResponse
	must.NoError(t, conn.Call(t.Context(), methodHello, helloRequest{From: client, Nonce: newNonce()}, &hello))
	must.Error(t, conn.Call(t.Context(), methodProve, proveRequest{Proof: hello.Proof}, &proveResponse{}))
}

func TestConnectionIsClosedAtPreAuthLimit(t *testing.T) {
	raw, err := net.Dial("tcp", startServer(t))
	must.NoError(t, err)
	data := make([]byte, 2*preAuthBytes)
	_, _ = raw.Write(append([]byte{0xff, 0xff, 0xff, 0x7f}, data...))
	must.NoError(t, raw.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = raw.Read(make([]byte, 1))
	var timeout net.Error
	must.Error(t, err)
	must.False(t, asTimeout(err, &timeout))
}

func asTimeout(err error, to *net.Error) bool {
	e, ok := err.(net.Error)
	if ok {
		*to = e
	}
	return ok && e.Timeout()
}

func TestPoolDialsAgainAfterARestart(t *testing.T) {
	s := newServer()
	Handle(s, "echo", func(_ context.Context, _ Identity, req *echoRequest) (*echoResponse, error) {
		return &echoResponse{Text: req.Text}, nil
	})
	addr, err := s.Listen("127.0.0.1:0", nil)
	must.NoError(t, err)
	go func() { _ = s.Serve() }()
	pool := NewPool(client, key, nil, &Traffic{})
	call := func() error {
		_, err := Call[echoRequest, echoResponse](t.Context(), pool, addr.String(), "echo", &echoRequest{Text: "a"})
		return err
	}
	must.NoError(t, call())
	must.NoError(t, s.Close())
	<-pool.slots[addr.String()].peerConn.conn.DisconnectNotify()
	must.True(t, IsNotSent(call()))

	restarted := newServer()
	Handle(restarted, "echo", func(_ context.Context, _ Identity, req *echoRequest) (*echoResponse, error) {
		return &echoResponse{Text: req.Text}, nil
	})
	_, err = restarted.Listen(addr.String(), nil)
	must.NoError(t, err)
	go func() { _ = restarted.Serve() }()
	t.Cleanup(func() { _ = restarted.Close() })
	must.NoError(t, call())
}

func FuzzHello(f *testing.F) {
	valid, _ := json.Marshal(helloRequest{From: client, Nonce: newNonce()})
	f.Add(valid)
	f.Add([]byte(`{"nonce":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &session{server: newServer()}
		if _, err := s.serveHello(data); err == nil && s.authenticated.Load() {
			t.Fatal("session is authenticated after a hello without a proof")
		}
	})
}
