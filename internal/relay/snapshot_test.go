package relay

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// largeCopy returns a copy of many records, among them removed ones, that was current a second ago.
func largeCopy(records int) *Copy {
	c := &Copy{Sink: discardSink{}}
	b := follow.Batch{Snapshot: true, ConfirmedAt: time.Now().Add(-time.Second), Next: int64(records)}
	for i := range records {
		value := fmt.Sprintf(`{"service":"s","address":"10.0.%d.%d:8080","zone":"d1","state":"ready","seq":%d}`, i/250, i%250, i*7919%1000)
		b.Records = append(b.Records, record(fmt.Sprint("i-", i*7919%records), value, int64(i)))
	}
	c.Apply(b)
	c.Apply(follow.Batch{Records: []follow.Record{{Key: "i-0", Offset: int64(records)}}, Next: int64(records) + 1, ConfirmedAt: b.ConfirmedAt})
	return c
}

func existing(c *Copy) []follow.Record {
	var list []follow.Record
	for _, r := range c.latest {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b follow.Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// newestTopic is a store whose newest records can be read.
type newestTopic struct {
	storeTopic
	newest int // calls of Newest
}

func (s *newestTopic) Newest(context.Context) (follow.Page, error) {
	s.newest++
	return follow.Page{Next: 7}, nil
}

func snapshotTopic(own *Relay, store follow.Topic, readers ...netip.AddrPort) *Topic {
	return &Topic{
		Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Backups: noNodes, RequestTimeout: busyHostTimeout,
		Readers: func() []netip.AddrPort { return readers }, MayReadAll: func() bool { return false }, NeverForStale: true,
	}
}

// TestNewestFromReaders checks that all records are read from another node, with the age of its copy
// and without the store, and that changes since then can be read from there.
func TestNewestFromReaders(t *testing.T) {
	const records = 10_000
	source := largeCopy(records)
	own, _ := startRelay(t, nil)
	_, reader := startRelay(t, source)
	store := &newestTopic{}
	topic := snapshotTopic(own, store, reader)
	topic.MaxAge = busyHostTimeout
	page, err := topic.Newest(t.Context())
	must.NoError(t, err)
	slices.SortFunc(page.Records, func(a, b follow.Record) int { return strings.Compare(a.Key, b.Key) })
	test.Eq(t, existing(source), page.Records)
	test.Eq(t, records+1, page.Next)
	test.GreaterEq(t, time.Second, page.Age)
	test.True(t, topic.Relayed())
	next, err := topic.Read(t.Context(), page.Next, 0)
	must.NoError(t, err)
	test.SliceEmpty(t, next.Records)
	test.Eq(t, 0, store.newest+store.reads)
}

// TestSnapshotIsSmall checks that the registry of the largest system takes a tenth of its bytes, so
// that all nodes of a failure domain can read it from one node within seconds.
func TestSnapshotIsSmall(t *testing.T) {
	source := largeCopy(10_000)
	s, err := source.snapshotAt(0)
	must.NoError(t, err)
	bytes := 0
	for _, r := range existing(source) {
		bytes += len(r.Key) + len(r.Value)
	}
	test.LessEq(t, bytes/5, len(s.data))
	test.LessEq(t, 20, s.parts())
}

// TestNewestWaitsForReaders checks that a node that may not read all records from the store waits until
// a reader has them, and that it reads the store once it may.
func TestNewestWaitsForReaders(t *testing.T) {
	own, _ := startRelay(t, nil)
	empty := &Copy{Sink: discardSink{}}
	_, reader := startRelay(t, empty)
	store := &newestTopic{}
	topic := snapshotTopic(own, store, reader)
	attempts := 0
	topic.MayReadAll = func() bool {
		if attempts++; attempts == 2 {
			empty.Apply(follow.Batch{Snapshot: true, Records: []follow.Record{record("a", "b", 1)}, Next: 2, ConfirmedAt: time.Now()})
		}
		return false
	}
	page, err := topic.Newest(t.Context())
	must.NoError(t, err)
	test.Eq(t, []follow.Record{record("a", "b", 1)}, page.Records)
	test.Eq(t, 0, store.newest)

	for _, readers := range [][]netip.AddrPort{nil, {netip.MustParseAddrPort("127.0.0.1:9")}} {
		topic = snapshotTopic(own, store, readers...)
		topic.RequestTimeout, topic.MayReadAll = 0, func() bool { return true }
		_, err = topic.Newest(t.Context())
		must.NoError(t, err)
	}
	test.Eq(t, 2, store.newest)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = snapshotTopic(own, store).Newest(ctx)
	test.ErrorIs(t, err, context.Canceled)
}

// TestSnapshotsAreKeptForSlowReaders checks that the parts of a snapshot can be requested while newer ones
// are made, that a snapshot is made at most once in its lifetime, and that one that was replaced twice
// is refused rather than mixed with another.
func TestSnapshotsAreKeptForSlowReaders(t *testing.T) {
	c := largeCopy(500)
	first, err := c.snapshotAt(0)
	must.NoError(t, err)
	again, err := c.snapshotAt(0)
	must.NoError(t, err)
	test.True(t, first == again)
	for i := range int64(2) {
		kept, err := c.snapshotAt(first.next)
		must.NoError(t, err)
		test.True(t, first == kept)
		c.snapshots[0].madeAt = time.Now().Add(-snapshotLifetime)
		c.Apply(follow.Batch{Records: []follow.Record{record("new", "x", 1000+i)}, Next: 1001 + i, ConfirmedAt: time.Now()})
		newer, err := c.snapshotAt(0)
		must.NoError(t, err)
		test.Eq(t, 1001+i, newer.next)
	}
	_, err = c.snapshotAt(first.next)
	test.ErrorIs(t, err, errOtherSnapshot)
}

// FuzzDecodeSnapshot checks that decoding arbitrary bytes fails or returns records below the end.
func FuzzDecodeSnapshot(f *testing.F) {
	data, err := encodeSnapshot(largeCopy(3).latest, 4)
	must.NoError(f, err)
	f.Add(data, int64(10))
	f.Add(data, int64(0))
	f.Add(data[:len(data)-1], int64(10))
	f.Add([]byte{}, int64(1))
	f.Fuzz(func(t *testing.T, data []byte, next int64) {
		records, err := decodeSnapshot(data, next)
		if err != nil {
			return
		}
		for _, r := range records {
			test.Less(t, next, r.Offset)
		}
	})
}

// TestManyChangesAreReadAsSnapshot checks that a node that is many changes behind, as after it read the
// topic while it was empty, obtains them in compressed form with the removed keys, and not from the store.
func TestManyChangesAreReadAsSnapshot(t *testing.T) {
	source := largeCopy(10_000)
	source.firstOffset = 0
	own, _ := startRelay(t, nil)
	_, reader := startRelay(t, source)
	for _, from := range []int64{0, 5} {
		store := &newestTopic{}
		topic := snapshotTopic(own, store, reader)
		topic.MaxAge = busyHostTimeout
		page, err := topic.Read(t.Context(), from, 0)
		must.NoError(t, err)
		test.Len(t, 10_000, page.Records)
		test.True(t, slices.ContainsFunc(page.Records, func(r follow.Record) bool { return r.Key == "i-0" && r.Value == nil }))
		test.Eq(t, 0, store.newest+store.reads)
	}
	source.mu.Lock() // the reader serves requests meanwhile
	source.firstOffset, source.snapshots = 9, [2]*snapshot{}
	source.mu.Unlock()
	topic := snapshotTopic(own, &newestTopic{}, reader)
	_, err := topic.Read(t.Context(), 5, 0)
	test.ErrorIs(t, err, errNoReader, test.Sprint("keys may have been removed that the copy doesn't know"))
}

// TestStoreIsSparedWhileReadersStart checks that a node that may not read the store waits for a reader
// instead, whether there is none, it is silent or its copy is too old, and that it never reads the store
// because of an old copy: all nodes of a large system would do so at the same time.
func TestStoreIsSparedWhileReadersStart(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, stale := startRelay(t, filledCopy(time.Now().Add(-2*MaxAge)))
	silent := netip.MustParseAddrPort("127.0.0.1:9")
	for _, tc := range []struct {
		name       string
		readers    []netip.AddrPort
		mayReadAll bool
		reads      int
	}{
		{"no reader", nil, false, 0},
		{"silent", []netip.AddrPort{silent}, false, 0},
		{"old copy", []netip.AddrPort{stale}, false, 0},
		{"old copy, later", []netip.AddrPort{stale}, true, 0},
		{"no reader, later", nil, true, 1},
		{"silent, later", []netip.AddrPort{silent}, true, 1},
	} {
		store := &newestTopic{}
		topic := snapshotTopic(own, store, tc.readers...)
		topic.RequestTimeout = 0
		topic.MayReadAll = func() bool { return tc.mayReadAll }
		_, err := topic.Read(t.Context(), 10, 0)
		test.Eq(t, tc.reads == 0, err != nil, test.Sprint(tc.name))
		test.Eq(t, tc.reads, store.reads, test.Sprint(tc.name))
	}
}

// TestRecordsAfterFirstPageAreRelayed checks that a copy whose listing took so long that records were written
// meanwhile can be read from, and that those records are relayed again once they have been read.
func TestRecordsAfterFirstPageAreRelayed(t *testing.T) {
	c := &Copy{Sink: discardSink{}}
	c.Apply(follow.Batch{Snapshot: true, Records: []follow.Record{record("a", "x", 3), record("b", "late", 12)}, Next: 10, ConfirmedAt: time.Now()})
	own, _ := startRelay(t, nil)
	_, reader := startRelay(t, c)
	topic := snapshotTopic(own, &newestTopic{}, reader)
	topic.MaxAge = busyHostTimeout
	page, err := topic.Newest(t.Context())
	must.NoError(t, err)
	test.SliceLen(t, 2, page.Records)
	test.Eq(t, 10, page.Next)
	page, err = topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.SliceEmpty(t, page.Records)
	c.Apply(follow.Batch{Records: []follow.Record{record("b", "late", 12)}, Next: 13, ConfirmedAt: time.Now()})
	page, err = topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, []follow.Record{record("b", "late", 12)}, page.Records)
}

// TestPartsOfSnapshotsAreNotJoined checks that the parts of a snapshot stay the same while the copy doesn't change,
// though it is confirmed, and that its age is that of the newest confirmation.
func TestPartsOfSnapshotsAreNotJoined(t *testing.T) {
	c := largeCopy(500)
	first, err := c.snapshotAt(0)
	must.NoError(t, err)
	data := first.data
	for range 5 {
		c.snapshots[0].madeAt = time.Now().Add(-snapshotLifetime)
		now := time.Now()
		c.Apply(follow.Batch{Next: c.next, ConfirmedAt: now})
		again, err := c.snapshotAt(0)
		must.NoError(t, err)
		test.Eq(t, data, again.data)
		test.True(t, again.confirmedAt.Equal(now))
	}
}
