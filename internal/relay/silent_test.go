package relay

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// TestSilentNodesAreAskedLast checks that a node that didn't respond isn't asked for a while if another is there.
func TestSilentNodesAreAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
		both := []netip.AddrPort{a, b}
		var s silentNodes
		test.Eq(t, both, s.without(both))
		s.record(a, false)
		test.Eq(t, []netip.AddrPort{b}, s.without(both))
		s.record(b, false)
		test.Eq(t, both, s.without(both))
		s.record(b, true)
		test.Eq(t, []netip.AddrPort{b}, s.without(both))
		time.Sleep(silentFor)
		test.Eq(t, both, s.without(both))
	})
}
