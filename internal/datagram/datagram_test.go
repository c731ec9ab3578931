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

type words struct {
	Text string `json:"text"`
}

// open opens a connection whose method echo returns its parameters, and whose other
// methods fail or answer too long.
func open(t *testing.T) (*datagram.Conn, netip.AddrPort) {
	t.Helper()
	c, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	c.Handle("echo", func(params json.RawMessage) (any, error) {
		var w words
		err := json.Unmarshal(params, &w)
		return w, err
	})
	c.Handle("fail", func(json.RawMessage) (any, error) { return nil, errors.New("no such thing") })
	c.Handle("long", func(json.RawMessage) (any, error) { return words{strings.Repeat("x", datagram.MaxBytes)}, nil })
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
	var got words
	must.NoError(t, a.Call(t.Context(), b, "echo", words{"hello"}, &got))
	test.Eq(t, "hello", got.Text)
	test.ErrorContains(t, a.Call(t.Context(), b, "fail", words{}, &got), "no such thing")
	test.ErrorContains(t, a.Call(t.Context(), b, "other", words{}, &got), "unknown method")
	test.ErrorContains(t, a.Call(t.Context(), b, "echo", words{strings.Repeat("x", datagram.MaxBytes)}, &got), "too long")
}

// TestAnswerTooLong tells the caller at once, which would else wait for its whole time.
func TestAnswerTooLong(t *testing.T) {
	a, _ := open(t)
	_, b := open(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	test.ErrorContains(t, a.Call(ctx, b, "long", words{}, &words{}), "too long")
}

// TestCallWithoutAnswer ends with its context.
func TestCallWithoutAnswer(t *testing.T) {
	a, _ := open(t)
	_, b := open(t)
	for _, to := range []netip.AddrPort{b, netip.MustParseAddrPort("127.0.0.1:9")} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		err := a.Call(ctx, to, "long", words{}, &words{})
		cancel()
		test.Error(t, err)
	}
}

// TestAnswersOfOthers takes no answer from an address that was not asked, nor noise.
func TestAnswersOfOthers(t *testing.T) {
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
		failed <- a.Call(ctx, netip.MustParseAddrPort(silent.LocalAddr().String()), "echo", words{}, &words{})
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
	var got words
	must.NoError(t, a.Call(t.Context(), b, "echo", words{"still there"}, &got))
	test.Eq(t, "still there", got.Text)
}

func TestNotify(t *testing.T) {
	a, _ := open(t)
	b, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	heard := make(chan string, 1)
	b.Handle("say", func(params json.RawMessage) (any, error) {
		var w words
		err := json.Unmarshal(params, &w)
		heard <- w.Text
		return nil, err
	})
	go func() { _ = b.Run(t.Context()) }()
	defer b.Close()
	a.Notify([]netip.AddrPort{netip.MustParseAddrPort(b.Addr())}, "say", words{"hello"})
	test.Eq(t, "hello", <-heard)
}

// TestAnswersAreBounded tells a caller at once that there is no room for its answer, and keeps
// half of the room from those that ask what there is to spare.
func TestAnswersAreBounded(t *testing.T) {
	a, _ := open(t)
	b, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	test.Eq(t, datagram.MaxBytes, b.Spare(), test.Sprint("it is not bounded"))
	b.Bound(1) // and one longest message
	b.Handle("long", func(json.RawMessage) (any, error) {
		return words{strings.Repeat("x", datagram.MaxBytes*2/3)}, nil
	})
	go func() { _ = b.Run(t.Context()) }()
	t.Cleanup(func() { b.Close() })
	test.Eq(t, datagram.MaxBytes/2, b.Spare())
	addr := netip.MustParseAddrPort(b.Addr())
	var got words
	must.NoError(t, a.Call(t.Context(), addr, "long", words{}, &got))
	test.Eq(t, 0, b.Spare())
	sent := b.Sent()
	test.Greater(t, datagram.MaxBytes*2/3, sent)
	test.ErrorContains(t, a.Call(t.Context(), addr, "long", words{}, &got), "answers of this second")
	test.Less(t, sent+500, b.Sent())
}
