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
	"github.com/cherryward/cherryward/internal/intervals"
)

// bytesPerSecond returns the bytes per second that a node sends to the other nodes, in three
// failure domains, while it has requests at all of the engines and its load changes continuously.
func bytesPerSecond(t *testing.T, nodes, engines int) int {
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
		e := newTestExchange(t, "n0", "d0", &leads)
		e.config.Members = func() []*fleet.Member {
			e.RequestReport()
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
		bytes = e.config.Conn.(*datagram.Conn).SentBytes()
	})
	return int(bytes / int64(lasts/time.Second))
}

// TestSendRateIsBounded checks that a node can't saturate its link or those of its receivers,
// whatever its load.
func TestSendRateIsBounded(t *testing.T) {
	const slack = 1.15 // the last message counts in full, but the pause after it falls outside the measured time
	for _, tc := range []struct{ nodes, engines int }{{7, 9}, {12, 117}, {85, 8}, {85, 37}, {85, 117}, {300, 400}, {1000, 1200}} {
		bytes := bytesPerSecond(t, tc.nodes, tc.engines)
		t.Logf("%d nodes, %d engines in use: %d bytes/s", tc.nodes, tc.engines, bytes)
		test.LessEq(t, slack*intervals.MinMessageRate, float64(bytes), test.Sprint(tc))
		test.Positive(t, bytes)
	}
}

// TestFitLoadsKeepsBusiestEndpoints checks that the endpoints with the fewest requests are left
// out of a message that would be too long.
func TestFitLoadsKeepsBusiestEndpoints(t *testing.T) {
	var loads []taggedLoad
	for i := range 400 {
		loads = append(loads, taggedLoad{Load{Endpoint: fmt.Sprint("e", i), Running: i}, StartTag(i)})
	}
	longest := func(peers int) int { return intervals.MaxMessageSize(peers, 0, sendTime) }
	all, _ := fitLoads(slices.Clone(loads), longest(1))
	test.Len(t, 400, all)
	maxBytes := longest(27)
	kept, starts := fitLoads(slices.Clone(loads), maxBytes)
	test.Between(t, maxBytes/loadBytes-1, len(kept), maxBytes/loadBytes)
	for i, l := range kept {
		test.GreaterEq(t, 400-len(kept), l.Running)
		test.Eq(t, StartTag(l.Running), starts[i])
	}
	one, _ := fitLoads(loads, longest(100_000))
	test.Len(t, 1, one)
}
