package datagram

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/loglimit"
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

// TestInvalidMessagesAreLoggedInBrief guards against a log that grows with what any process can send to the port.
func TestInvalidMessagesAreLoggedInBrief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // lines are limited by time
		var lines bytes.Buffer
		c, err := Listen("127.0.0.1:0", zerolog.New(&lines))
		must.NoError(t, err)
		defer c.Close()
		c.Handle("known", func(json.RawMessage) (any, error) { return nil, errors.New("invalid parameters") })
		from := netip.MustParseAddrPort("127.0.0.1:9")
		deep := strings.Repeat("[", MaxBytes/2) + strings.Repeat("]", MaxBytes/2)
		for range 1000 {
			for _, message := range []string{deep[:MaxBytes-1], `{"method":"known","params":` + deep[1<<10:len(deep)-1<<10] + `}`, `{"id":1e400,"method":"known"}`, `{"method":7}`} {
				c.handleMessage([]byte(message), from)
			}
		}
		test.Less(t, 16<<10, lines.Len())
		test.Eq(t, loglimit.Burst, bytes.Count(lines.Bytes(), []byte("datagram_rejected")))
	})
}
