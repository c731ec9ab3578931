package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

func TestCopyReturnsChanges(t *testing.T) {
	c := filledCopy(time.Now())
	c.Apply(follow.Batch{Records: []follow.Record{record("a", "x2", 10), record("b", "z1", 11), record("c", "w", 12)}, Next: 13, ConfirmedAt: time.Now()})
	c.Apply(follow.Batch{Records: []follow.Record{record("c", "", 13)}, Next: 14, ConfirmedAt: time.Now()})
	p, err := c.Since(10, maxRecordBytes, nil)
	must.NoError(t, err)
	test.Eq(t, 14, p.next)
	test.False(t, p.more)
	test.Eq(t, relayedRecords(record("b", "z1", 11), record("c", "", 13)), p.records, test.Sprint("heartbeats are not relayed"))
	p, err = c.Since(14, maxRecordBytes, nil)
	must.NoError(t, err)
	test.SliceEmpty(t, p.records)
	p, err = c.Since(20, maxRecordBytes, nil)
	must.NoError(t, err)
	test.Eq(t, 14, p.next, test.Sprint("the requester is ahead of the copy"))
	p, err = c.Since(10, 1, nil)
	must.NoError(t, err)
	test.True(t, p.more)
	test.Eq(t, relayedRecords(record("b", "z1", 11)), p.records, test.Sprint("at least one record"))
	test.Eq(t, 13, p.next, test.Sprint("offset of the next record"))
}

// TestCopyRejectsIncompleteChanges checks that a copy returns ErrUnknown if keys may have been removed that
// it does not contain.
func TestCopyRejectsIncompleteChanges(t *testing.T) {
	_, err := (&Copy{Sink: discardSink{}}).Since(0, maxRecordBytes, nil)
	test.ErrorIs(t, err, ErrUnknown)
	c := filledCopy(time.Now())
	_, err = c.Since(9, maxRecordBytes, nil)
	test.ErrorIs(t, err, ErrUnknown)
	c.Apply(follow.Batch{Records: []follow.Record{record("a", "q", 10)}, Next: 11, ConfirmedAt: time.Now()})
	c.Apply(follow.Batch{Snapshot: true, Records: []follow.Record{record("b", "y1", 7)}, Next: 30, ConfirmedAt: time.Now()})
	_, err = c.Since(11, maxRecordBytes, nil)
	test.ErrorIs(t, err, ErrUnknown, test.Sprint("a was removed in the meantime"))
}
