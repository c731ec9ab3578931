package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/routing"
)

// heartbeats returns one heartbeat entry of each of the given number of engines.
func heartbeats(engines int, seq int) []follow.Record {
	records := make([]follow.Record, 0, engines)
	for i := range engines {
		value := fmt.Sprintf(`{"service":"s","address":"10.%d.%d.%d:8080","zone":"d%d","version":"v1","slots":64,"state":"ready","cold-left-ms":0,`+
			`"stage":"read_write","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d}`, i%3, i>>8, i&0xff, i%3, seq)
		records = append(records, follow.Record{Key: fmt.Sprintf("i-%010x", i), Value: []byte(value), Offset: int64(seq*engines + i)})
	}
	return records
}

// newLargeRegistry returns a registry whose configuration names one service of engines.
func newLargeRegistry() *registry {
	config := (&routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{}}}}).Index()
	return newRegistry(fleet.New(zerolog.Nop()), func() *routing.Config { return config }, noBounds, newRejected(zerolog.Nop()))
}

// TestOneRebuildPerRead checks that a read of the registry rebuilds the list of endpoints once, and
// that heartbeats do not rebuild it. With 300 nodes and 3,000 endpoints, building and sorting it
// for each entry takes over a second of each node's processor at a start.
func TestOneRebuildPerRead(t *testing.T) {
	r := newLargeRegistry()
	r.Apply(follow.Batch{Records: heartbeats(500, 1), Snapshot: true, ConfirmedAt: time.Now()})
	test.Len(t, 500, r.fleet.Members("s"))
	test.Eq(t, 1, r.fleet.Rebuilds())
	r.Apply(follow.Batch{Records: heartbeats(500, 2), ConfirmedAt: time.Now()})
	test.Eq(t, 1, r.fleet.Rebuilds())
	r.Apply(follow.Batch{Records: heartbeats(400, 3), Snapshot: true, ConfirmedAt: time.Now()})
	test.Len(t, 400, r.fleet.Members("s"))
	test.Eq(t, 2, r.fleet.Rebuilds())
	r.reevaluate()
	test.Eq(t, 2, r.fleet.Rebuilds())
}

// BenchmarkRegistry measures the first read of the entries, heartbeats, and entries that changed.
func BenchmarkRegistry(b *testing.B) {
	for _, engines := range []int{60, 1000, 3000} {
		first, changes := heartbeats(engines, 1), heartbeats(engines, 2)
		b.Run(fmt.Sprint("start, ", engines, " engines"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newLargeRegistry().Apply(follow.Batch{Records: first, Snapshot: true, ConfirmedAt: time.Now()})
			}
		})
		b.Run(fmt.Sprint("heartbeats, ", engines, " engines"), func(b *testing.B) {
			r := newLargeRegistry()
			r.Apply(follow.Batch{Records: first, Snapshot: true, ConfirmedAt: time.Now()})
			b.ReportAllocs()
			for b.Loop() {
				r.Apply(follow.Batch{Records: first, ConfirmedAt: time.Now()})
			}
		})
		b.Run(fmt.Sprint("changes, ", engines, " engines"), func(b *testing.B) {
			r := newLargeRegistry()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Apply(follow.Batch{Records: [][]follow.Record{first, changes}[i%2], ConfirmedAt: time.Now()})
			}
		})
	}
}
