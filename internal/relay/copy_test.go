package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
)

// TestCopyShortensValues checks that a copy relays the short form of a value and passes the full value to
// its sink.
func TestCopyShortensValues(t *testing.T) {
	c := filledCopy(time.Now())
	c.Brief = func(value []byte) []byte { return value[:min(len(value), 3)] }
	long := record("c", "w"+strings.Repeat("x", datagram.MaxBytes), 10)
	batch := follow.Batch{Records: []follow.Record{long}, Next: 11, ConfirmedAt: time.Now()}
	c.Apply(batch)
	p, err := c.Since(10, maxRecordBytes, nil)
	must.NoError(t, err)
	test.Eq(t, relayedRecords(record("c", "wxx", 10)), p.records)
	test.Eq(t, long, batch.Records[0])
}

// TestCopyOfALaterEraHasNoChangesSinceAnEarlierOne guards against nodes that count their copy as current
// because nothing follows the higher offset that they have read before the store came back older.
func TestCopyOfALaterEraHasNoChangesSinceAnEarlierOne(t *testing.T) {
	c := filledCopy(time.Now())
	c.Apply(follow.Batch{Snapshot: true, Restored: true, Records: []follow.Record{record("a", "x2", follow.Position(2, 4))}, Next: follow.Position(2, 5), ConfirmedAt: time.Now()})
	for _, from := range []int64{10, follow.Position(1, 23), follow.Position(2, 4)} {
		_, err := c.Since(from, maxRecordBytes, nil)
		test.ErrorIs(t, err, ErrUnknown, test.Sprint(from))
	}
	_, err := c.Since(follow.Position(2, 5), maxRecordBytes, nil)
	test.NoError(t, err)
}
