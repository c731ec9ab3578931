package origin

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestHomesOfAStreamShareIt checks that a node asks all other homes of the streams of which it is one, however
// many failure domains there are.
func TestHomesOfAStreamShareIt(t *testing.T) {
	const nodes, streams = 60, 200
	for _, domainCount := range []int{1, 2, 3, 5} {
		var peers []Peer
		for i := range nodes {
			p := newPeer(i)
			p.Domain = fmt.Sprint("d", i%domainCount)
			peers = append(peers, p)
		}
		h := newHomes(peers)
		sharing := make(map[netip.AddrPort][]netip.AddrPort)
		for _, p := range peers {
			sharing[p.Addr] = h.sharing(p.Addr)
			test.False(t, slices.Contains(sharing[p.Addr], p.Addr))
		}
		for i := range streams {
			list := h.of(KeyOf("yard", fmt.Sprint("r", i)), copies)
			must.Len(t, copies, list)
			for _, a := range list {
				for _, b := range list {
					test.Eq(t, a != b, slices.Contains(sharing[a], b), test.Sprint(domainCount, " failure domains"))
				}
			}
		}
	}
}
