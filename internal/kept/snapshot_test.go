package kept

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
)

// siteStores returns as many stores as a large site has, of which nothing is known.
func siteStores() []*Holder {
	var stores []*Holder
	for i := range 41 {
		h := NewHolder(fmt.Sprint("store-", i), fmt.Sprintf("10.0.0.%d:1", i+1), "north")
		h.Tokens = 1 << 30
		stores = append(stores, h)
	}
	return stores
}

// siteParts returns the events of a store in which so many parts are kept now, of which a third
// came twice.
func siteParts(store, parts int) *Events {
	e := &Events{Epoch: int64(store + 7)}
	for n := range parts + parts/3 {
		at := n % parts
		part := Part{Salt: fmt.Sprint("17/m/t", at%12), ID: fmt.Sprintf("%016x", uint64(store*1000+at)*0x9e3779b97f4a7c15)}
		e.Changes = append(e.Changes, Change{Number: int64(n + 1), Part: part, Tokens: 400 + at})
	}
	e.Next = int64(len(e.Changes) + 1)
	return e
}

// TestNodeThatStartsIsTold has a node learn from another all that 41 stores keep, in few answers,
// and then what came since. The stores are not asked.
func TestNodeThatStartsIsTold(t *testing.T) {
	reader, addr := nodeOf(t, &counted{})
	asker, _ := nodeOf(t, &counted{})
	source := &counted{}
	asker.Index.Source = source
	reader.Index.view.Store(&view{stores: siteStores()})
	asker.Index.view.Store(&view{stores: siteStores()})
	for i, h := range reader.Index.Stores() {
		h.apply(siteParts(i, 300+50*i), time.Now())
	}
	answers := 0
	for more := true; more; answers++ {
		var err error
		more, err = asker.askOnce(t.Context(), addr)
		must.NoError(t, err)
	}
	test.LessEq(t, 120, answers, test.Sprint("of ", datagram.MaxBytes, " bytes at most"))
	test.True(t, asker.Index.Told(time.Now()))
	for i, h := range asker.Index.Stores() {
		want := reader.Index.Stores()[i]
		test.Eq(t, want.parts, h.parts)
		test.Eq(t, want.Position(), h.Position())
	}

	store := reader.Index.Stores()[5]
	next := store.Position().Next
	store.apply(&Events{Epoch: 12, Next: next + 1, Changes: []Change{{Number: next, Part: Part{Salt: "18/m/t", ID: "new"}, Tokens: 9}}}, time.Now())
	must.NoError(t, asker.ask(t.Context(), addr))
	test.Eq(t, 9, asker.Index.Stores()[5].Has(Part{Salt: "18/m/t", ID: "new"}))
	test.Eq(t, 0, source.questions())
}

// TestStartAmongEmptyStores tells a node that starts together with others of all stores at once,
// which keep nothing yet.
func TestStartAmongEmptyStores(t *testing.T) {
	reader, addr := nodeOf(t, &counted{})
	asker, _ := nodeOf(t, &counted{})
	reader.Index.view.Store(&view{stores: siteStores()})
	asker.Index.view.Store(&view{stores: siteStores()})
	must.NoError(t, asker.ask(t.Context(), addr))
	test.False(t, asker.Index.Told(time.Now()), test.Sprint("the other knows nothing either"))
	for i, h := range reader.Index.Stores() {
		h.apply(&Events{Epoch: int64(i + 7), Next: 1}, time.Now())
	}
	more, err := asker.askOnce(t.Context(), addr)
	must.NoError(t, err)
	test.False(t, more)
	test.True(t, asker.Index.Told(time.Now()))
}

// TestStoresComeUpOneByOne has each answer speak of all stores that are known, while others come up:
// a store of which nothing is said for a while is asked.
func TestStoresComeUpOneByOne(t *testing.T) {
	reader, asker := NewIndex(nil, nil, zerolog.Nop()), NewIndex(nil, nil, zerolog.Nop())
	reader.view.Store(&view{stores: siteStores()})
	stores := siteStores()
	asker.view.Store(&view{stores: stores})
	for i, h := range reader.Stores() {
		h.apply(siteParts(i, 300), time.Now())
		var asked []Position
		for _, s := range stores {
			asked = append(asked, s.Position())
		}
		answer := reader.tell(asked, datagram.MaxBytes)
		must.Len(t, i+1, answer.Events)
		data, err := json.Marshal(answer)
		must.NoError(t, err)
		test.Less(t, datagram.MaxBytes-200, len(data), test.Sprint("room for the message around it"))
		for j := range answer.Events {
			e, err := answer.Events[j].events()
			must.NoError(t, err)
			asker.Take(asker.store(answer.Events[j].Addr), e)
		}
	}
}

// pagesOfStore returns what a node tells of a store as a whole, a page each.
func pagesOfStore(t *testing.T, h *Holder) []*Events {
	t.Helper()
	s, ok := h.snapshot()
	must.True(t, ok)
	var list []*Events
	for i := range s.pages {
		told := toldStore{Position: Position{Epoch: s.epoch, Next: s.next}, Changes: s.pages[i], Page: &Page{Number: i, Of: len(s.pages)}}
		e, err := told.events()
		must.NoError(t, err)
		list = append(list, e)
	}
	return list
}

// TestStoreAnswersFirst keeps what the store itself tells before or between the pages of another
// node's snapshot, which may be older.
func TestStoreAnswersFirst(t *testing.T) {
	for told := range 4 {
		reader, asker := newStore(), newStore()
		reader.apply(siteParts(1, 3*pageParts-9), time.Now())
		pages := pagesOfStore(t, reader)
		must.Len(t, 3, pages)
		for _, e := range pages[:told] {
			asker.apply(e, time.Now())
		}
		later := siteParts(1, 20)
		if told == len(pages) {
			test.Eq(t, reader.parts, asker.parts)
			test.Eq(t, reader.Position(), asker.Position())
			later = &Events{Epoch: 8, Next: reader.next + 1}
		}
		asker.apply(later, time.Now())
		position, parts := asker.Position(), len(asker.parts)
		if told < len(pages) {
			test.Eq(t, 20, parts)
			test.Eq(t, 20*400+19*10, asker.used)
		}
		for _, e := range pages {
			asker.apply(e, time.Now())
		}
		test.Eq(t, position, asker.Position())
		test.MapLen(t, parts, asker.parts)
	}
}

// TestPagesThatDontFollow drops pages that aren't the next ones of the same snapshot, and begins
// anew with the first one of another.
func TestPagesThatDontFollow(t *testing.T) {
	reader, asker := newStore(), newStore()
	reader.apply(siteParts(1, 3*pageParts), time.Now())
	old := pagesOfStore(t, reader)
	reader.apply(&Events{Epoch: 8, Next: reader.next + toldSlack + 1}, time.Now())
	s, _ := reader.snapshot()
	pages := pagesOfStore(t, reader)
	asker.apply(old[1], time.Now())
	test.Nil(t, asker.Position().Copied)
	asker.apply(old[0], time.Now())
	test.Eq(t, 0, s.after(asker.Position().Copied), test.Sprint("of another snapshot"))
	asker.apply(pages[1], time.Now())
	test.MapLen(t, pageParts, asker.parts)
	asker.apply(pages[0], time.Now())
	asker.apply(pages[0], time.Now())
	test.Eq(t, 1, s.after(asker.Position().Copied))
	asker.apply(pages[1], time.Now())
	position := asker.Position()
	test.True(t, position.unknown())
	asker.apply(pages[2], time.Now())
	test.Eq(t, reader.Position(), asker.Position())
	test.Eq(t, reader.parts, asker.parts)
	test.Eq(t, reader.used, asker.used)
	_, ok := asker.Since(Position{Epoch: 8, Next: 5}, 9)
	test.False(t, ok, test.Sprint("it doesn't know what happened before"))
}

// TestSnapshotIsMadeOnce tells the same snapshot for some events, for it to be made once for many
// nodes, and another one after more, after a restart of the store, and none of a lost store.
func TestSnapshotIsMadeOnce(t *testing.T) {
	h := newStore()
	_, ok := h.snapshot()
	test.False(t, ok, test.Sprint("nothing is known"))
	for n := int64(1); n <= toldSlack+1; n++ {
		h.apply(&Events{Epoch: 5, Next: n + 1, Changes: changes(n, n+1)}, time.Now())
		s, ok := h.snapshot()
		must.True(t, ok)
		test.Eq(t, 2, s.next)
	}
	h.apply(&Events{Epoch: 5, Next: toldSlack + 3, Changes: changes(toldSlack+2, toldSlack+3)}, time.Now())
	s, _ := h.snapshot()
	test.Eq(t, toldSlack+3, s.next)
	h.apply(&Events{Epoch: 6, Next: 2}, time.Now())
	_, ok = h.snapshot()
	test.False(t, ok, test.Sprint("all events are to be asked for anew"))
	h.apply(&Events{Epoch: 6, Next: 2, Changes: changes(1, 2)}, time.Now())
	s, ok = h.snapshot()
	test.True(t, ok)
	test.Eq(t, 6, s.epoch)
	h.failed()
	_, ok = h.snapshot()
	test.False(t, ok)
}

// TestPageThatIsNone refuses what pagesOf doesn't make.
func TestPageThatIsNone(t *testing.T) {
	good := packChanges(siteChanges(2))
	for _, told := range []toldStore{
		{Page: &Page{Of: 1}},
		{Changes: good[:len(good)-1], Page: &Page{Of: 1}},
		{Changes: good, Page: &Page{Number: 1, Of: 1}},
		{Changes: good, Page: &Page{Number: -1, Of: 1}},
	} {
		_, err := told.events()
		test.Error(t, err)
	}
}

// TestManyStores bounds an answer where there are far more stores than it has room for.
func TestManyStores(t *testing.T) {
	x := NewIndex(nil, nil, zerolog.Nop())
	var stores []*Holder
	var asked, fresh []Position
	for i := range 500 {
		h := NewHolder(fmt.Sprint("store-", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), "north")
		h.apply(siteParts(i, 500), time.Now())
		stores = append(stores, h)
		p := h.Position()
		p.Next -= 9
		asked = append(asked, p)
		fresh = append(fresh, Position{Addr: h.Addr})
	}
	x.view.Store(&view{stores: stores})
	for _, list := range [][]Position{asked, fresh, append(asked[:250:250], fresh[250:]...)} {
		answer := x.tell(list, datagram.MaxBytes)
		test.SliceNotEmpty(t, answer.Events)
		data, err := json.Marshal(answer)
		must.NoError(t, err)
		test.Less(t, datagram.MaxBytes-200, len(data), test.Sprint("room for the message around it"))
	}
}

// FuzzPage takes any bytes for a page of what a store keeps.
func FuzzPage(f *testing.F) {
	f.Add([]byte(packChanges(siteChanges(2))), 0, 1)
	f.Add([]byte{0, 0}, 1, 2)
	f.Fuzz(func(t *testing.T, data []byte, number, of int) {
		told := toldStore{Position: Position{Epoch: 3, Next: 4}, Changes: data, Page: &Page{Number: number, Of: of}}
		e, err := told.events()
		if err != nil {
			return
		}
		h := newStore()
		h.apply(e, time.Now())
		test.True(t, h.next == 4 == (number == 0 && of == 1))
	})
}
