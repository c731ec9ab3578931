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

// largeFleet is the number of engines of the users' largest site.
const largeFleet = 112

func many(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	return ids
}

// TestLargeFleet brings a large fleet to a version within the operators' bound of 15 s,
// a fifth of it at a time.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(many(largeFleet)...)
		stop := w.node(t, "n1")
		time.Sleep(time.Second)
		w.name(2)
		time.Sleep(13 * time.Second)
		test.Eq(t, slices.Repeat([]int64{2}, largeFleet), w.versions())
		test.Eq(t, largeFleet/loadShare, w.engines.loading)
		stop()
	})
}

// TestUnansweredOrders brings a large fleet to a version within the operators' bound of 15 s
// with a seventh of it as a margin, where every second order is answered by nobody.
func TestUnansweredOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(many(largeFleet)...)
		for i, id := range w.ids {
			w.engines.silent[id] = i % 2
		}
		stop := w.node(t, "n1")
		time.Sleep(time.Second)
		w.name(2)
		time.Sleep(12800 * time.Millisecond)
		test.Eq(t, slices.Repeat([]int64{2}, largeFleet), w.versions())
		test.Eq(t, largeFleet/loadShare, w.engines.loading)
		stop()
	})
}

// TestStandbys has few of many nodes read the claims while another node leads, and the
// others take over where none of these is left.
func TestStandbys(t *testing.T) {
	for name, tc := range map[string]struct {
		standby []string
		atMost  int // reads of the log in 8 s by all nodes
	}{
		"two stand by":      {[]string{"n0", "n1"}, 120},
		"none of them left": {[]string{"gone"}, 400},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(many(largeFleet)...)
				w.standby = tc.standby
				var stops []func()
				for i := range 30 {
					stops = append(stops, w.node(t, fmt.Sprint("n", i)))
				}
				time.Sleep(time.Second)
				w.name(2)
				time.Sleep(8 * time.Second)
				test.Positive(t, len(w.orders()))
				test.LessEq(t, tc.atMost, w.log.readCount())
				holders := map[string]bool{}
				for _, g := range w.orders() {
					holders[g.Holder] = true
				}
				test.MapLen(t, 1, holders)
				for _, stop := range stops {
					stop()
				}
			})
		})
	}
}

// TestOldestFirst brings the engines with the oldest weights to a version before the others, and
// equals in an order that does not depend on how they are listed.
func TestOldestFirst(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	for i, id := range many(20) {
		f.Update(&fleet.Endpoint{ID: id, Service: "s", Addr: "127.0.0.1:1", Weights: []fleet.Weights{{Model: model, Version: int64(1 + i%3)}}}, time.Now())
	}
	members := f.All()
	list := Behind(members, model, 3)
	test.Len(t, 14, list, test.Sprint("six have version 3"))
	for i, m := range list {
		want := int64(1)
		if i >= 7 {
			want = 2
		}
		test.Eq(t, want, m.VersionOf(model), test.Sprint(i))
	}
	slices.Reverse(members)
	test.Eq(t, list, Behind(members, model, 3))
}
