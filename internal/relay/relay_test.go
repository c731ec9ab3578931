package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
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

// drop takes batches and keeps nothing.
type drop struct{}

func (drop) Apply(follow.Batch) {}

func record(key, value string, offset int64) follow.Record {
	r := follow.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// tell returns records as they are told.
func tell(records ...follow.Record) []toldRecord {
	var list []toldRecord
	for _, r := range records {
		list = append(list, told(r))
	}
	return list
}

// noise is text of a length that doesn't get shorter when it is compressed.
func noise(n int) string {
	random := rand.NewChaCha8([32]byte{1})
	data := make([]byte, n)
	_, _ = random.Read(data)
	return string(data)
}

// sameFirst takes values with the same first letter for the same.
func sameFirst(before, after []byte) bool { return before[0] == after[0] }

func filled(provenAt time.Time) *Copy {
	c := &Copy{Sink: drop{}, Same: sameFirst}
	c.Apply(follow.Batch{Snapshot: true, Records: []follow.Record{record("a", "x1", 3), record("b", "y1", 7)}, Next: 10, ProvenAt: provenAt})
	return c
}

// storeTopic counts reads, and can be away.
type storeTopic struct {
	mu    sync.Mutex
	reads int
	away  bool
}

var errAway = errors.New("away")

func (s *storeTopic) Newest(context.Context) (follow.Page, error) { return follow.Page{Next: 10}, nil }

func (s *storeTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return follow.Page{}, errAway
	}
	return follow.Page{Next: from}, nil
}

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
	long.Apply(follow.Batch{Records: []follow.Record{record("long", noise(datagram.MaxBytes), 10)}, Next: 11, ProvenAt: time.Now()})
	old := filled(time.Now().Add(-MaxAge))
	young := filled(time.Now().Add(-time.Second))
	young.Apply(follow.Batch{Records: []follow.Record{record("b", "z", 10)}, Next: 11, ProvenAt: time.Now().Add(-time.Second)})
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

// TestLongListsAreTold reads more records than an answer holds from another node, without the store,
// and passes all of them on with the age that the last answer told.
func TestLongListsAreTold(t *testing.T) {
	const records = 400
	held := filled(time.Now().Add(-time.Second))
	var want []follow.Record
	for i := range int64(records) {
		want = append(want, record(fmt.Sprint("n", i), strings.Repeat("x", 200), 10+i))
	}
	held.Apply(follow.Batch{Records: want, Next: 10 + records, ProvenAt: time.Now().Add(-time.Second)})
	own, _ := relayOf(t, nil)
	_, reader := relayOf(t, held)
	store := &storeTopic{}
	topic := patientTopic(own, store, reader)
	page, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, want, page.Records)
	test.Eq(t, 10+records, page.Next)
	test.GreaterEq(t, time.Second, page.Age)
	test.Eq(t, 0, store.reads)
	test.True(t, topic.Relayed())
}

// TestLongConfigurationsAreTold reads a configuration of 50 routes, which no message holds, from
// another node.
func TestLongConfigurationsAreTold(t *testing.T) {
	value := strings.Repeat(`{"name":"r-uk82esn","hostname":"xara68.example","path-prefix":"/bohu524/","timeout-ms":800},`, 250)
	held := filled(time.Now())
	held.Apply(follow.Batch{Records: []follow.Record{record("config", value, 10)}, Next: 11, ProvenAt: time.Now()})
	own, _ := relayOf(t, nil)
	_, reader := relayOf(t, held)
	store := &storeTopic{}
	page, err := patientTopic(own, store, reader).Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, []follow.Record{record("config", value, 10)}, page.Records)
	test.Eq(t, 0, store.reads)
}

// TestOldestCopy believes an older copy of a topic whose reads wait longer.
func TestOldestCopy(t *testing.T) {
	own, _ := relayOf(t, nil)
	_, reader := relayOf(t, filled(time.Now().Add(-2*MaxAge)))
	store := &storeTopic{}
	topic := patientTopic(own, store, reader)
	topic.MaxAge = 3 * MaxAge
	_, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, 0, store.reads)
	topic.MaxAge = 0
	_, err = topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, 1, store.reads)
}

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
	held.Apply(follow.Batch{Records: []follow.Record{record("config", noise(datagram.MaxBytes), 10)}, Next: 11, ProvenAt: time.Now()})
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
// proof is not later than the copy's.
func TestProofOfACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &Copy{Sink: drop{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := &lastProof{}
		f := &follow.Follower{
			Name: "t", Topic: slowCopy{reader}, Sink: seen, Log: zerolog.Nop(), Retry: 100 * time.Millisecond,
			Pause: func() time.Duration { return 400 * time.Millisecond },
		}
		proven := time.Now()
		reader.Apply(follow.Batch{Snapshot: true, Next: 10, ProvenAt: proven})
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		for i := range 200 {
			time.Sleep(70 * time.Millisecond)
			if i%13 == 0 && (i < 60 || i > 120) { // the reader loses the store for 4 s
				proven = time.Now().Add(-30 * time.Millisecond)
				reader.Apply(follow.Batch{Next: 10, ProvenAt: proven})
			}
			test.False(t, seen.at().After(proven), test.Sprint("step ", i))
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

// lastProof keeps the newest proof.
type lastProof struct {
	mu     sync.Mutex
	proven time.Time
}

func (l *lastProof) Apply(b follow.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.Snapshot {
		l.proven = b.ProvenAt
	}
}

func (l *lastProof) at() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proven
}
