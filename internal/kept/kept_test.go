package kept

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var (
	part  = Part{Salt: Salt{Model: "m", Version: 2}.String(), ID: "p"}
	other = Part{Salt: Salt{Model: "m", Version: 1}.String(), ID: "p"}
	now   = time.Unix(1000, 0)
)

func newStore() *Holder {
	h := NewHolder("store", "127.0.0.1:1", "north")
	h.Tokens = 100
	return h
}

func TestEvents(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}, {Part: other, Tokens: 16}}}, time.Now())
	test.Eq(t, 40, h.Has(part))
	h.apply(&Events{Epoch: 5, Next: 3, Changes: []Change{{Part: part, Tokens: 0}}}, time.Now())
	test.Eq(t, 0, h.Has(part))
	test.Eq(t, 16, h.used)
	test.Eq(t, 3, h.since())
}

// TestRestart asks for all events of a holder that came back empty.
func TestRestart(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}}, time.Now())
	h.apply(&Events{Epoch: 6, Next: 1}, time.Now())
	test.Eq(t, 0, h.Has(part))
	test.Eq(t, 0, h.since())
	h.apply(&Events{Epoch: 6, Next: 1, Changes: []Change{{Part: part, Tokens: 16}}}, time.Now())
	test.Eq(t, 16, h.Has(part))
	test.Eq(t, 1, h.since())
}

// TestMissed tells of a part that was sent and not told of for long enough, until it is.
func TestMissed(t *testing.T) {
	h, now := newStore(), time.Now()
	test.False(t, h.Missed(part, now), test.Sprint("never sent"))
	must.True(t, h.BeginSave(part, 40, now))
	test.False(t, h.Missed(part, now.Add(savePatience-time.Millisecond)), test.Sprint("under way"))
	test.True(t, h.Missed(part, now.Add(savePatience)))
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}}, now)
	test.False(t, h.Missed(part, now.Add(savePatience)), test.Sprint("kept"))
}

// TestSavesAreForgotten bounds what is remembered of parts that were sent and never told of.
func TestSavesAreForgotten(t *testing.T) {
	h, now := newStore(), time.Now()
	h.Tokens = 1_000_000
	for i := range 4 * mostSaves {
		must.True(t, h.BeginSave(Part{Salt: "s", ID: fmt.Sprint(i)}, 1, now))
		now = now.Add(2 * savesFor / mostSaves)
		must.LessEq(t, mostSaves, len(h.saving))
	}
}

func TestBeginSave(t *testing.T) {
	h := newStore()
	test.True(t, h.BeginSave(part, 40, now))
	test.False(t, h.BeginSave(part, 40, now.Add(time.Second)), test.Sprint("under way"))
	test.True(t, h.BeginSave(part, 40, now.Add(savePatience)), test.Sprint("never arrived"))
	test.False(t, h.BeginSave(other, 101, now), test.Sprint("no room"))
	h.apply(&Events{Epoch: 5, Next: 2, Changes: []Change{{Part: part, Tokens: 40}}}, time.Now())
	test.False(t, h.BeginSave(part, 40, now.Add(time.Minute)), test.Sprint("kept"))
	h.failed()
	test.False(t, h.BeginSave(other, 16, now), test.Sprint("out of reach"))
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

// TestFirstContactKeepsSaves lets a store's first answer arrive after a save was begun.
func TestFirstContactKeepsSaves(t *testing.T) {
	h := newStore()
	test.True(t, h.BeginSave(part, 40, now))
	h.apply(&Events{Epoch: 7, Next: 1}, now)
	test.False(t, h.BeginSave(part, 40, now), test.Sprint("the save is under way"))
	h.apply(&Events{Epoch: 8, Next: 1}, now)
	test.False(t, h.BeginSave(part, 40, now.Add(emptyFor-time.Millisecond)), test.Sprint("others may still name what the store had"))
	test.True(t, h.BeginSave(part, 40, now.Add(emptyFor)), test.Sprint("a restart lost it"))
}

// TestPartsAreMatchedBySalt asks once for each salt of a store, whatever the number of parts
// under it, and forgets salts whose parts are gone.
func TestPartsAreMatchedBySalt(t *testing.T) {
	h := newStore()
	var changes []Change
	for i := range 100 {
		changes = append(changes, Change{Part: Part{Salt: part.Salt, ID: fmt.Sprint(i)}, Tokens: 1})
	}
	h.apply(&Events{Epoch: 5, Next: 102, Changes: append(changes, Change{Part: other, Tokens: 16})}, time.Now())
	asked := 0
	of := func(want string) func(string) bool {
		return func(salt string) bool {
			asked++
			return salt == want
		}
	}
	parts, epoch := h.under(of(other.Salt))
	test.Eq(t, []Part{other}, parts)
	test.Eq(t, 5, epoch)
	test.Eq(t, 2, asked)
	parts, _ = h.under(of(part.Salt))
	test.Len(t, 100, parts)
	h.forget(other)
	h.forget(other)
	asked = 0
	parts, _ = h.under(of(other.Salt))
	test.SliceEmpty(t, parts)
	test.Eq(t, 1, asked)
}

// TestLargestOutdatedPartsComeFirst has the parts that make the most room freed first: as few are freed in
// a second, stores were full of replaced parts for 5 s after new weights.
func TestLargestOutdatedPartsComeFirst(t *testing.T) {
	h := newStore()
	var changes []Change
	for i, tokens := range []int{40, 900, 16, 5000, 900} {
		changes = append(changes, Change{Part: Part{Salt: other.Salt, ID: fmt.Sprint(i)}, Tokens: tokens})
	}
	h.apply(&Events{Epoch: 5, Next: 6, Changes: append(changes, Change{Part: part, Tokens: 9000})}, time.Now())
	parts, _ := h.under(func(salt string) bool { return salt == other.Salt })
	var ids []string
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	test.Eq(t, []string{"3", "1", "4", "0", "2"}, ids)
}

// TestJournalIsCopiedSeldom drops the oldest changes of a full journal many at a time.
func TestJournalIsCopiedSeldom(t *testing.T) {
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
	test.LessEq(t, 2*journalLength/journalSlack, copies)
	e, ok := h.Since(Position{Epoch: 5, Next: next - journalLength}, journalLength)
	test.True(t, ok)
	test.Eq(t, next-journalLength, e.Changes[0].Number)
	test.Len(t, journalLength, e.Changes)
}
