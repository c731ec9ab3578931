package kvindex

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

// TestRelayedChangesMatchStore checks that relayed changes yield the same state as the store's own
// events, with responses of any length, and that nothing is relayed from another epoch or across a
// gap.
func TestRelayedChangesMatchStore(t *testing.T) {
	reader, requester := newStore(), newStore()
	reader.apply(&Events{Epoch: 5, Next: 40, Changes: changes(1, 40)}, time.Now())
	requester.apply(&Events{Epoch: 5, Next: 20, Changes: changes(1, 20)}, time.Now())
	for range 10 {
		e, ok := reader.Since(requester.Position(), 3)
		must.True(t, ok)
		requester.apply(&e, time.Now())
	}
	test.Eq(t, reader.parts, requester.parts)
	test.Eq(t, reader.Position(), requester.Position())

	reader.apply(&Events{Epoch: 5, Next: 90, Gap: true, Changes: changes(80, 90)}, time.Now())
	_, ok := reader.Since(requester.Position(), 3)
	test.False(t, ok, test.Sprint("events are missing"))
	_, ok = reader.Since(Position{Epoch: 5, Next: 90}, 3)
	test.True(t, ok)
	_, ok = reader.Since(Position{Epoch: 4, Next: 90}, 3)
	test.False(t, ok, test.Sprint("another epoch"))
	reader.apply(&Events{Epoch: 6, Next: 2}, time.Now())
	_, ok = reader.Since(Position{Epoch: 6, Next: 1}, 3)
	test.False(t, ok, test.Sprint("all events must be requested again"))
	reader.markUnreachable()
	_, ok = reader.Since(Position{Epoch: 6, Next: 0}, 3)
	test.False(t, ok, test.Sprint("the store is unreachable, so later events are unknown"))
}

// TestJournalIsBounded checks that the oldest changes are discarded.
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

// countingSource is a source that counts requests. Its stores have had five events.
type countingSource struct {
	mu       sync.Mutex
	requests int
}

func (c *countingSource) Events(_ context.Context, _ string, since int64, _ time.Duration) (Events, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	e := Events{Epoch: 5, Next: 6, ClockMS: 77}
	if since < 6 {
		e.Changes = changes(max(since, 1), 6)
	}
	return e, nil
}

func (*countingSource) Free(context.Context, string, FreeOrder) error { return nil }

func (c *countingSource) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// busyHostTimeout is the request timeout of tests whose nodes all respond: it passes only if a
// response is missing, however slow the host is.
const busyHostTimeout = time.Minute

// newTestNode starts a node that tracks one store and serves other nodes. It returns the node and
// its address.
func newTestNode(t *testing.T, source Source) (*Peers, netip.AddrPort) {
	t.Helper()
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, 20 * time.Millisecond }, zerolog.Nop())
	p := &Peers{Index: x, Conn: conn, Readers: func() []netip.AddrPort { return nil }, RequestTimeout: busyHostTimeout}
	p.Serve()
	x.view.Store(&view{engines: map[string]*Holder{}, stores: []*Holder{newStore()}})
	go func() { _ = conn.Run(t.Context()) }()
	t.Cleanup(func() { conn.Close() })
	return p, netip.MustParseAddrPort(conn.Addr())
}

// TestRequestFromAnotherNode checks that a node receives all events through another node and then
// doesn't request them from the store.
func TestRequestFromAnotherNode(t *testing.T) {
	reader, addr := newTestNode(t, &countingSource{})
	requester, _ := newTestNode(t, &countingSource{})
	for _, x := range []*Index{reader.Index, requester.Index} {
		x.Apply(x.Stores()[0], &Events{Epoch: 5, Next: 1, ClockMS: 70})
	}
	reader.Index.Apply(reader.Index.Stores()[0], &Events{Epoch: 5, Next: 6, Changes: changes(1, 6), ClockMS: 77})
	must.NoError(t, requester.request(t.Context(), addr))
	store := requester.Index.Stores()[0]
	test.Eq(t, reader.Index.Stores()[0].parts, store.parts)
	test.GreaterEq(t, 77, requester.Index.ClockMS())
	test.Positive(t, store.relayRemaining(time.Now()))
	test.Eq(t, 0, store.relayRemaining(time.Now().Add(relayLifetime)))
	reader.Index.Stores()[0].markUnreachable()
	must.NoError(t, requester.request(t.Context(), addr))
	requester.RequestTimeout = 0
	test.Error(t, requester.request(t.Context(), netip.MustParseAddrPort("127.0.0.1:9")))
}

// TestRequestsResumeAfterRelayExpiry checks that a store is requested again once the relayed
// updates expire.
func TestRequestsResumeAfterRelayExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingSource{}
		x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, 100 * time.Millisecond }, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		store := newStore()
		until := time.Now().Add(5 * time.Second)
		store.relayedUntil.Store(&until)
		x.Follow(ctx, nil, []*Holder{store})
		time.Sleep(4900 * time.Millisecond)
		test.Eq(t, 0, source.count())
		time.Sleep(time.Second)
		test.Positive(t, source.count())
		cancel()
		x.Wait()
	})
}

// TestFewChangesOnFullLink checks that responses hold fewer changes if the connection has
// little spare bandwidth, and that the requesting node still receives all of them.
func TestFewChangesOnFullLink(t *testing.T) {
	const events = 950
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	conn.LimitResponses(1) // plus one message of maximum size
	reader := &Peers{Index: NewIndex(&countingSource{}, nil, zerolog.Nop()), Conn: conn}
	reader.Index.view.Store(&view{stores: []*Holder{newStore()}})
	reader.Serve()
	go func() { _ = conn.Run(t.Context()) }()
	t.Cleanup(func() { conn.Close() })
	requester, _ := newTestNode(t, &countingSource{})
	for _, x := range []*Index{reader.Index, requester.Index} {
		x.Apply(x.Stores()[0], &Events{Epoch: 5, Next: 1, ClockMS: 70})
	}
	reader.Index.Apply(reader.Index.Stores()[0], &Events{Epoch: 5, Next: events, Changes: changes(1, events), ClockMS: 77})
	var counts []int64
	for known := int64(1); known < events; known = requester.Index.Stores()[0].Position().Next {
		must.NoError(t, requester.request(t.Context(), netip.MustParseAddrPort(conn.Addr())))
		counts = append(counts, requester.Index.Stores()[0].Position().Next-known)
	}
	test.Eq(t, datagram.MaxBytes/2/changeBytes, counts[0])
	test.Eq(t, minChanges, counts[len(counts)-2])
	test.Eq(t, reader.Index.Stores()[0].parts, requester.Index.Stores()[0].parts)
}
