package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/peerload"
)

// TestSlowEnginesAreCounted guards against a gauge that counts an engine twice, or leaves out those
// that only other nodes observe, and against own verdicts that are not reported.
func TestSlowEnginesAreCounted(t *testing.T) {
	n := &Node{fleet: fleet.New(zerolog.Nop()), peers: &peerload.Exchange{Table: peerload.NewTable()}, pace: &enginepace.Services{}}
	now := time.Now()
	for _, id := range []string{"own", "peer", "both", "none"} {
		n.fleet.Update(&fleet.Endpoint{ID: id, Service: "s", Addr: "10.0.0.1:1"}, now)
	}
	tracker := n.pace.ForName("s")
	at := now.Add(-5 * time.Second)
	streams := []*enginepace.Stream{tracker.Open(enginepace.Engine{ID: "own"}, &fleet.Load{}, at), tracker.Open(enginepace.Engine{ID: "both"}, &fleet.Load{}, at)}
	observe := func(count int, spacing time.Duration) {
		for range count {
			at = at.Add(spacing)
			for _, s := range streams {
				s.Observe(1, at)
				s.Wait(at)
			}
		}
	}
	observe(100, 25*time.Millisecond)
	observe(20, 100*time.Millisecond)
	observe(int(now.Sub(at)/(100*time.Millisecond)), 100*time.Millisecond)
	reported := n.slowEngines()
	test.Len(t, 2, reported)
	for _, s := range reported {
		test.Eq(t, 40, s.Tenths)
	}
	n.peers.Table.Record(peerload.Digest{Node: "n", Incarnation: 1, Seq: 1, Slow: []peerload.Slow{{Endpoint: "peer", Tenths: 20}, {Endpoint: "both", Tenths: 20}}}, now)
	test.Eq(t, 3, n.countSlow())
}
