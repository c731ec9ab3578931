package datagram

import (
	"encoding/json"
	"errors"
	"net/netip"
	"strconv"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// FuzzHandleMessage verifies that, for any data received, handlers are called only with valid
// parameters, and a call receives exactly one response, from the address that was called.
func FuzzHandleMessage(f *testing.F) {
	for _, seed := range []string{
		`{"method":"echo","params":{"a":1},"id":1}`, `{"method":"fail","params":[]}`, `{"method":"none","params":1,"id":"x"}`, `{"method":"echo","params":null,"id":1}`,
		`{"id":1,"result":{}}`, `{"id":1,"error":{"code":1,"message":"m"}}`, `{"id":1.5}`, `{"id":null}`, `{"id":{}}`, `{"method":7}`, "null", "[]", "", "\xff",
		`{"id":18446744073709551615,"result":1}`, `{"id":1,"error":{}}`, `{"id":1,"error":7}`, `{"method":"echo","params":1,"id":-1}`,
	} {
		f.Add([]byte(seed))
	}
	c, err := Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(f, err)
	f.Cleanup(func() { test.NoError(f, c.Close()) })
	c.Handle("echo", func(params json.RawMessage) (any, error) {
		if !json.Valid(params) {
			return nil, errors.New("no parameters")
		}
		return params, nil
	})
	c.Handle("fail", func(json.RawMessage) (any, error) { return nil, errors.New("no such thing") })
	self := netip.MustParseAddrPort(c.Addr())
	other := netip.MustParseAddrPort("127.0.0.1:9")
	f.Fuzz(func(t *testing.T, data []byte) {
		id, pendingCall := c.register(self)
		defer c.unregister(id)
		c.handleMessage(data, self)
		response := []byte(`{"id":` + strconv.FormatUint(id, 10) + `,"result":"first"}`)
		c.handleMessage(response, other)
		test.Eq(t, 0, len(pendingCall.response), test.Sprint("accepted a response from another address"))
		c.handleMessage(response, self)
		c.handleMessage(data, self)
		c.handleMessage(response, self)
		must.Eq(t, 1, len(pendingCall.response))
		m := <-pendingCall.response
		var result string
		must.NoError(t, decodeResponse(&m, "echo", &result))
		test.Eq(t, "first", result)
	})
}
