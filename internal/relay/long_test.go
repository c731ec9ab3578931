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

// TestLongListsAreTold reads more records than an answer holds from another node, without the store,
// and passes all of them on with the age that the last answer told.
func TestLongListsAreTold(t *testing.T) {
	const records = 400
	held := filled(time.Now().Add(-time.Second))
	var want []follow.Record
	for i := range int64(records) {
		want = append(want, record(fmt.Sprint("n", i), strings.Repeat("x", 200), 10+i))
	}
	held.Apply(follow.Batch{Records: want, Next: 10 + records, ConfirmedAt: time.Now().Add(-time.Second)})
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
	held.Apply(follow.Batch{Records: []follow.Record{record("config", value, 10)}, Next: 11, ConfirmedAt: time.Now()})
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
