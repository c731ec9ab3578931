package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestLongListsAreRelayed checks that records that do not fit into one response are all read from another
// node, without the store, and get the age of the last response.
func TestLongListsAreRelayed(t *testing.T) {
	const records = 400
	source := filledCopy(time.Now().Add(-time.Second))
	var want []follow.Record
	for i := range int64(records) {
		want = append(want, record(fmt.Sprint("n", i), strings.Repeat("x", 200), 10+i))
	}
	source.Apply(follow.Batch{Records: want, Next: 10 + records, ConfirmedAt: time.Now().Add(-time.Second)})
	own, _ := startRelay(t, nil)
	_, reader := startRelay(t, source)
	store := &storeTopic{}
	topic := topicWithFallback(own, store, reader)
	topic.MaxAge = busyHostTimeout
	page, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, want, page.Records)
	test.Eq(t, 10+records, page.Next)
	test.GreaterEq(t, time.Second, page.Age)
	test.Eq(t, 0, store.reads)
	test.True(t, topic.Relayed())
}

// TestLongConfigurationsAreRelayed checks that a configuration of 50 routes, which does not fit into a
// message uncompressed, is read from another node.
func TestLongConfigurationsAreRelayed(t *testing.T) {
	value := strings.Repeat(`{"name":"r-uk82esn","hostname":"xara68.example","path-prefix":"/bohu524/","timeout-ms":800},`, 250)
	source := filledCopy(time.Now())
	source.Apply(follow.Batch{Records: []follow.Record{record("config", value, 10)}, Next: 11, ConfirmedAt: time.Now()})
	own, _ := startRelay(t, nil)
	_, reader := startRelay(t, source)
	store := &storeTopic{}
	topic := topicWithFallback(own, store, reader)
	topic.MaxAge = busyHostTimeout
	page, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, []follow.Record{record("config", value, 10)}, page.Records)
	test.Eq(t, 0, store.reads)
}

// TestTopicMaxAge checks that Topic.MaxAge allows older copies.
func TestTopicMaxAge(t *testing.T) {
	own, _ := startRelay(t, nil)
	_, reader := startRelay(t, filledCopy(time.Now().Add(-2*MaxAge)))
	store := &storeTopic{}
	topic := topicWithFallback(own, store, reader)
	topic.MaxAge = 3 * MaxAge
	_, err := topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, 0, store.reads)
	topic.MaxAge = 0
	_, err = topic.Read(t.Context(), 10, 0)
	must.NoError(t, err)
	test.Eq(t, 1, store.reads)
}
