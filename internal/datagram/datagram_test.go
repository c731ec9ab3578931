package datagram_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
)

// payload is the parameters and the result of the test methods.
type payload struct {
	Text string `json:"text"`
}

// open returns a running connection and its address. Its method echo returns the parameters,
// fail returns an error and long returns a result longer than MaxBytes.
func open(t *testing.T) (*datagram.Conn, netip.AddrPort) {
	t.Helper()
	c, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	c.Handle("echo", func(params json.RawMessage) (any, error) {
		var p payload
		err := json.Unmarshal(params, &p)
		return p, err
	})
	c.Handle("fail", func(json.RawMessage) (any, error) { return nil, errors.New("no such thing") })
	c.Handle("long", func(json.RawMessage) (any, error) { return payload{strings.Repeat("x", datagram.MaxBytes)}, nil })
	done := make(chan error, 1)
	go func() { done <- c.Run(t.Context()) }()
	t.Cleanup(func() {
		c.Close()
		must.NoError(t, <-done)
	})
	return c, netip.MustParseAddrPort(c.Addr())
}

func TestCall(t *testing.T) {
	a, _ := open(t)
	_, b := open(t)
	var got payload
	must.NoError(t, a.Call(t.Context(), b, "echo", payload{"hello"}, &got))
	test.Eq(t, "hello", got.Text)
	test.ErrorContains(t, a.Call(t.Context(), b, "fail", payload{}, &got), "no such thing")
	test.ErrorContains(t, a.Call(t.Context(), b, "other", payload{}, &got), "unknown method")
	test.ErrorContains(t, a.Call(t.Context(), b, "echo", payload{strings.Repeat("x", datagram.MaxBytes)}, &got), "too long")
}

// TestResponseTooLong verifies that a caller receives an error for a response that is too
// long, instead of waiting until its context ends.
func TestResponseTooLong(t *testing.T) {
	a, _ := open(t)
	_, b := open(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	test.ErrorContains(t, a.Call(ctx, b, "long", payload{}, &payload{}), "too long")
}

// TestCallWithoutResponse verifies that calls fail at the latest when their context ends: a call
// whose peer responds with an error, and one whose peer does not respond.
func TestCallWithoutResponse(t *testing.T) {
	a, _ := open(t)
	_, b := open(t)
	for _, to := range []netip.AddrPort{b, netip.MustParseAddrPort("127.0.0.1:9")} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		err := a.Call(ctx, to, "long", payload{}, &payload{})
		cancel()
		test.Error(t, err)
	}
}

// TestForgedResponses verifies that responses from an address other than the one called and
// malformed messages are ignored.
func TestForgedResponses(t *testing.T) {
	a, addr := open(t)
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	defer silent.Close()
	other, err := net.Dial("udp", addr.String())
	must.NoError(t, err)
	defer other.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		failed <- a.Call(ctx, netip.MustParseAddrPort(silent.LocalAddr().String()), "echo", payload{}, &payload{})
	}()
	buffer := make([]byte, datagram.MaxBytes)
	n, _, err := silent.ReadFrom(buffer)
	must.NoError(t, err)
	var sent struct {
		ID json.Number `json:"id"`
	}
	must.NoError(t, json.Unmarshal(buffer[:n], &sent))
	for _, text := range []string{"", "{", "[]", `{"id":` + sent.ID.String() + `,"result":{"text":"forged"}}`, `{"result":{}}`, `{"method":"echo"}`} {
		_, err := other.Write([]byte(text))
		must.NoError(t, err)
	}
	test.Error(t, <-failed)
	_, b := open(t)
	var got payload
	must.NoError(t, a.Call(t.Context(), b, "echo", payload{"still there"}, &got))
	test.Eq(t, "still there", got.Text)
}

func TestNotify(t *testing.T) {
	a, _ := open(t)
	b, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	received := make(chan string, 1)
	b.Handle("say", func(params json.RawMessage) (any, error) {
		var p payload
		err := json.Unmarshal(params, &p)
		received <- p.Text
		return nil, err
	})
	go func() { _ = b.Run(t.Context()) }()
	defer b.Close()
	a.Notify([]netip.AddrPort{netip.MustParseAddrPort(b.Addr())}, "say", payload{"hello"})
	test.Eq(t, "hello", <-received)
}

// TestResponseRateLimit verifies that a caller receives an error when the rate limit of
// responses is exceeded, and that AvailableResponseBytes leaves half of the burst to other responses.
func TestResponseRateLimit(t *testing.T) {
	a, _ := open(t)
	b, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	test.Eq(t, datagram.MaxBytes, b.AvailableResponseBytes(), test.Sprint("no rate limit is set"))
	b.LimitResponses(1) // plus one message of maximum length
	b.Handle("long", func(json.RawMessage) (any, error) {
		return payload{strings.Repeat("x", datagram.MaxBytes*2/3)}, nil
	})
	go func() { _ = b.Run(t.Context()) }()
	t.Cleanup(func() { b.Close() })
	test.Eq(t, datagram.MaxBytes/2, b.AvailableResponseBytes())
	addr := netip.MustParseAddrPort(b.Addr())
	var got payload
	must.NoError(t, a.Call(t.Context(), addr, "long", payload{}, &got))
	test.Eq(t, 0, b.AvailableResponseBytes())
	sent := b.SentBytes()
	test.Greater(t, datagram.MaxBytes*2/3, sent)
	test.ErrorContains(t, a.Call(t.Context(), addr, "long", payload{}, &got), "answers of this second are given")
	test.Less(t, sent+500, b.SentBytes())
}
