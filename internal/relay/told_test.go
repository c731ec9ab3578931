package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

func TestCopyTellsWhatChanged(t *testing.T) {
	c := filled(time.Now())
	c.Apply(follow.Batch{Records: []follow.Record{record("a", "x2", 10), record("b", "z1", 11), record("c", "w", 12)}, Next: 13, ConfirmedAt: time.Now()})
	c.Apply(follow.Batch{Records: []follow.Record{record("c", "", 13)}, Next: 14, ConfirmedAt: time.Now()})
	p, err := c.Since(10, answerBytes)
	must.NoError(t, err)
	test.Eq(t, 14, p.next)
	test.False(t, p.more)
	test.Eq(t, tell(record("b", "z1", 11), record("c", "", 13)), p.records, test.Sprint("heartbeats are left out"))
	p, err = c.Since(14, answerBytes)
	must.NoError(t, err)
	test.SliceEmpty(t, p.records)
	p, err = c.Since(20, answerBytes)
	must.NoError(t, err)
	test.Eq(t, 14, p.next, test.Sprint("who asks knows more"))
	p, err = c.Since(10, 1)
	must.NoError(t, err)
	test.True(t, p.more)
	test.Eq(t, tell(record("b", "z1", 11)), p.records, test.Sprint("at least one"))
	test.Eq(t, 13, p.next, test.Sprint("of the next record"))
}

// TestCopyTellsNoHalfStory refuses where keys may have been removed that it never knew.
func TestCopyTellsNoHalfStory(t *testing.T) {
	_, err := (&Copy{Sink: drop{}}).Since(0, answerBytes)
	test.ErrorIs(t, err, ErrUnknown)
	c := filled(time.Now())
	_, err = c.Since(9, answerBytes)
	test.ErrorIs(t, err, ErrUnknown)
	c.Apply(follow.Batch{Records: []follow.Record{record("a", "q", 10)}, Next: 11, ConfirmedAt: time.Now()})
	c.Apply(follow.Batch{Snapshot: true, Records: []follow.Record{record("b", "y1", 7)}, Next: 30, ConfirmedAt: time.Now()})
	_, err = c.Since(11, answerBytes)
	test.ErrorIs(t, err, ErrUnknown, test.Sprint("a was removed meanwhile"))
}
