package kvindex

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

// largeSystemStores returns the stores of a large system, without any recorded state.
func largeSystemStores() []*Holder {
	var stores []*Holder
	for i := range 41 {
		h := NewHolder(fmt.Sprint("store-", i), fmt.Sprintf("10.0.0.%d:1", i+1), "north")
		h.Tokens = 1 << 30
		stores = append(stores, h)
	}
	return stores
}

// largeSystemEvents returns the events of a store that keeps the given number of parts, a third of
// which have two events.
func largeSystemEvents(store, parts int) *Events {
	e := &Events{Epoch: int64(store + 7)}
	for n := range parts + parts/3 {
		at := n % parts
		part := Part{Salt: fmt.Sprint("17/m/t", at%12), ID: fmt.Sprintf("%016x", uint64(store*1000+at)*0x9e3779b97f4a7c15)}
		e.Changes = append(e.Changes, Change{Number: int64(n + 1), Part: part, Tokens: 400 + at})
	}
	e.Next = int64(len(e.Changes) + 1)
	return e
}

// TestSnapshotForStartingNode checks that a node receives the state of 41 stores from another node
// in few responses, and then the changes since, without requests to the stores.
func TestSnapshotForStartingNode(t *testing.T) {
	reader, addr := newTestNode(t, &countingSource{})
	requester, _ := newTestNode(t, &countingSource{})
	source := &countingSource{}
	requester.Index.Source = source
	reader.Index.view.Store(&view{stores: largeSystemStores()})
	requester.Index.view.Store(&view{stores: largeSystemStores()})
	for i, h := range reader.Index.Stores() {
		h.apply(largeSystemEvents(i, 300+50*i), time.Now())
	}
	responses := 0
	for more := true; more; responses++ {
		var err error
		more, err = requester.requestOnce(t.Context(), addr)
		must.NoError(t, err)
	}
	test.LessEq(t, 120, responses, test.Sprint("responses of at most ", datagram.MaxBytes, " bytes"))
	before := time.Now()
	must.NoError(t, requester.request(t.Context(), addr))
	test.True(t, requester.Index.AllRelayed(before.Add(relayLifetime)), test.Sprint("one response must cover all stores"))
	for i, h := range requester.Index.Stores() {
		want := reader.Index.Stores()[i]
		test.Eq(t, want.parts, h.parts)
		test.Eq(t, want.Position(), h.Position())
	}

	store := reader.Index.Stores()[5]
	next := store.Position().Next
	store.apply(&Events{Epoch: 12, Next: next + 1, Changes: []Change{{Number: next, Part: Part{Salt: "18/m/t", ID: "new"}, Tokens: 9}}}, time.Now())
	must.NoError(t, requester.request(t.Context(), addr))
	test.Eq(t, 9, requester.Index.Stores()[5].Has(Part{Salt: "18/m/t", ID: "new"}))
	test.Eq(t, 0, source.count())
}

// TestSnapshotOfEmptyStores checks that one response covers all stores while they are empty, for a
// node that starts together with the others.
func TestSnapshotOfEmptyStores(t *testing.T) {
	reader, addr := newTestNode(t, &countingSource{})
	requester, _ := newTestNode(t, &countingSource{})
	reader.Index.view.Store(&view{stores: largeSystemStores()})
	requester.Index.view.Store(&view{stores: largeSystemStores()})
	must.NoError(t, requester.request(t.Context(), addr))
	test.False(t, requester.Index.AllRelayed(time.Now()), test.Sprint("the other node has no state either"))
	for i, h := range reader.Index.Stores() {
		h.apply(&Events{Epoch: int64(i + 7), Next: 1}, time.Now())
	}
	before := time.Now()
	more, err := requester.requestOnce(t.Context(), addr)
	must.NoError(t, err)
	test.False(t, more)
	test.True(t, requester.Index.AllRelayed(before.Add(relayLifetime)))
}

// TestResponsesCoverStoresAsTheyStart checks that each response covers all stores with a known
// state while others are starting. A store that responses omit for a while would be requested
// directly.
func TestResponsesCoverStoresAsTheyStart(t *testing.T) {
	reader, requester := NewIndex(nil, nil, zerolog.Nop()), NewIndex(nil, nil, zerolog.Nop())
	reader.view.Store(&view{stores: largeSystemStores()})
	stores := largeSystemStores()
	requester.view.Store(&view{stores: stores})
	for i, h := range reader.Stores() {
		h.apply(largeSystemEvents(i, 300), time.Now())
		var positions []Position
		for _, s := range stores {
			positions = append(positions, s.Position())
		}
		response := reader.relayEvents(positions, datagram.MaxBytes)
		must.Len(t, i+1, response.Updates)
		data, err := json.Marshal(response)
		must.NoError(t, err)
		test.Less(t, datagram.MaxBytes-200, len(data), test.Sprint("leaves room for the message envelope"))
		for j := range response.Updates {
			e, err := response.Updates[j].events()
			must.NoError(t, err)
			requester.Apply(requester.store(response.Updates[j].Addr), e)
		}
	}
}

// snapshotPages returns the snapshot of a store as events, one page each.
func snapshotPages(t *testing.T, h *Holder) []*Events {
	t.Helper()
	s, ok := h.snapshot()
	must.True(t, ok)
	var list []*Events
	for i := range s.pages {
		update := storeUpdate{Position: Position{Epoch: s.epoch, Next: s.next}, Changes: s.pages[i], Page: &Page{Number: i, Of: len(s.pages)}}
		e, err := update.events()
		must.NoError(t, err)
		list = append(list, e)
	}
	return list
}

// TestStoreTakesPrecedenceOverSnapshot checks that the store's own response, before or between the
// pages of another node's snapshot, takes precedence, because the snapshot may be older.
func TestStoreTakesPrecedenceOverSnapshot(t *testing.T) {
	for received := range 4 {
		reader, requester := newStore(), newStore()
		reader.apply(largeSystemEvents(1, 3*partsPerPage-9), time.Now())
		pages := snapshotPages(t, reader)
		must.Len(t, 3, pages)
		for _, e := range pages[:received] {
			requester.apply(e, time.Now())
		}
		later := largeSystemEvents(1, 20)
		if received == len(pages) {
			test.Eq(t, reader.parts, requester.parts)
			test.Eq(t, reader.Position(), requester.Position())
			later = &Events{Epoch: 8, Next: reader.next + 1}
		}
		requester.apply(later, time.Now())
		position, parts := requester.Position(), len(requester.parts)
		if received < len(pages) {
			test.Eq(t, 20, parts)
			test.Eq(t, 20*400+19*10, requester.used)
		}
		for _, e := range pages {
			requester.apply(e, time.Now())
		}
		test.Eq(t, position, requester.Position())
		test.MapLen(t, parts, requester.parts)
	}
}

// TestPagesOutOfSequence checks that pages out of sequence are dropped, and that the first page
// of another snapshot starts over.
func TestPagesOutOfSequence(t *testing.T) {
	reader, requester := newStore(), newStore()
	reader.apply(largeSystemEvents(1, 3*partsPerPage), time.Now())
	old := snapshotPages(t, reader)
	reader.apply(&Events{Epoch: 8, Next: reader.next + maxSnapshotLag + 1}, time.Now())
	s, _ := reader.snapshot()
	pages := snapshotPages(t, reader)
	requester.apply(old[1], time.Now())
	test.Nil(t, requester.Position().Progress)
	requester.apply(old[0], time.Now())
	test.Eq(t, 0, s.nextPage(requester.Position().Progress), test.Sprint("progress of another snapshot"))
	requester.apply(pages[1], time.Now())
	test.MapLen(t, partsPerPage, requester.parts)
	requester.apply(pages[0], time.Now())
	requester.apply(pages[0], time.Now())
	test.Eq(t, 1, s.nextPage(requester.Position().Progress))
	requester.apply(pages[1], time.Now())
	position := requester.Position()
	test.True(t, position.lacksState())
	requester.apply(pages[2], time.Now())
	test.Eq(t, reader.Position(), requester.Position())
	test.Eq(t, reader.parts, requester.parts)
	test.Eq(t, reader.used, requester.used)
	_, ok := requester.Since(Position{Epoch: 8, Next: 5}, 9)
	test.False(t, ok, test.Sprint("earlier events are unknown"))
}

// TestSnapshotIsCached checks that a snapshot is reused for maxSnapshotLag events, rebuilt after
// that or after a restart of the store, and not available for an unreachable store.
func TestSnapshotIsCached(t *testing.T) {
	h := newStore()
	_, ok := h.snapshot()
	test.False(t, ok, test.Sprint("no state yet"))
	for n := int64(1); n <= maxSnapshotLag+1; n++ {
		h.apply(&Events{Epoch: 5, Next: n + 1, Changes: changes(n, n+1)}, time.Now())
		s, ok := h.snapshot()
		must.True(t, ok)
		test.Eq(t, 2, s.next)
	}
	h.apply(&Events{Epoch: 5, Next: maxSnapshotLag + 3, Changes: changes(maxSnapshotLag+2, maxSnapshotLag+3)}, time.Now())
	s, _ := h.snapshot()
	test.Eq(t, maxSnapshotLag+3, s.next)
	h.apply(&Events{Epoch: 6, Next: 2}, time.Now())
	_, ok = h.snapshot()
	test.False(t, ok, test.Sprint("all events must be requested again"))
	h.apply(&Events{Epoch: 6, Next: 2, Changes: changes(1, 2)}, time.Now())
	s, ok = h.snapshot()
	test.True(t, ok)
	test.Eq(t, 6, s.epoch)
	h.markUnreachable()
	_, ok = h.snapshot()
	test.False(t, ok)
}

// TestInvalidPages checks that invalid pages are rejected.
func TestInvalidPages(t *testing.T) {
	good := packChanges(largeSystemChanges(2))
	for _, update := range []storeUpdate{
		{Page: &Page{Of: 1}},
		{Changes: good[:len(good)-1], Page: &Page{Of: 1}},
		{Changes: good, Page: &Page{Number: 1, Of: 1}},
		{Changes: good, Page: &Page{Number: -1, Of: 1}},
	} {
		_, err := update.events()
		test.Error(t, err)
	}
}

// TestManyStores checks that a response stays within its size limit if there are far more stores
// than fit.
func TestManyStores(t *testing.T) {
	x := NewIndex(nil, nil, zerolog.Nop())
	var stores []*Holder
	var positions, fresh []Position
	for i := range 500 {
		h := NewHolder(fmt.Sprint("store-", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), "north")
		h.apply(largeSystemEvents(i, 500), time.Now())
		stores = append(stores, h)
		p := h.Position()
		p.Next -= 9
		positions = append(positions, p)
		fresh = append(fresh, Position{Addr: h.Addr})
	}
	x.view.Store(&view{stores: stores})
	for _, list := range [][]Position{positions, fresh, append(positions[:250:250], fresh[250:]...)} {
		response := x.relayEvents(list, datagram.MaxBytes)
		test.SliceNotEmpty(t, response.Updates)
		data, err := json.Marshal(response)
		must.NoError(t, err)
		test.Less(t, datagram.MaxBytes-200, len(data), test.Sprint("leaves room for the message envelope"))
	}
}

// FuzzPage decodes and applies arbitrary bytes as a page of a snapshot.
func FuzzPage(f *testing.F) {
	f.Add([]byte(packChanges(largeSystemChanges(2))), 0, 1)
	f.Add([]byte{0, 0}, 1, 2)
	f.Fuzz(func(t *testing.T, data []byte, number, of int) {
		update := storeUpdate{Position: Position{Epoch: 3, Next: 4}, Changes: data, Page: &Page{Number: number, Of: of}}
		e, err := update.events()
		if err != nil {
			return
		}
		h := newStore()
		h.apply(e, time.Now())
		test.True(t, h.next == 4 == (number == 0 && of == 1))
	})
}
