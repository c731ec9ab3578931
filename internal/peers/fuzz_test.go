package peers

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/internal/result"
)

// newCountingSession returns a session with a method that counts its calls.
func newCountingSession() (*session, *int) {
	calls := 0
	s := newServer()
	Handle(s, "echo", func(_ context.Context, from Identity, req *echoRequest) (*echoResponse, error) {
		calls++
		return &echoResponse{Text: req.Text, From: from.ID}, nil
	})
	conn, _ := net.Pipe() // the other end is not read
	return &session{server: s, conn: newCountedConn(conn, &Traffic{})}, &calls
}

// authenticate completes the handshake of a session.
func authenticate(t *testing.T, s *session) {
	hello := helloRequest{From: client, Nonce: newNonce()}
	_, err := s.serve(t.Context(), request(t, methodHello, hello))
	must.NoError(t, err)
	_, err = s.serve(t.Context(), request(t, methodProve, proveRequest{Proof: s.hello.proof(key, roleClient)}))
	must.NoError(t, err)
}

func request(t *testing.T, method string, params any) *jsonrpc2.Request {
	req := &jsonrpc2.Request{Method: method}
	must.NoError(t, req.SetParams(params))
	return req
}

// FuzzSession sends two messages with arbitrary methods and parameters to a session.
// Before authentication only the handshake may be served. After it the method must be
// called if and only if the parameters can be decoded, and no message may change the session's identity or
// repeat the handshake.
func FuzzSession(f *testing.F) {
	hello, _ := json.Marshal(helloRequest{From: client, Nonce: newNonce()})
	f.Add(methodHello, hello, methodProve, []byte(`{"proof":"AAAA"}`))
	f.Add("echo", []byte(`{"Text":"a"}`), methodProve, []byte(`{}`))
	f.Add(methodProve, []byte(`null`), "echo", []byte(nil))
	f.Add("echo", []byte(`[`), "echo", []byte(`{"Text":5}`))
	f.Add("", []byte(`{"Text":"\ud800"}`), "\xff", []byte("\x00"))
	f.Fuzz(func(t *testing.T, first string, firstParams []byte, second string, secondParams []byte) {
		messages := []*jsonrpc2.Request{message(first, firstParams), message(second, secondParams)}
		unauthenticated, calls := newCountingSession()
		for _, m := range messages {
			_, err := unauthenticated.serve(t.Context(), m)
			must.True(t, err == nil || result.Is(err, result.PeerKey), must.Sprint(err))
		}
		must.False(t, unauthenticated.authenticated.Load())
		must.False(t, unauthenticated.conn.unlimited.Load())
		must.Eq(t, 0, *calls)

		peer, calls := newCountingSession()
		authenticate(t, peer)
		for _, m := range messages {
			before := *calls
			reply, err := peer.serve(t.Context(), m)
			var want echoRequest
			valid := m.Method == "echo" && m.Params != nil && json.Unmarshal(*m.Params, &want) == nil
			must.Eq(t, valid, *calls > before)
			if valid {
				must.NoError(t, err)
				must.Eq(t, any(&echoResponse{Text: want.Text, From: client.ID}), reply)
			} else {
				must.Error(t, err)
			}
			must.Eq(t, client, peer.hello.client)
		}
	})
}

// message returns a request, without parameters if params is empty.
func message(method string, params []byte) *jsonrpc2.Request {
	req := &jsonrpc2.Request{Method: method}
	if len(params) > 0 {
		req.Params = (*json.RawMessage)(&params)
	}
	return req
}
