package kept

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
)

func change(number int64, tokens int) Change {
	return Change{Number: number, Part: Part{Salt: "1/m/", ID: fmt.Sprint("p", number%7)}, Tokens: tokens}
}

func changes(from, to int64) []Change {
	var list []Change
	for n := from; n < to; n++ {
		list = append(list, change(n, int(n)))
	}
	return list
}

// TestJournalTellsTheSame has a node learn through another what the store told that one,
// in answers of any length, and nothing of another epoch or across a gap.
func TestJournalTellsTheSame(t *testing.T) {
	reader, asker := newStore(), newStore()
	reader.apply(&Events{Epoch: 5, Next: 40, Changes: changes(1, 40)}, time.Now())
	asker.apply(&Events{Epoch: 5, Next: 20, Changes: changes(1, 20)}, time.Now())
	for range 10 {
		e, ok := reader.Since(asker.Position(), 3)
		must.True(t, ok)
		asker.apply(&e, time.Now())
	}
	test.Eq(t, reader.parts, asker.parts)
	test.Eq(t, reader.Position(), asker.Position())

	reader.apply(&Events{Epoch: 5, Next: 90, Gap: true, Changes: changes(80, 90)}, time.Now())
	_, ok := reader.Since(asker.Position(), 3)
	test.False(t, ok, test.Sprint("events are missing"))
	_, ok = reader.Since(Position{Epoch: 5, Next: 90}, 3)
	test.True(t, ok)
	_, ok = reader.Since(Position{Epoch: 4, Next: 90}, 3)
	test.False(t, ok, test.Sprint("another epoch"))
	reader.apply(&Events{Epoch: 6, Next: 2}, time.Now())
	_, ok = reader.Since(Position{Epoch: 6, Next: 1}, 3)
	test.False(t, ok, test.Sprint("all events are to be asked for"))
	reader.failed()
	_, ok = reader.Since(Position{Epoch: 6, Next: 0}, 3)
	test.False(t, ok, test.Sprint("it can't tell what happened since"))
}

// TestJournalIsBounded forgets the oldest changes.
func TestJournalIsBounded(t *testing.T) {
	h := newStore()
	h.apply(&Events{Epoch: 5, Next: 3000, Changes: changes(1, 3000)}, time.Now())
	_, ok := h.Since(Position{Epoch: 5, Next: 1}, 10)
	test.False(t, ok)
	e, ok := h.Since(Position{Epoch: 5, Next: 2500}, 2000)
	must.True(t, ok)
	test.Len(t, 500, e.Changes)
	test.Eq(t, 3000, e.Next)
}

// counted counts questions to a store that has had five events.
type counted struct {
	mu    sync.Mutex
	asked int
}

func (c *counted) Events(_ context.Context, _ string, since int64, _ time.Duration) (Events, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	e := Events{Epoch: 5, Next: 6, ClockMS: 77}
	if since < 6 {
		e.Changes = changes(max(since, 1), 6)
	}
	return e, nil
}

func (*counted) Free(context.Context, string, []Part, int64) error { return nil }

func (c *counted) questions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

// nodeOf returns the index of a node that follows one store, and what it tells others.
func nodeOf(t *testing.T, source Source) (*Peers, netip.AddrPort) {
	t.Helper()
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, 20 * time.Millisecond }, zerolog.Nop())
	p := &Peers{Index: x, Conn: conn, Readers: func() []netip.AddrPort { return nil }}
	p.Serve()
	x.view.Store(&view{engines: map[string]*Holder{}, stores: []*Holder{newStore()}})
	go func() { _ = conn.Run(t.Context()) }()
	t.Cleanup(func() { conn.Close() })
	return p, netip.MustParseAddrPort(conn.Addr())
}

// TestAsksAnotherNode learns all from another node, and asks the store no more.
func TestAsksAnotherNode(t *testing.T) {
	reader, addr := nodeOf(t, &counted{})
	asker, _ := nodeOf(t, &counted{})
	for _, x := range []*Index{reader.Index, asker.Index} {
		x.Take(x.Stores()[0], &Events{Epoch: 5, Next: 1, ClockMS: 70})
	}
	reader.Index.Take(reader.Index.Stores()[0], &Events{Epoch: 5, Next: 6, Changes: changes(1, 6), ClockMS: 77})
	must.NoError(t, asker.ask(t.Context(), addr))
	store := asker.Index.Stores()[0]
	test.Eq(t, reader.Index.Stores()[0].parts, store.parts)
	test.GreaterEq(t, 77, asker.Index.ClockMS())
	test.Positive(t, store.relayedFor(time.Now()))
	test.Eq(t, 0, store.relayedFor(time.Now().Add(relayedFor)))
	reader.Index.Stores()[0].failed()
	must.NoError(t, asker.ask(t.Context(), addr))
	test.Error(t, asker.ask(t.Context(), netip.MustParseAddrPort("127.0.0.1:9")))
}

// TestRelayedHolderIsNotAsked asks a store again once the other node falls silent.
func TestRelayedHolderIsNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &counted{}
		x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, 100 * time.Millisecond }, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		store := newStore()
		until := time.Now().Add(5 * time.Second)
		store.relayed.Store(&until)
		x.Follow(ctx, nil, []*Holder{store})
		time.Sleep(4900 * time.Millisecond)
		test.Eq(t, 0, source.questions())
		time.Sleep(time.Second)
		test.Positive(t, source.questions())
		cancel()
		x.Wait()
	})
}

// TestFewEventsWhereTheLinkIsFull tells fewer changes at once where the connection has few bytes
// to spare; the asker learns all of them all the same.
func TestFewEventsWhereTheLinkIsFull(t *testing.T) {
	const events = 950
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	conn.Bound(1) // and one longest message
	reader := &Peers{Index: NewIndex(&counted{}, nil, zerolog.Nop()), Conn: conn}
	reader.Index.view.Store(&view{stores: []*Holder{newStore()}})
	reader.Serve()
	go func() { _ = conn.Run(t.Context()) }()
	t.Cleanup(func() { conn.Close() })
	asker, _ := nodeOf(t, &counted{})
	for _, x := range []*Index{reader.Index, asker.Index} {
		x.Take(x.Stores()[0], &Events{Epoch: 5, Next: 1, ClockMS: 70})
	}
	reader.Index.Take(reader.Index.Stores()[0], &Events{Epoch: 5, Next: events, Changes: changes(1, events), ClockMS: 77})
	var told []int64
	for known := int64(1); known < events; known = asker.Index.Stores()[0].Position().Next {
		must.NoError(t, asker.ask(t.Context(), netip.MustParseAddrPort(conn.Addr())))
		told = append(told, asker.Index.Stores()[0].Position().Next-known)
	}
	test.Eq(t, datagram.MaxBytes/2/changeBytes, told[0])
	test.Eq(t, leastChanges, told[len(told)-2])
	test.Eq(t, reader.Index.Stores()[0].parts, asker.Index.Stores()[0].parts)
}
