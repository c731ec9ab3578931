package datagram

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestTooLongNotificationIsLogged checks that a notification that can't be sent leaves a log line, one for many.
func TestTooLongNotificationIsLogged(t *testing.T) {
	var log bytes.Buffer
	c, err := Listen("127.0.0.1:0", zerolog.New(&log))
	must.NoError(t, err)
	defer c.Close()
	peers := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}
	for range 3 {
		c.Notify(peers, "m", strings.Repeat("x", MaxBytes))
	}
	test.Eq(t, 1, strings.Count(log.String(), `"event":"datagram_too_long","method":"m"`))
}
