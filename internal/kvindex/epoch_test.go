package kvindex

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestNoSavesAfterStoreRestart checks that nothing is sent to a restarted store before all nodes
// have stopped referencing its former parts, for a node that confirmed the former epoch as late as
// possible. Otherwise a request can be answered from incomplete KV cache: a store restarts empty,
// other nodes send parts to it at once, and a node that has not seen the restart references its
// former parts.
func TestNoSavesAfterStoreRestart(t *testing.T) {
	h, other := newStore(), newStore()
	before := &Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}, ConfirmedAt: now}
	h.apply(before, now)
	other.apply(before, now)
	test.True(t, h.AcceptsSaves(now), test.Sprint("it keeps parts, so it has not just restarted"))

	restart := now.Add(time.Millisecond)
	h.apply(&Events{Epoch: 6, Next: 1, ConfirmedAt: restart}, restart) // the earliest time at which a node can see the restart
	test.True(t, other.ConfirmedRecently(restart))
	from := restart.Add(referenceWindow)
	test.False(t, other.ConfirmedRecently(from), test.Sprint("no node can confirm the former epoch any more"))
	test.False(t, h.AcceptsSaves(from.Add(maxFetchTime-time.Millisecond)), test.Sprint("the last fetch is in progress"))
	test.True(t, h.AcceptsSaves(from.Add(maxFetchTime)))

	other.apply(&Events{Epoch: 5, Next: 2, ConfirmedAt: now.Add(-time.Second)}, from)
	test.False(t, other.ConfirmedRecently(from), test.Sprint("an old confirmation that arrived late"))
}

// TestNoSavesToEmptyStore checks the same for a node that starts and finds a store empty, unless
// another node relays that the waiting time is over.
func TestNoSavesToEmptyStore(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 1}, now)
	test.False(t, h.AcceptsSaves(now.Add(emptyStoreDelay-time.Millisecond)))
	test.True(t, h.AcceptsSaves(now.Add(emptyStoreDelay)))
	for savesIn, want := range map[time.Duration]bool{0: true, time.Second: false} {
		h = newStore()
		h.apply(&Events{Epoch: 5, Next: 1, SnapshotPage: &Page{Number: 0, Of: 1}, SavesIn: savesIn}, now)
		test.Eq(t, want, h.AcceptsSaves(now))
		test.True(t, h.AcceptsSaves(now.Add(savesIn)))
	}
}

// TestRelayedAges checks that the ages of relayed updates are passed on, and that ages out of range
// are rejected.
func TestRelayedAges(t *testing.T) {
	for _, tc := range []struct {
		age, savesIn int64
		ok           bool
	}{{0, 0, true}, {2500, 4300, true}, {-1, 0, false}, {0, -1, false}, {maxAgeMs + 1, 0, false}, {0, maxAgeMs + 1, false}} {
		update := storeUpdate{Position: Position{Epoch: 5, Next: 2}, AgeMs: tc.age, SavesInMs: tc.savesIn, Changes: packChanges(nil)}
		events, err := update.events()
		test.Eq(t, tc.ok, err == nil, test.Sprint(tc))
		if err == nil {
			test.Eq(t, time.Duration(tc.savesIn)*time.Millisecond, events.SavesIn)
		}
	}
}
