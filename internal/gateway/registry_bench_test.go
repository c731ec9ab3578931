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

// manyEntries are the heartbeats of so many engines, of which each has written one.
func manyEntries(engines int, seq int) []follow.Record {
	records := make([]follow.Record, 0, engines)
	for i := range engines {
		value := fmt.Sprintf(`{"service":"s","address":"10.%d.%d.%d:8080","zone":"d%d","version":"v1","slots":64,"state":"ready","cold-left-ms":0,`+
			`"stage":"read_write","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d}`, i%3, i>>8, i&0xff, i%3, seq)
		records = append(records, follow.Record{Key: fmt.Sprintf("i-%010x", i), Value: []byte(value), Offset: int64(seq*engines + i)})
	}
	return records
}

func newLargeRegistry() *registry {
	config := (&routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{}}}}).Index()
	return newRegistry(fleet.New(zerolog.Nop()), func() *routing.Config { return config }, noBounds, newRejected(zerolog.Nop()))
}

// A start of a system of 300 nodes before 3,000 endpoints took each node over a second of its processor:
// the list that requests read was made, and sorted, anew for each entry of the registry.

// TestOneListForEachRead makes one list for all that a read of the registry brings, and none for
// heartbeats.
func TestOneListForEachRead(t *testing.T) {
	r := newLargeRegistry()
	r.Apply(follow.Batch{Records: manyEntries(500, 1), Snapshot: true, ProvenAt: time.Now()})
	test.Len(t, 500, r.fleet.Members("s"))
	test.Eq(t, 1, r.fleet.Rebuilds())
	r.Apply(follow.Batch{Records: manyEntries(500, 2), ProvenAt: time.Now()})
	test.Eq(t, 1, r.fleet.Rebuilds())
	r.Apply(follow.Batch{Records: manyEntries(400, 3), Snapshot: true, ProvenAt: time.Now()})
	test.Len(t, 400, r.fleet.Members("s"))
	test.Eq(t, 2, r.fleet.Rebuilds())
	r.reconsider()
	test.Eq(t, 2, r.fleet.Rebuilds())
}

// BenchmarkRegistry reads the entries of so many engines at a start, their heartbeats after it, and as
// many entries that say something else.
func BenchmarkRegistry(b *testing.B) {
	for _, engines := range []int{60, 1000, 3000} {
		first, changes := manyEntries(engines, 1), manyEntries(engines, 2)
		b.Run(fmt.Sprint("start, ", engines, " engines"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newLargeRegistry().Apply(follow.Batch{Records: first, Snapshot: true, ProvenAt: time.Now()})
			}
		})
		b.Run(fmt.Sprint("heartbeats, ", engines, " engines"), func(b *testing.B) {
			r := newLargeRegistry()
			r.Apply(follow.Batch{Records: first, Snapshot: true, ProvenAt: time.Now()})
			b.ReportAllocs()
			for b.Loop() {
				r.Apply(follow.Batch{Records: first, ProvenAt: time.Now()})
			}
		})
		b.Run(fmt.Sprint("changes, ", engines, " engines"), func(b *testing.B) {
			r := newLargeRegistry()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Apply(follow.Batch{Records: [][]follow.Record{first, changes}[i%2], ProvenAt: time.Now()})
			}
		})
	}
}
