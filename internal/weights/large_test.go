package weights

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// largeFleet is the number of engines of a large fleet.
const largeFleet = 112

func engineIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	return ids
}

// TestLargeFleet updates a large fleet within the operators' time limit of 15 s, with a fifth of it
// loading concurrently.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(engineIDs(largeFleet)...)
		stop := sim.startNode(t, "n1")
		time.Sleep(time.Second)
		sim.requestVersion(2)
		time.Sleep(13 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, largeFleet), sim.versions())
		test.Eq(t, largeFleet/loadDivisor, sim.engines.maxLoading)
		stop()
	})
}

// TestUnansweredOrders updates a large fleet within the operators' time limit of 15 s, less a margin of
// a seventh, although the first order to every second engine gets no response.
func TestUnansweredOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(engineIDs(largeFleet)...)
		for i, id := range sim.ids {
			sim.engines.silent[id] = i % 2
		}
		stop := sim.startNode(t, "n1")
		time.Sleep(time.Second)
		sim.requestVersion(2)
		time.Sleep(12800 * time.Millisecond)
		test.Eq(t, slices.Repeat([]int64{2}, largeFleet), sim.versions())
		test.Eq(t, largeFleet/loadDivisor, sim.engines.maxLoading)
		stop()
	})
}

// TestStandbys checks that only the standbys read the claim log while a node holds the claim, and that
// other nodes take over if there are no standbys left.
func TestStandbys(t *testing.T) {
	for name, tc := range map[string]struct {
		standby  []string
		maxReads int // maximum number of log reads by all nodes in 8 s
	}{
		"two standbys":     {[]string{"n0", "n1"}, 120},
		"no standbys left": {[]string{"gone"}, 400},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(engineIDs(largeFleet)...)
				sim.standby = tc.standby
				var stops []func()
				for i := range 30 {
					stops = append(stops, sim.startNode(t, fmt.Sprint("n", i)))
				}
				time.Sleep(time.Second)
				sim.requestVersion(2)
				time.Sleep(8 * time.Second)
				test.Positive(t, len(sim.orders()))
				test.LessEq(t, tc.maxReads, sim.log.readCount())
				holders := map[string]bool{}
				for _, order := range sim.orders() {
					holders[order.Holder] = true
				}
				test.MapLen(t, 1, holders)
				for _, stop := range stops {
					stop()
				}
			})
		})
	}
}

// TestOldestFirst checks that engines with the oldest weights are updated first, and that engines with
// equal versions are ordered independently of the order of the input.
func TestOldestFirst(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	for i, id := range engineIDs(20) {
		f.Update(&fleet.Endpoint{ID: id, Service: "s", Addr: "127.0.0.1:1", Weights: []fleet.Weights{{Model: model, Version: int64(1 + i%3)}}}, time.Now())
	}
	members := f.All()
	list := Outdated(members, model, 3)
	test.Len(t, 14, list, test.Sprint("six have version 3"))
	for i, m := range list {
		want := int64(1)
		if i >= 7 {
			want = 2
		}
		test.Eq(t, want, m.VersionOf(model), test.Sprint(i))
	}
	slices.Reverse(members)
	test.Eq(t, list, Outdated(members, model, 3))
}
