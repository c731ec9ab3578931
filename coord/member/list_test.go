package member

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// network is an in-memory Transport that connects lists by address.
type network struct {
	mu    sync.Mutex
	lists map[string]*List
}

var _ Transport = (*network)(nil)

func (n *network) Exchange(ctx context.Context, addr string, req *Message) (*Message, error) {
	n.mu.Lock()
	l := n.lists[addr]
	n.mu.Unlock()
	if l == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l.HandleExchange(req), nil
}

func (n *network) set(addr string, l *List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lists[addr] = l
}

// stateOf returns the state of a member in the view of l.
func stateOf(t *testing.T, l *List, id string) State {
	t.Helper()
	m, ok := l.View().Lookup(id)
	must.True(t, ok)
	return m.State
}

// TestListLifecycle runs seven lists through a leave, a crash, a restart, the
// start of a node that is not on the roster, the removal of dead members from
// the roster, and the isolation of a node.
func TestListLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &network{lists: make(map[string]*List)}
		roster := newSim(7, 1).roster()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		start := func(e RosterEntry, seed uint64) (*List, context.CancelFunc) {
			l, err := New(Config{Self: e, Transport: net, Seed: seed})
			must.NoError(t, err)
			l.SetRoster(roster)
			nodeCtx, stop := context.WithCancel(ctx)
			wg.Go(func() { test.ErrorIs(t, l.Run(nodeCtx), context.Canceled) })
			net.set(e.Addr, l)
			return l, func() { stop(); net.set(e.Addr, nil) }
		}
		var lists []*List
		var stops []context.CancelFunc
		for i, e := range roster {
			l, stop := start(e, uint64(i))
			lists, stops = append(lists, l), append(stops, stop)
		}
		time.Sleep(15 * time.Second)
		first := lists[0]
		old, _ := first.View().Lookup(roster[6].ID)
		must.NotEq(t, 0, old.Incarnation)

		lists[5].Leave()
		time.Sleep(LeaveBound)
		test.Eq(t, Leaving, stateOf(t, first, roster[5].ID))

		updates, unsubscribe := first.Subscribe()
		must.Eq(t, first.View().Version, (<-updates).Version)
		stops[6]()
		time.Sleep(DetectBound)
		test.Eq(t, Dead, stateOf(t, first, roster[6].ID))
		test.Eq(t, first.View().Version, (<-updates).Version)
		unsubscribe()

		lists[6], stops[6] = start(roster[6], 99)
		time.Sleep(5 * time.Second)
		restarted, _ := first.View().Lookup(roster[6].ID)
		test.Eq(t, Alive, restarted.State)
		test.NotEq(t, old.Incarnation, restarted.Incarnation)
		test.Greater(t, old.Seq, restarted.Seq)

		unlisted, stopUnlisted := start(RosterEntry{ID: "new", Addr: "10.9.9.9:1"}, 7)
		time.Sleep(10 * time.Second)
		test.Eq(t, Alive, stateOf(t, first, "new"))
		test.Eq(t, Alive, stateOf(t, unlisted, roster[3].ID))

		stopUnlisted()
		stops[6]()
		time.Sleep(DetectBound)
		for _, l := range lists[:6] {
			l.SetRoster(roster[:6])
		}
		time.Sleep(2 * deadRetention)
		test.Len(t, 6, first.View().Members)

		for i := 1; i < 6; i++ {
			stops[i]()
		}
		time.Sleep(2 * isolationTimeout)
		test.True(t, first.View().Isolated)
		test.Eq(t, Alive, stateOf(t, first, roster[1].ID))
		cancel()
		wg.Wait()
	})
}

func TestNewRejectsInvalidSelf(t *testing.T) {
	for _, self := range []RosterEntry{{}, {ID: "a"}, {Addr: "b"}, {ID: string(make([]byte, 65)), Addr: "b"}} {
		_, err := New(Config{Self: self})
		test.True(t, errors.Is(err, ErrInvalidSelf))
	}
}

// refusingTransport fails every exchange immediately, like a refused
// connection.
type refusingTransport struct {
	mu        sync.Mutex
	exchanges int
}

func (r *refusingTransport) Exchange(context.Context, string, *Message) (*Message, error) {
	r.mu.Lock()
	r.exchanges++
	r.mu.Unlock()
	time.Sleep(200 * time.Microsecond)
	return nil, errors.New("connection refused")
}

// TestImmediateFailuresAreRateLimited checks that a node that cannot reach any
// peer starts few exchanges. Exchanges that fail immediately, rather than after
// a timeout, must not cause a burst of retries and replacement checks.
func TestImmediateFailuresAreRateLimited(t *testing.T) {
	const members, duration, perSecond = 50, 30 * time.Second, 15
	synctest.Test(t, func(t *testing.T) {
		transport := &refusingTransport{}
		l, err := New(Config{Self: RosterEntry{ID: "n0", Addr: "a0"}, Transport: transport, Seed: 1})
		must.NoError(t, err)
		var roster []RosterEntry
		for i := range members {
			roster = append(roster, RosterEntry{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)})
		}
		l.SetRoster(roster)
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		_ = l.Run(ctx)
		must.Positive(t, transport.exchanges)
		must.LessEq(t, perSecond*int(duration.Seconds()), transport.exchanges)
	})
}
