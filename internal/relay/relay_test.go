package relay

import (
	"encoding/json"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// startRelay starts a relay and returns it with its address. If c is not nil, it serves topic "t" from c.
func startRelay(t *testing.T, c *Copy) (*Relay, netip.AddrPort) {
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

// longRecordOfTest is a record that does not fit into a message.
var longRecordOfTest = record("long", randomText(2*datagram.MaxBytes), 10)

// TestReadsFromAnotherNode checks that a topic is read from a copy, also if a record is too long for a
// message, and from the store if the copy is too old or there is no copy.
func TestReadsFromAnotherNode(t *testing.T) {
	long := filledCopy(time.Now().Add(-time.Second))
	long.Apply(follow.Batch{Records: []follow.Record{longRecordOfTest}, Next: 11, ConfirmedAt: time.Now().Add(-time.Second)})
	old := filledCopy(time.Now().Add(-MaxAge))
	recent := filledCopy(time.Now().Add(-time.Second))
	recent.Apply(follow.Batch{Records: []follow.Record{record("b", "z", 10)}, Next: 11, ConfirmedAt: time.Now().Add(-time.Second)})
	for _, tc := range []struct {
		name    string
		copy    *Copy
		relayed bool
		records []follow.Record
	}{{"young", recent, true, []follow.Record{record("b", "z", 10)}}, {"old", old, false, nil}, {"long", long, true, []follow.Record{longRecordOfTest}}, {"not there", nil, false, nil}} {
		t.Run(tc.name, func(t *testing.T) {
			own, _ := startRelay(t, nil)
			_, reader := startRelay(t, tc.copy)
			store := &storeTopic{}
			topic := &Topic{Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), RequestTimeout: busyHostTimeout, Readers: func() []netip.AddrPort { return []netip.AddrPort{reader} }, Backups: noNodes}
			page, err := topic.Read(t.Context(), 10, 0)
			must.NoError(t, err)
			test.Eq(t, tc.relayed, topic.Relayed())
			test.Eq(t, tc.relayed, store.reads == 0)
			if tc.relayed {
				test.Eq(t, tc.records, page.Records)
				test.GreaterEq(t, time.Second, page.Age)
			} else {
				test.Eq(t, 0, page.Age)
			}
		})
	}
}

// noNodes returns no nodes.
func noNodes() []netip.AddrPort { return nil }

// TestReadsFromBackup checks that a topic is read from a backup if this node cannot reach the store, and
// that the store's error is returned if the backup fails too.
func TestReadsFromBackup(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, stale := startRelay(t, filledCopy(time.Now().Add(-MaxAge)))
	_, served := startRelay(t, filledCopy(time.Now()))
	store := &storeTopic{}
	topic := &Topic{Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), RequestTimeout: busyHostTimeout, Readers: noNodes, Backups: func() []netip.AddrPort { return []netip.AddrPort{stale, served} }}
	_, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.False(t, topic.Relayed(), test.Sprint("the store responds"))

	store.unavailable = true
	_, err = topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errUnavailable)
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
	test.True(t, topic.Relayed())

	store.unavailable = false
	_, err = topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.False(t, topic.Relayed(), test.Sprint("the store is available again"))
}

// TestFallbackInterval checks that a node whose reader's copy is too old does not read a failed store again
// before the fallback interval has passed.
func TestFallbackInterval(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, bad := startRelay(t, filledCopy(time.Now().Add(-MaxAge)))
	store := &storeTopic{unavailable: true}
	pause := time.Hour
	topic := &Topic{
		Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Backups: noNodes, RequestTimeout: busyHostTimeout,
		Readers: func() []netip.AddrPort { return []netip.AddrPort{bad} }, Fallback: func() time.Duration { return pause },
	}
	for range 5 {
		_, err := topic.Read(t.Context(), 10, 0)
		test.Error(t, err)
	}
	test.Eq(t, 1, store.reads)
	_, served := startRelay(t, filledCopy(time.Now()))
	topic.Backups = func() []netip.AddrPort { return []netip.AddrPort{served} }
	_, err := topic.Read(t.Context(), 10, 0)
	test.NoError(t, err, test.Sprint("backups are read in the meantime"))
	test.Eq(t, 1, store.reads)
	topic.Backups = noNodes
	pause, store.unavailable = 0, false
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
}

// busyHostTimeout is the request timeout of tests whose nodes all respond: it passes only if a
// response is missing, however slow the host is.
const busyHostTimeout = time.Minute

// topicWithFallback returns a topic with one reader and a fallback interval of an hour.
func topicWithFallback(own *Relay, store *storeTopic, reader netip.AddrPort) *Topic {
	return &Topic{
		Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), Backups: noNodes, RequestTimeout: busyHostTimeout,
		Readers: func() []netip.AddrPort { return []netip.AddrPort{reader} }, Fallback: func() time.Duration { return time.Hour },
	}
}

// TestStoreIsReadIfReadersLackRecords checks that the store is read immediately if the readers respond but
// no longer have the requested records, because the topic was compacted while this node was disconnected.
func TestStoreIsReadIfReadersLackRecords(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, reader := startRelay(t, filledCopy(time.Now()))
	store := &storeTopic{unavailable: true}
	topic := topicWithFallback(own, store, reader)
	_, err := topic.Read(t.Context(), 5, 0)
	test.ErrorIs(t, err, errUnavailable)
	store.unavailable = false
	_, err = topic.Read(t.Context(), 5, 0)
	test.NoError(t, err)
}

// TestLongRecordsAreReadDuringOutage checks that a record that arrives during an outage and is too long for a
// message between nodes is read from the reader that has it, also by a node that the store rejects.
func TestLongRecordsAreReadDuringOutage(t *testing.T) {
	own, _ := startRelay(t, nil)
	source := filledCopy(time.Now())
	source.Apply(follow.Batch{Records: []follow.Record{longRecordOfTest}, Next: 11, ConfirmedAt: time.Now()})
	_, reader := startRelay(t, source)
	store := &storeTopic{unavailable: true}
	topic := topicWithFallback(own, store, reader)
	topic.MaxAge = busyHostTimeout
	page, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, []follow.Record{longRecordOfTest}, page.Records)
	test.Eq(t, 0, store.reads)
}

// TestStoreIsReadForLongRecordsOfEarlierBuilds checks that a long record that the reader can't relay, as it
// runs an earlier build, is read from the store immediately after an outage, regardless of the fallback
// interval.
func TestStoreIsReadForLongRecordsOfEarlierBuilds(t *testing.T) {
	own, _ := startRelay(t, nil)
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	conn.Handle(methodRecords, func(json.RawMessage) (any, error) {
		return recordsResponse{Records: []relayedRecord{{Record: longRecordOfTest}}, Next: 11}, nil
	})
	go func() { _ = conn.Run(t.Context()) }()
	t.Cleanup(func() { conn.Close() })
	store := &storeTopic{unavailable: true}
	topic := topicWithFallback(own, store, netip.MustParseAddrPort(conn.Addr()))
	_, err = topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errUnavailable)
	store.unavailable = false
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
}

// TestStoreIsReadIfReadersAreSilent checks that a node that was disconnected from its readers and the store reads
// the store again at the next read.
func TestStoreIsReadIfReadersAreSilent(t *testing.T) {
	own, _ := startRelay(t, nil)
	silent := netip.MustParseAddrPort("127.0.0.1:9")
	store := &storeTopic{unavailable: true}
	topic := topicWithFallback(own, store, silent)
	topic.RequestTimeout = 0
	_, err := topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errUnavailable)
	store.unavailable = false
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
}

// TestSwitchesToAnotherReader checks that after a reader fails, the current read goes to the store and the
// next one to another reader.
func TestSwitchesToAnotherReader(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, bad := startRelay(t, nil)
	_, good := startRelay(t, filledCopy(time.Now()))
	store := &storeTopic{unavailable: true}
	topic := &Topic{Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), RequestTimeout: busyHostTimeout, Readers: func() []netip.AddrPort { return []netip.AddrPort{bad, good} }, Backups: noNodes}
	_, err := topic.Read(t.Context(), 10, 0)
	test.ErrorIs(t, err, errUnavailable)
	_, err = topic.Read(t.Context(), 10, 0)
	test.NoError(t, err)
	test.Eq(t, 1, store.reads)
}

// TestNodesSpreadOverReaders checks that nodes with different preferences read from different readers,
// and that each moves on to the next one after a failure.
func TestNodesSpreadOverReaders(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, bad := startRelay(t, nil)
	_, good := startRelay(t, filledCopy(time.Now()))
	for preference, want := range map[uint64]int{0: 1, 1: 0, 2: 1, math.MaxUint64: 0} {
		store := &storeTopic{}
		topic := topicWithFallback(own, store, bad)
		topic.Readers = func() []netip.AddrPort { return []netip.AddrPort{bad, good} }
		topic.Preference = preference
		for range 2 {
			_, err := topic.Read(t.Context(), 10, 0)
			must.NoError(t, err)
		}
		test.Eq(t, want, store.reads, test.Sprint("reads of the store after failures of the reader: ", preference))
	}
}
