package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// TestSparingNodeAsksOthers checks what a node that spares the store does when its readers fail: it asks standbys
// and backups, has all records read anew only if all that respond lack changes, and reads the store otherwise.
func TestSparingNodeAsksOthers(t *testing.T) {
	recent := func() *Copy { return filledCopy(time.Now()) }
	old := func() *Copy { return filledCopy(time.Now().Add(-MaxAge)) }
	lacking := func() *Copy {
		c := &Copy{Sink: discardSink{}}
		c.Apply(follow.Batch{Snapshot: true, Next: 20, ConfirmedAt: time.Now()})
		return c
	}
	empty := func() *Copy { return &Copy{Sink: discardSink{}} }
	for _, tc := range []struct {
		name                string
		readers, others     []*Copy
		relayed, readsStore bool
		err                 error
	}{
		{"old reader, recent standby", []*Copy{old()}, []*Copy{recent()}, true, false, nil},
		{"old readers, old and recent standbys", []*Copy{old(), old()}, []*Copy{old(), recent()}, true, false, nil},
		{"reader that lacks changes, recent standby", []*Copy{lacking()}, []*Copy{recent()}, true, false, nil},
		{"all lack changes", []*Copy{lacking(), lacking()}, []*Copy{lacking()}, false, false, follow.ErrCompacted},
		{"all old", []*Copy{old(), old()}, []*Copy{old()}, false, true, nil},
		{"an old reader, one that starts", []*Copy{old(), empty()}, []*Copy{old()}, false, true, nil},
		{"one that starts, an old reader", []*Copy{empty(), old()}, nil, false, true, nil},
		{"readers that start, old standby", []*Copy{empty(), empty()}, []*Copy{old()}, false, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			own, _ := startRelay(t, nil)
			addrs := func(copies []*Copy) []netip.AddrPort {
				var list []netip.AddrPort
				for _, c := range copies {
					_, addr := startRelay(t, c)
					list = append(list, addr)
				}
				return list
			}
			readers, others := addrs(tc.readers), addrs(tc.others)
			for _, standbys := range []bool{true, false} {
				store := &newestTopic{}
				topic := &Topic{
					Name: "t", Store: store, Relay: own, Log: zerolog.Nop(), RequestTimeout: busyHostTimeout, SparesStore: func() bool { return true },
					Readers: func() []netip.AddrPort { return readers }, Backups: noNodes, MayReadAll: func() bool { return true },
				}
				if standbys {
					topic.Standbys = func() []netip.AddrPort { return others }
				} else {
					topic.Backups = func() []netip.AddrPort { return others }
				}
				_, err := topic.Read(t.Context(), 10, 0)
				test.ErrorIs(t, err, tc.err)
				test.Eq(t, tc.relayed, topic.Relayed())
				test.Eq(t, tc.readsStore, store.reads == 1)
			}
		})
	}
}

// TestBusyReaderDoesNotLackRecords checks that a reader which has used up its share of its link is no reason to
// read all records anew.
func TestBusyReaderDoesNotLackRecords(t *testing.T) {
	own, _ := startRelay(t, nil)
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	test.NoError(t, err)
	New(conn).Serve("t", filledCopy(time.Now()))
	conn.LimitResponses(1)
	go func() { _ = conn.Run(t.Context()) }()
	t.Cleanup(func() { conn.Close() })
	store := &newestTopic{}
	topic := snapshotTopic(own, store, netip.MustParseAddrPort(conn.Addr()))
	topic.SparesStore, topic.MayReadAll = func() bool { return true }, func() bool { return true }
	for store.reads == 0 && err == nil {
		_, err = topic.Read(t.Context(), 10, 0)
	}
	test.NoError(t, err, test.Sprint("until the reader is busy, and the store is read"))
	test.Eq(t, 0, store.newest)
}

// TestOldSnapshotIsLastResort checks that a node that starts prefers the records of a recent copy, takes those of
// an old one if there is no other, and that a node that has records doesn't take an old one for changes.
func TestOldSnapshotIsLastResort(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, old := startRelay(t, filledCopy(time.Now().Add(-2*MaxAge)))
	_, recent := startRelay(t, filledCopy(time.Now()))
	topic := snapshotTopic(own, &newestTopic{}, old, recent)
	for range 2 {
		page, err := topic.Newest(t.Context())
		test.NoError(t, err)
		test.Less(t, MaxAge, page.Age)
	}
	page, err := snapshotTopic(own, &newestTopic{}, old).Newest(t.Context())
	test.NoError(t, err)
	test.GreaterEq(t, 2*MaxAge, page.Age)
	_, err = snapshotTopic(own, &newestTopic{}, old).allFromReaders(t.Context(), 10)
	test.ErrorIs(t, err, errStale)
}
