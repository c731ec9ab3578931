package kvindex

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var (
	part         = Part{Salt: Salt{Model: "m", Version: 2}.String(), ID: "p"}
	outdatedPart = Part{Salt: Salt{Model: "m", Version: 1}.String(), ID: "p"}
	now          = time.Unix(1000, 0)
)

func newStore() *Holder {
	h := NewHolder("store", "127.0.0.1:1", "north")
	h.Tokens = 100
	return h
}

func TestEvents(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}, {Part: outdatedPart, Tokens: 16}}}, time.Now())
	test.Eq(t, 40, h.Has(part))
	h.apply(&Events{Epoch: 5, Next: 3, Changes: []Change{{Part: part, Tokens: 0}}}, time.Now())
	test.Eq(t, 0, h.Has(part))
	test.Eq(t, 16, h.used)
	test.Eq(t, 3, h.nextEvent())
}

// TestRestart checks that all events of a holder are requested after it restarted empty.
func TestRestart(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}}, time.Now())
	h.apply(&Events{Epoch: 6, Next: 1}, time.Now())
	test.Eq(t, 0, h.Has(part))
	test.Eq(t, 0, h.nextEvent())
	h.apply(&Events{Epoch: 6, Next: 1, Changes: []Change{{Part: part, Tokens: 16}}}, time.Now())
	test.Eq(t, 16, h.Has(part))
	test.Eq(t, 1, h.nextEvent())
}

// TestSaveOverdue checks that a sent part is reported once no event has confirmed it for
// saveTimeout, until one does.
func TestSaveOverdue(t *testing.T) {
	h, now := newStore(), time.Now()
	test.False(t, h.SaveOverdue(part, now), test.Sprint("never sent"))
	must.True(t, h.BeginSave(part, 40, now))
	test.False(t, h.SaveOverdue(part, now.Add(saveTimeout-time.Millisecond)), test.Sprint("in progress"))
	test.True(t, h.SaveOverdue(part, now.Add(saveTimeout)))
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}}, now)
	test.False(t, h.SaveOverdue(part, now.Add(saveTimeout)), test.Sprint("kept"))
}

// TestPendingSavesAreBounded checks that the number of recorded saves stays bounded if no event
// confirms any.
func TestPendingSavesAreBounded(t *testing.T) {
	h, now := newStore(), time.Now()
	h.Tokens = 1_000_000
	for i := range 4 * maxPendingSaves {
		must.True(t, h.BeginSave(Part{Salt: "s", ID: fmt.Sprint(i)}, 1, now))
		now = now.Add(2 * pendingSaveLifetime / maxPendingSaves)
		must.LessEq(t, maxPendingSaves, len(h.pendingSaves))
	}
}

func TestBeginSave(t *testing.T) {
	h := newStore()
	test.True(t, h.BeginSave(part, 40, now))
	test.False(t, h.BeginSave(part, 40, now.Add(time.Second)), test.Sprint("in progress"))
	test.True(t, h.BeginSave(part, 40, now.Add(saveTimeout)), test.Sprint("never arrived"))
	test.False(t, h.BeginSave(outdatedPart, 101, now), test.Sprint("no room"))
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}}, time.Now())
	test.False(t, h.BeginSave(part, 40, now.Add(time.Minute)), test.Sprint("kept"))
	h.markUnreachable()
	test.False(t, h.BeginSave(outdatedPart, 16, now), test.Sprint("store is unreachable"))
}

func TestSalt(t *testing.T) {
	for _, s := range []Salt{{Model: "m", Version: 2}, {Model: "m", Version: 1, Account: "yard"}, {Model: "a/b,c", Version: 3, Account: "d/e"}} {
		got, ok := ParseSalt(s.String())
		test.True(t, ok)
		test.Eq(t, s, got)
	}
	for _, text := range []string{"", "m", "x/m/", "1/m"} {
		_, ok := ParseSalt(text)
		test.False(t, ok, test.Sprint(text))
	}
}

// TestFirstResponseKeepsSaves checks that a store's first response doesn't discard saves that were
// started before it, while a restart does.
func TestFirstResponseKeepsSaves(t *testing.T) {
	h := newStore()
	test.True(t, h.BeginSave(part, 40, now))
	h.apply(&Events{Epoch: 7, Next: 1}, now)
	test.False(t, h.BeginSave(part, 40, now), test.Sprint("the save is in progress"))
	h.apply(&Events{Epoch: 8, Next: 1}, now)
	test.False(t, h.BeginSave(part, 40, now.Add(emptyStoreDelay-time.Millisecond)), test.Sprint("other nodes may still reference its former parts"))
	test.True(t, h.BeginSave(part, 40, now.Add(emptyStoreDelay)), test.Sprint("the restart discarded it"))
}

// TestPartsAreMatchedBySalt checks that the match function is called once for each salt of a
// store, whatever the number of parts, and that salts without parts are removed.
func TestPartsAreMatchedBySalt(t *testing.T) {
	h := newStore()
	var changes []Change
	for i := range 100 {
		changes = append(changes, Change{Part: Part{Salt: part.Salt, ID: fmt.Sprint(i)}, Tokens: 1})
	}
	h.apply(&Events{Epoch: 5, Next: 102, Changes: append(changes, Change{Part: outdatedPart, Tokens: 16})}, time.Now())
	calls := 0
	of := func(want string) func(string) bool {
		return func(salt string) bool {
			calls++
			return salt == want
		}
	}
	parts, epoch := h.partsMatching(of(outdatedPart.Salt))
	test.Eq(t, []Part{outdatedPart}, parts)
	test.Eq(t, 5, epoch)
	test.Eq(t, 2, calls)
	parts, _ = h.partsMatching(of(part.Salt))
	test.Len(t, 100, parts)
	h.removePart(outdatedPart)
	h.removePart(outdatedPart)
	calls = 0
	parts, _ = h.partsMatching(of(outdatedPart.Salt))
	test.SliceEmpty(t, parts)
	test.Eq(t, 1, calls)
}

// TestLargestOutdatedPartsComeFirst checks that the largest parts are freed first. Few parts are
// freed per second, so otherwise stores stay full of outdated parts for seconds after new weights
// are loaded.
func TestLargestOutdatedPartsComeFirst(t *testing.T) {
	h := newStore()
	var changes []Change
	for i, tokens := range []int{40, 900, 16, 5000, 900} {
		changes = append(changes, Change{Part: Part{Salt: outdatedPart.Salt, ID: fmt.Sprint(i)}, Tokens: tokens})
	}
	h.apply(&Events{Epoch: 5, Next: 6, Changes: append(changes, Change{Part: part, Tokens: 9000})}, time.Now())
	parts, _ := h.partsMatching(func(salt string) bool { return salt == outdatedPart.Salt })
	var ids []string
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	test.Eq(t, []string{"3", "1", "4", "0", "2"}, ids)
}

// TestJournalTrimsInSteps checks that a full journal is trimmed in large steps, not at each
// change.
func TestJournalTrimsInSteps(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 1}, time.Now())
	next := int64(1)
	copies := 0
	for range 3 * journalLength {
		before := h.recent.first
		h.apply(&Events{Epoch: 5, Next: next + 1, Changes: []Change{change(next, 1)}}, time.Now())
		next++
		if h.recent.first != before {
			copies++
		}
	}
	test.LessEq(t, 2*journalLength/journalTrimStep, copies)
	e, ok := h.Since(Position{Epoch: 5, Next: next - journalLength}, journalLength)
	test.True(t, ok)
	test.Eq(t, next-journalLength, e.Changes[0].Number)
	test.Len(t, journalLength, e.Changes)
}
