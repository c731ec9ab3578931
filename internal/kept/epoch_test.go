package kept

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// A request was answered from KV cache that was not whole where it came from: a store of its failure
// domain had been silent for 2.5 s and was back empty, other nodes had sent it parts again at once, and
// a node that had not heard of the restart still named what the store had kept before.

// TestRestartedStoreWaits has nothing sent to a store that restarted before everybody has stopped naming
// what it had, by the newest proof that anybody can have of the time before.
func TestRestartedStoreWaits(t *testing.T) {
	h, other := newStore(), newStore()
	before := &Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}, ProvenAt: now}
	h.apply(before, now)
	other.apply(before, now)
	test.True(t, h.Saves(now), test.Sprint("it keeps parts, so that it has not restarted just now"))

	restart := now.Add(time.Millisecond)
	h.apply(&Events{Epoch: 6, Next: 1, ProvenAt: restart}, restart) // the soonest that anybody can know
	test.True(t, other.Names(restart))
	from := restart.Add(namedFor)
	test.False(t, other.Names(from), test.Sprint("nobody else confirms what the store had"))
	test.False(t, h.Saves(from.Add(fetchTime-time.Millisecond)), test.Sprint("the last fetch is under way"))
	test.True(t, h.Saves(from.Add(fetchTime)))

	other.apply(&Events{Epoch: 5, Next: 2, ProvenAt: now.Add(-time.Second)}, from)
	test.False(t, other.Names(from), test.Sprint("an old word, heard late"))
}

// TestEmptyStoreWaits does so at a node that starts and finds a store empty, and not where another node
// tells that it has waited.
func TestEmptyStoreWaits(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 1}, now)
	test.False(t, h.Saves(now.Add(emptyFor-time.Millisecond)))
	test.True(t, h.Saves(now.Add(emptyFor)))
	for savesIn, want := range map[time.Duration]bool{0: true, time.Second: false} {
		h = newStore()
		h.apply(&Events{Epoch: 5, Next: 1, Whole: &Page{Number: 0, Of: 1}, SavesIn: savesIn}, now)
		test.Eq(t, want, h.Saves(now))
		test.True(t, h.Saves(now.Add(savesIn)))
	}
}

// TestToldAges passes on how old a word is, and refuses what no node tells.
func TestToldAges(t *testing.T) {
	for _, tc := range []struct {
		age, savesIn int64
		ok           bool
	}{{0, 0, true}, {2500, 4300, true}, {-1, 0, false}, {0, -1, false}, {mostAgeMs + 1, 0, false}, {0, mostAgeMs + 1, false}} {
		told := toldStore{Position: Position{Epoch: 5, Next: 2}, AgeMs: tc.age, SavesInMs: tc.savesIn, Changes: packChanges(nil)}
		events, err := told.events()
		test.Eq(t, tc.ok, err == nil, test.Sprint(tc))
		if err == nil {
			test.Eq(t, time.Duration(tc.savesIn)*time.Millisecond, events.SavesIn)
		}
	}
}
