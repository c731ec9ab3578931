package brittle_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/senders"
)

// link carries calls between two services in memory.
type link struct {
	handlers map[string]datagram.Handler
	peer     *link
	silent   atomic.Bool // calls are lost
	calls    atomic.Int64
}

func newLink() *link { return &link{handlers: make(map[string]datagram.Handler)} }

func (l *link) Handle(method string, h datagram.Handler) { l.handlers[method] = h }

func (l *link) Call(ctx context.Context, _ netip.AddrPort, method string, params, result any) error {
	l.calls.Add(1)
	if l.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := l.peer.handlers[method](data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// newPair returns a service that borrows, and the one that lends it the slots of all endpoints.
func newPair(t *testing.T) (borrower *brittle.Service, conn *link) {
	t.Helper()
	conn, other := newLink(), newLink()
	conn.peer = other
	config := func(node string, c brittle.Conn) brittle.Config {
		return brittle.Config{
			Node: node, Conn: c, Changed: func() {}, Now: time.Now, Log: zerolog.Nop(),
			View: func(string, int) senders.View { return senders.View{Generation: 1, Nodes: []string{"lender"}} },
			Addr: func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, true },
			Load: func(string, int64) brittle.Load { return brittle.Load{} },
		}
	}
	brittle.New(config("lender", other))
	return brittle.New(config("borrower", conn)), conn
}

func oneSlot() *brittle.Endpoint { return &brittle.Endpoint{ID: "e", Slots: 1, Refusals: 3} }

// TestSlotIsLentToOneRequestAtATime checks the way of a slot between two nodes, also of a request that lasts for
// longer than a loan, and of one whose end is lost at first.
func TestSlotIsLentToOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		borrower, conn := newPair(t)
		first := borrower.Borrow(t.Context(), oneSlot())
		must.NotNil(t, first)
		time.Sleep(2 * lifetime)
		test.Nil(t, borrower.Borrow(t.Context(), oneSlot()), test.Sprint("renewed"))
		test.Positive(t, borrower.Wait(oneSlot(), time.Now()))
		conn.silent.Store(true)
		first.Release(false)
		first.Release(true) // the second release is ignored
		time.Sleep(200 * time.Millisecond)
		conn.silent.Store(false)
		time.Sleep(500 * time.Millisecond)
		second := borrower.Borrow(t.Context(), oneSlot())
		must.NotNil(t, second)
		second.Release(false)
		synctest.Wait()
		calls := conn.calls.Load()
		time.Sleep(time.Minute)
		test.Eq(t, calls, conn.calls.Load(), test.Sprint("nothing is renewed after its end"))
	})
}

// TestSilentLenderIsNotAskedAgainAtOnce checks that a request for an endpoint whose lender is gone fails soon, that
// others spare it, and that a slot which it lent all the same is free again.
func TestSilentLenderIsNotAskedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		borrower, conn := newPair(t)
		conn.silent.Store(true)
		asked := time.Now()
		test.Nil(t, borrower.Borrow(t.Context(), oneSlot()))
		test.Less(t, time.Second/2, time.Since(asked))
		test.Positive(t, borrower.Wait(oneSlot(), time.Now()))
		conn.silent.Store(false)
		time.Sleep(time.Second)
		slot := borrower.Borrow(t.Context(), oneSlot())
		must.NotNil(t, slot)
		slot.Release(false)
		synctest.Wait()
	})
}

// TestInvalidClaimsAreRejected checks that a claim out of range lends nothing.
func TestInvalidClaimsAreRejected(t *testing.T) {
	_, conn := newPair(t)
	var reply struct{ Granted bool }
	for _, c := range []brittle.Claim{{}, {Lease: "l"}, {Lease: "l", Endpoint: "e", Slots: -1}, {Lease: "l", Endpoint: "e", Tokens: -1}} {
		test.Error(t, conn.Call(t.Context(), netip.AddrPort{}, "brittle.lend", &c, &reply))
	}
}
