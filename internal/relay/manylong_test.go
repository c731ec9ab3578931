package relay

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestManyLongRecordsDoNotStopReads guards against requests that are too long to send as they name all long records.
func TestManyLongRecordsDoNotStopReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowedSystem(0)
		var long []follow.Record
		for i := range int64(1000) {
			key := fmt.Sprintf("%s%d", strings.Repeat("k", 200), i)
			long = append(long, record(key, strings.Repeat("[", longFrom), 10+i))
		}
		batch := follow.Batch{Records: long, Next: 1010, ConfirmedAt: time.Now()}
		f.reader.Apply(batch)
		f.own.Apply(batch)
		f.next = 1010
		change := record("changed", "x", 1010)
		f.reader.Apply(follow.Batch{Records: []follow.Record{change}, Next: 1011, ConfirmedAt: time.Now()})
		page, err := f.topic.Read(t.Context(), f.next, 0)
		must.NoError(t, err)
		test.Eq(t, []follow.Record{change}, page.Records)
		test.True(t, f.topic.Relayed())
	})
}

// TestCopyKeepsNoResponses guards against a copy that keeps the whole response of the store for each short record in it.
func TestCopyKeepsNoResponses(t *testing.T) {
	response := []byte(strings.Repeat("x", 1<<20) + "value")
	value := response[1<<20:]
	c := emptyCopy()
	c.Apply(follow.Batch{Records: []follow.Record{{Key: "a", Value: value, Offset: 10}}, Next: 11, ConfirmedAt: time.Now()})
	clear(response)
	test.Eq(t, []follow.Record{record("a", "value", 10)}, c.Records())
}
