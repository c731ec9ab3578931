package peerload

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/pace"
)

// bytesTold returns the bytes that a node sends in a second to the other nodes, in three failure
// domains, where its requests run at so many engines and its load changes all the time.
func bytesTold(t *testing.T, nodes, engines int) int {
	t.Helper()
	var bytes int64
	const lasts = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(zerolog.Nop())
		for i := range engines {
			f.Update(&fleet.Endpoint{
				ID: fmt.Sprintf("i-%010d", i), Service: "s", Addr: "127.0.0.1:1", Domain: fmt.Sprint("d", i%3),
				Weights: []fleet.Weights{{Model: "m", Version: 1}},
			}, time.Now())
		}
		for _, m := range f.All() {
			m.Load.Begin(1000, 10_000)
		}
		var leads atomic.Bool
		leads.Store(true)
		e := listenAt(t, "n0", "d0", &leads)
		e.config.Members = func() []*fleet.Member {
			e.Kick()
			return f.All()
		}
		peers := []Peer{{Addr: e.config.Conn.Addr(), Domain: "d0"}}
		for i := 1; i < nodes; i++ {
			peers = append(peers, Peer{Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: fmt.Sprint("d", i%3)})
		}
		e.SetPeers(peers)
		ctx, cancel := context.WithTimeout(t.Context(), lasts)
		defer cancel()
		_ = e.Run(ctx)
		bytes = e.config.Conn.(*datagram.Conn).Sent()
	})
	return int(bytes / int64(lasts/time.Second))
}

// TestBytesToldAreBounded keeps a node from filling its link, and those of the nodes that hear
// it, whatever it has under way.
func TestBytesToldAreBounded(t *testing.T) {
	const slack = 1.15 // messages to all nodes that end the time, for which the pause comes after
	for _, tc := range []struct{ nodes, engines int }{{7, 9}, {12, 117}, {85, 8}, {85, 37}, {85, 117}, {300, 400}, {1000, 1200}} {
		told := bytesTold(t, tc.nodes, tc.engines)
		t.Logf("%d nodes, %d engines in use: %d bytes a second", tc.nodes, tc.engines, told)
		test.LessEq(t, slack*pace.MessageBytes, float64(told), test.Sprint(tc))
		test.Positive(t, told)
	}
}

// TestFitKeepsTheBusiest leaves out the endpoints with the fewest requests where a message would
// be too long.
func TestFitKeepsTheBusiest(t *testing.T) {
	var loads []datedLoad
	for i := range 400 {
		loads = append(loads, datedLoad{Load{Endpoint: fmt.Sprint("e", i), Running: i}, Start(i)})
	}
	longest := func(peers int) int { return pace.LongestMessage(peers, 0, toldWithin) }
	all, _ := fit(slices.Clone(loads), longest(1))
	test.Len(t, 400, all)
	most := longest(27)
	kept, starts := fit(slices.Clone(loads), most)
	test.Between(t, most/loadBytes-1, len(kept), most/loadBytes)
	for i, l := range kept {
		test.GreaterEq(t, 400-len(kept), l.Running)
		test.Eq(t, Start(l.Running), starts[i])
	}
	one, _ := fit(loads, longest(100_000))
	test.Len(t, 1, one)
}
