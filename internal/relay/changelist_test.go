package relay

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestSinceReturnsLatestRecords checks that a request returns exactly the latest record of each key
// that changed at or after the offset, ordered by offset, for any snapshots and changes.
func TestSinceReturnsLatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Copy{Sink: discardSink{}}
		next := int64(1)
		var changed []follow.Record
		for batch := range rapid.IntRange(1, 20).Draw(t, "batches") {
			b := follow.Batch{ConfirmedAt: time.Now(), Snapshot: batch == 0 || rapid.IntRange(0, 9).Draw(t, "snapshot") == 0}
			for range rapid.IntRange(0, 8).Draw(t, "records") {
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				if b.Snapshot && slices.ContainsFunc(b.Records, func(r follow.Record) bool { return r.Key == key }) {
					continue
				}
				b.Records = append(b.Records, follow.Record{Key: key, Value: []byte{byte(next)}, Offset: next})
				next++
			}
			b.Next = next
			if b.Snapshot {
				changed = nil
				slices.SortFunc(b.Records, func(a, b follow.Record) int { return int(b.Value[0]) - int(a.Value[0]) })
			}
			changed = append(changed, b.Records...)
			c.Apply(b)
			from := rapid.Int64Range(c.firstOffset, next).Draw(t, "from")
			result, err := c.Since(from, math.MaxInt, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := offsets(result.records), latestOffsets(changed, from); !slices.Equal(got, want) {
				t.Fatalf("from %d: %v, not %v", from, got, want)
			}
		}
	})
}

func offsets(records []relayedRecord) []int64 {
	var list []int64
	for i := range records {
		list = append(list, records[i].Offset)
	}
	return list
}

// latestOffsets returns the offsets of the latest record of each key, as far as they are at or after
// from.
func latestOffsets(records []follow.Record, from int64) []int64 {
	latest := make(map[string]int64)
	for _, r := range records {
		latest[r.Key] = max(latest[r.Key], r.Offset)
	}
	var list []int64
	for _, offset := range latest {
		if offset >= from {
			list = append(list, offset)
		}
	}
	slices.Sort(list)
	return list
}

// TestRequestsSearchChangesOnly checks that a request examines only what changed at or after its
// offset, whatever the number of records, and that replaced changes take at most as much memory as the
// records.
func TestRequestsSearchChangesOnly(t *testing.T) {
	const records, rounds, changedPerRound = 10_000, 300, 100
	c := &Copy{Sink: discardSink{}}
	next := int64(0)
	apply := func(count int, snapshot bool) {
		b := follow.Batch{ConfirmedAt: time.Now(), Snapshot: snapshot}
		for range count {
			b.Records = append(b.Records, follow.Record{Key: fmt.Sprint("i-", next%records), Value: []byte{1}, Offset: next})
			next++
		}
		b.Next = next
		c.Apply(b)
	}
	apply(records, true)
	for range rounds {
		from := next
		apply(changedPerRound, false)
		must.Len(t, changedPerRound, c.changes.since(from))
		test.LessEq(t, 2*records, len(c.changes.list))
	}
}

// BenchmarkSince measures a request for the changes since the last one, of which there are few.
func BenchmarkSince(b *testing.B) {
	for _, records := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(records, " records"), func(b *testing.B) {
			c := &Copy{Sink: discardSink{}}
			batch := follow.Batch{ConfirmedAt: time.Now(), Snapshot: true, Next: int64(records)}
			for i := range records {
				batch.Records = append(batch.Records, follow.Record{Key: fmt.Sprint("i-", i), Value: make([]byte, 300), Offset: int64(i)})
			}
			c.Apply(batch)
			few := follow.Batch{ConfirmedAt: time.Now(), Next: int64(records) + 5}
			for i := range int64(5) {
				few.Records = append(few.Records, follow.Record{Key: fmt.Sprint("i-", i), Value: make([]byte, 300), Offset: int64(records) + i})
			}
			c.Apply(few)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Since(int64(records), math.MaxInt, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
