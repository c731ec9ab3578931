package datagram

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestUnknownMethodIsLoggedOnce checks that messages of a newer build, which may arrive hundreds of
// times a second, cause one log line for each method, that a sender of many different methods can't
// exceed the limit, and that errors of known methods are still logged each time.
func TestUnknownMethodIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	c, err := Listen("127.0.0.1:0", zerolog.New(&lines))
	must.NoError(t, err)
	defer c.Close()
	c.Handle("known", nil)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	logged := func() int { return bytes.Count(lines.Bytes(), []byte("datagram_rejected")) }
	for range 5 {
		c.handleMessage([]byte(`{"method":"node.new","params":{}}`), from)
	}
	test.Eq(t, 1, logged())
	for range 2 {
		c.handleMessage([]byte(`{"method":"known"}`), from)
	}
	test.Eq(t, 3, logged())
	for i := range 3 * maxUnknownMethods {
		c.handleMessage(fmt.Appendf(nil, `{"method":"m%d","params":{}}`, i), from)
	}
	test.Eq(t, 2+maxUnknownMethods, logged())
}
