package changelog_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
)

// objectCount is the expected number of objects in the state of a production system,
// of which 12,000 are endpoints.
const objectCount = 15000

// newFilledStore returns a store with objectCount objects of about 350 bytes each.
func newFilledStore(tb testing.TB) *changelog.Store[limit] {
	s := newEmptyStore(&logtest.Log{})
	note := strings.Repeat("x", noteLen)
	for i := range objectCount {
		ch := s.Snapshot().Put("limit", fmt.Sprintf("object-%05d", i), fmt.Appendf(nil, `{"per_second":%d,"note":%q}`, i, note))
		_, err := s.Propose(context.Background(), ch)
		must.NoError(tb, err)
	}
	return s
}

// BenchmarkApply applies segments of one change each, the usual case. The time
// includes formatting the record.
func BenchmarkApply(b *testing.B) {
	s := newFilledStore(b)
	note := strings.Repeat("y", noteLen)
	b.ReportAllocs()
	from := s.Snapshot().Applied() + 1
	revisions := make([]int64, 1000)
	for b.Loop() {
		key := from % int64(len(revisions))
		data := fmt.Appendf(nil, `{"v":1,"t":"change","change":{"id":"id-%d","kind":"limit","key":"new-%d","based_on":%d,"since":%d,"op":"put","value":{"note":%q}}}`,
			from, key, revisions[key], from-1, note)
		seg := changelog.Segment{From: from, To: from + 1, Records: []changelog.Record{{Offset: from, Data: data}}}
		must.NoError(b, s.ApplySegment(seg))
		revisions[key] = from
		from++
	}
	last, _ := s.Snapshot().Get("limit", fmt.Sprintf("new-%d", (from-1)%int64(len(revisions))))
	must.Eq(b, from-1, last.Revision, must.Sprint("every change must be accepted"))
}

func BenchmarkImage(b *testing.B) {
	s := newFilledStore(b)
	b.ReportAllocs()
	for b.Loop() {
		s.DropImage()
		image, err := s.Image()
		must.NoError(b, err)
		b.ReportMetric(float64(len(image)), "image-bytes")
	}
}

func BenchmarkRestore(b *testing.B) {
	image, err := newFilledStore(b).Image()
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		must.NoError(b, changelog.NewStore[limit](nil, limits{}, 0).Restore(image))
	}
}

// TestMemory checks that a state, including its window of change ids, uses less
// than 2,000 bytes of heap per object.
func TestMemory(t *testing.T) {
	image, err := newFilledStore(t).Image()
	must.NoError(t, err)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // frees objects released by finalizers
	runtime.ReadMemStats(&before)
	s := changelog.NewStore[limit](nil, limits{}, 0)
	must.NoError(t, s.Restore(image))
	runtime.GC()
	runtime.ReadMemStats(&after)
	heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	t.Logf("%d objects of %d bytes use %.0f heap bytes each, including the window of %d ids", s.Snapshot().Len(), noteLen+25, heapBytes/objectCount, 2*4096)
	must.Less(t, 2000, heapBytes/objectCount)
	runtime.KeepAlive(s)
}
