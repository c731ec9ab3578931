package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// eraCopy returns a copy that ends in an era, at a node to which the store has stated another one.
func eraCopy(era, stated int64) *Copy {
	c := &Copy{Sink: discardSink{}, Eras: &follow.Eras{Stated: func() int64 { return stated }}}
	c.Apply(follow.Batch{Snapshot: true, ConfirmedAt: time.Now(), Records: []follow.Record{record("a", "x", follow.Position(era, 3))}, Next: follow.Position(era, 4)})
	return c
}

// TestCopyOfAnEarlierEraIsNoCopy checks that a copy of an earlier era than its node or the requester knows of is given to
// nobody, and that the requester hears of the era.
func TestCopyOfAnEarlierEraIsNoCopy(t *testing.T) {
	for _, tc := range []struct {
		name              string
		era, stated, from int64 // of the copy, to its node, of the requester's copy
		stale             bool
	}{
		{"current", 1, 1, 1, false},
		{"later than the requester's", 2, 2, 1, false},
		{"the node knows of a later era", 1, 2, 1, true},
		{"the requester has a later era", 1, 1, 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			own, _ := startRelay(t, nil)
			_, reader := startRelay(t, eraCopy(tc.era, tc.stated))
			readers := func() []netip.AddrPort { return []netip.AddrPort{reader} }
			eras := &follow.Eras{Stated: func() int64 { return 0 }}
			topic := &Topic{Name: "t", Store: &storeTopic{}, Relay: own, Eras: eras, Log: zerolog.Nop(), RequestTimeout: busyHostTimeout, Readers: readers, Backups: noNodes}
			from := follow.Position(tc.from, 4)
			if tc.era > tc.from {
				from = 0
			}
			_, err := topic.readSnapshot(t.Context(), reader, from)
			test.Eq(t, tc.stale, err != nil)
			_, _, err = topic.readOnce(t.Context(), reader, follow.Position(tc.from, 4))
			if tc.stale {
				must.ErrorIs(t, err, errStale)
			}
			test.Eq(t, max(tc.era, tc.stated, tc.from), eras.Latest())
		})
	}
}
