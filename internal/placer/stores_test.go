package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
)

// TestLateStoreIsAvoided learns from first events that fetches from a store come late,
// reads the parts itself then, and tries the store again later.
func TestLateStoreIsAvoided(t *testing.T) {
	w := newWorld(t, source{store: shared(1, "")}, 1)
	place := func() forward.Placement {
		p, ok := w.Place(query())
		must.True(t, ok)
		must.NotNil(t, p.Began)
		return p
	}
	for range 8 {
		place().Began(2 * time.Second)
	}
	p := place()
	test.Nil(t, p.Attempt.Sources)
	test.Eq(t, 11500, p.Reading)
	keep := w.Kept.Stores()[0]
	for range 8 {
		keep.Late.Note(0, time.Now())
	}
	test.NotNil(t, place().Attempt.Sources)
}

// TestPeersTellOfLateStores avoids a store from which several peers fetch late.
func TestPeersTellOfLateStores(t *testing.T) {
	w := newWorld(t, source{store: shared(1, "")}, 1)
	for i := range 3 {
		w.Peers.Take(peerload.Digest{Node: fmt.Sprint("n", i), Incarnation: 1, Seq: 1, Late: []peerload.Late{{Addr: store, MS: 900}}}, time.Now())
	}
	p, ok := w.Place(query())
	must.True(t, ok)
	test.Nil(t, p.Attempt.Sources)
}

// TestBusyEngineIsNotTheStore takes what all first events are late off a store's.
func TestBusyEngineIsNotTheStore(t *testing.T) {
	w := newWorld(t, source{store: shared(1, "")}, 1)
	for range 20 {
		w.Usual.Note(700, time.Now())
		p, ok := w.Place(query())
		must.True(t, ok)
		p.Began(800 * time.Millisecond)
	}
	test.Less(t, 250, w.Kept.Stores()[0].Late.MS(time.Now()), test.Sprint("700 of its 800 ms are everybody's"))
}
