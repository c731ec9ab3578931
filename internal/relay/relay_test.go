package relay

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// relayOf returns a relay that runs, with a copy of the topic t if there is one.
func relayOf(t *testing.T, c *Copy) (*Relay, netip.AddrPort) {
	t.Helper()
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	r := New(conn)
	if c != nil {
		r.Serve("t", c)
	}
	go func() { _ = conn.Run(t.Context()) }()
	t.Cleanup(func() { conn.Close() })
	return r, netip.MustParseAddrPort(conn.Addr())
}

// TestAsksAnotherNode reads from a copy, and from the store where the copy is too old,
// too long or not there.
func TestAsksAnotherNode(t *testing.T) {
	long := filled(time.Now())
	long.Apply(follow.Batch{Records: []follow.Record{record("long", noise(datagram.MaxBytes), 10)}, Next: 11, ConfirmedAt: time.Now()})
	old := filled(time.Now().Add(-MaxAge))
	young := filled(time.Now().Add(-time.Second))
	young.Apply(follow.Batch{Records: []follow.Record{record("b", "z", 10)}, Next: 11, ConfirmedAt: time.Now().Add(-time.Second)})
	for _, tc := range []struct {
		name    string
		copy    *Copy
		relayed bool
	}{{"young", young, true}, {"old", old, false}, {"too long", long, false}, {"not there", nil, false}} {
		t.Run(tc.name, func(t *testing.T) {
			own, _ := relayOf(t, nil)
			_, reader := relayOf(t, tc.copy)
			store := &storeTopic{}
			topic := &Topic{Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Readers: func() []netip.AddrPort { return []netip.AddrPort{reader} }, Backups: none}
			page, err := topic.Read(t.Context(), 10, 0)
			must.NoError(t, err)
			test.Eq(t, tc.relayed, topic.Relayed())
			test.Eq(t, tc.relayed, store.reads == 0)
			if tc.relayed {
				test.Eq(t, []follow.Record{record("b", "z", 10)}, page.Records)
				test.GreaterEq(t, time.Second, page.Age)
			} else {
				test.Eq(t, 0, page.Age)
			}
		})
	}
}

// none are no nodes to ask.
func none() []netip.AddrPort { return nil }

// TestAsksABackup reads from a node that the store serves where it serves this one not,
// and reports the store's own error where that one can't tell either.
func TestAsksABackup(t *testing.T) {
	own, _ := relayOf(t, nil)
	_, cutOff := relayOf(t, filled(time.Now().Add(-MaxAge)))
	_, served := relayOf(t, filled(time.Now()))
	store := &storeTopic{}
	topic := &Topic{Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Readers: none, Backups: func() []netip.AddrPort { return []netip.AddrPort{cutOff, served} }}
	_, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.False(t, topic.Relayed(), test.Sprint("the store answers"))

	store.away = true
	_, err = topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errAway)
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
	test.True(t, topic.Relayed())

	store.away = false
	_, err = topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.False(t, topic.Relayed(), test.Sprint("the store is back"))
}

// TestStoreThatFailsIsAskedSeldom has a node whose readers can't tell leave a store that
// failed alone for a while.
func TestStoreThatFailsIsAskedSeldom(t *testing.T) {
	own, _ := relayOf(t, nil)
	_, bad := relayOf(t, filled(time.Now().Add(-MaxAge)))
	store := &storeTopic{away: true}
	pause := time.Hour
	topic := &Topic{
		Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Backups: none,
		Readers: func() []netip.AddrPort { return []netip.AddrPort{bad} }, Fallback: func() time.Duration { return pause },
	}
	for range 5 {
		_, err := topic.Read(t.Context(), 10, 0)
		test.Error(t, err)
	}
	test.Eq(t, 1, store.reads)
	_, served := relayOf(t, filled(time.Now()))
	topic.Backups = func() []netip.AddrPort { return []netip.AddrPort{served} }
	_, err := topic.Read(t.Context(), 10, 0)
	test.NoError(t, err, test.Sprint("a node that reads the store is asked meanwhile"))
	test.Eq(t, 1, store.reads)
	topic.Backups = none
	pause, store.away = 0, false
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
}

// patientTopic reads from one reader, and leaves a store that failed alone for an hour where it may.
func patientTopic(own *Relay, store *storeTopic, reader netip.AddrPort) *Topic {
	return &Topic{
		Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Backups: none,
		Readers: func() []netip.AddrPort { return []netip.AddrPort{reader} }, Fallback: func() time.Duration { return time.Hour },
	}
}

// TestStoreIsAskedWhereReadersCantTell has a node that was cut off ask the store at once when
// its readers answer again, but hold nothing so old, as the topic was compacted meanwhile.
func TestStoreIsAskedWhereReadersCantTell(t *testing.T) {
	own, _ := relayOf(t, nil)
	_, reader := relayOf(t, filled(time.Now()))
	store := &storeTopic{away: true}
	topic := patientTopic(own, store, reader)
	_, err := topic.Read(t.Context(), 5, 0)
	test.ErrorIs(t, err, errAway)
	store.away = false
	_, err = topic.Read(t.Context(), 5, 0)
	test.NoError(t, err)
}

// TestStoreIsAskedForLongRecords plays an outage in which a record came that is too long for a
// message between nodes, as a configuration of a hundred routes is: after it the store is
// asked at once, however long it is left alone else.
func TestStoreIsAskedForLongRecords(t *testing.T) {
	own, _ := relayOf(t, nil)
	held := filled(time.Now())
	held.Apply(follow.Batch{Records: []follow.Record{record("config", noise(datagram.MaxBytes), 10)}, Next: 11, ConfirmedAt: time.Now()})
	_, reader := relayOf(t, held)
	store := &storeTopic{away: true}
	topic := patientTopic(own, store, reader)
	_, err := topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errAway)
	store.away = false
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
}

// TestStoreIsAskedWhereReadersAreSilent has a node that was cut off from its readers and the
// store ask the store as soon as it may answer.
func TestStoreIsAskedWhereReadersAreSilent(t *testing.T) {
	own, _ := relayOf(t, nil)
	silent := netip.MustParseAddrPort("127.0.0.1:9")
	store := &storeTopic{away: true}
	topic := patientTopic(own, store, silent)
	_, err := topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errAway)
	store.away = false
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
}

// TestTurnsToAnotherReader asks the next reader after one that failed, and the store
// meanwhile.
func TestTurnsToAnotherReader(t *testing.T) {
	own, _ := relayOf(t, nil)
	_, bad := relayOf(t, nil)
	_, good := relayOf(t, filled(time.Now()))
	store := &storeTopic{away: true}
	topic := &Topic{Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Readers: func() []netip.AddrPort { return []netip.AddrPort{bad, good} }, Backups: none}
	_, err := topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errAway)
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
	test.Eq(t, 1, store.reads)
}

// TestProofOfACopy plays a follower that asks a copy: at each moment the time of its
// confirmation is not later than the copy's.
func TestProofOfACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &Copy{Sink: drop{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := &lastConfirmed{}
		f := &follow.Follower{
			Name: "t", Topic: slowCopy{reader}, Sink: seen, Log: zerolog.Nop(), Retry: 100 * time.Millisecond,
			Pause: func() time.Duration { return 400 * time.Millisecond },
		}
		confirmedAt := time.Now()
		reader.Apply(follow.Batch{Snapshot: true, Next: 10, ConfirmedAt: confirmedAt})
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		for i := range 200 {
			time.Sleep(70 * time.Millisecond)
			if i%13 == 0 && (i < 60 || i > 120) { // the reader loses the store for 4 s
				confirmedAt = time.Now().Add(-30 * time.Millisecond)
				reader.Apply(follow.Batch{Next: 10, ConfirmedAt: confirmedAt})
			}
			test.False(t, seen.at().After(confirmedAt), test.Sprint("step ", i))
		}
		test.False(t, seen.at().IsZero())
		cancel()
		must.NoError(t, <-done)
	})
}

// slowCopy is a copy whose answers take long in both directions.
type slowCopy struct{ *Copy }

func (c slowCopy) Newest(context.Context) (follow.Page, error) {
	return follow.Page{Next: 10, Age: time.Hour}, nil
}

func (c slowCopy) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	time.Sleep(300 * time.Millisecond)
	p, err := c.Since(from, answerBytes)
	page := follow.Page{Next: p.next, Age: p.age}
	time.Sleep(700 * time.Millisecond)
	return page, err
}

// lastConfirmed keeps the latest time at which the state was confirmed.
type lastConfirmed struct {
	mu          sync.Mutex
	confirmedAt time.Time
}

func (l *lastConfirmed) Apply(b follow.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.Snapshot {
		l.confirmedAt = b.ConfirmedAt
	}
}

func (l *lastConfirmed) at() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt
}
