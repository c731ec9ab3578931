package kvindex

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// largeSystemChanges returns changes like those of a store in a large system.
func largeSystemChanges(n int) []Change {
	list := make([]Change, n)
	for i := range list {
		list[i] = Change{Number: int64(7000 + i), Part: Part{Salt: []string{"3/daka510000/", "2/daka510000/"}[i%2], ID: fmt.Sprintf("%08x", i*2654435761%(1<<32))}, Tokens: i * 131 % 23_000}
	}
	return list
}

// TestPackedChangesRoundTrip checks that encoding is lossless and takes less than a third of the
// bytes of JSON.
func TestPackedChangesRoundTrip(t *testing.T) {
	for _, want := range [][]Change{nil, largeSystemChanges(1), largeSystemChanges(300)} {
		got, err := packChanges(want).unpack()
		must.NoError(t, err)
		test.Eq(t, want, got)
	}
	long, err := json.Marshal(largeSystemChanges(300))
	must.NoError(t, err)
	short, err := json.Marshal(packChanges(largeSystemChanges(300)))
	must.NoError(t, err)
	t.Logf("300 changes: %d bytes as JSON, %d packed", len(long), len(short))
	test.Less(t, len(long)/3, len(short))
	test.LessEq(t, 300*changeBytes, len(short))
}

// TestPackedIDs checks ids that are not hexadecimal, or not in the form of a hash.
func TestPackedIDs(t *testing.T) {
	for _, id := range []string{"", "a", "ab", "AB", "abc", "0g", "00ff00ff00ff00ff", "a/b c"} {
		got, err := packChanges([]Change{{Number: 1, Part: Part{Salt: "s", ID: id}, Tokens: 5}}).unpack()
		must.NoError(t, err)
		test.Eq(t, id, got[0].Part.ID)
	}
}

// TestPackedChangesTruncated checks that truncated or invalid data is rejected, unless it ends
// between two changes.
func TestPackedChangesTruncated(t *testing.T) {
	data := packChanges(largeSystemChanges(3))
	for n := range len(data) {
		got, err := data[:n].unpack()
		if err == nil {
			test.SliceContainsSubset(t, largeSystemChanges(3), got, test.Sprint("complete changes before the cut"))
			test.Less(t, 3, len(got))
		}
	}
	for _, wrong := range []packedChanges{{}, {1}, {1, 9, 'x'}, {0, 1, 0, 1, 'a', 1}, {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}} {
		_, err := wrong.unpack()
		test.Error(t, err, test.Sprint([]byte(wrong)))
	}
}

// FuzzUnpack checks that any data yields an error or changes in ascending order and within bounds.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte(packChanges(largeSystemChanges(2))))
	f.Add([]byte{1, 0, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := packedChanges(data).unpack()
		if err != nil {
			return
		}
		last := int64(0)
		for _, c := range changes {
			test.True(t, c.Number >= last && c.Number <= maxNumber && c.Tokens >= 0 && c.Tokens <= maxTokens)
			last = c.Number
		}
	})
}

// BenchmarkUnpack decodes 100 changes, packed and as JSON.
func BenchmarkUnpack(b *testing.B) {
	changes := largeSystemChanges(100)
	short := packChanges(changes)
	long, err := json.Marshal(changes)
	must.NoError(b, err)
	b.Run("packed", func(b *testing.B) {
		for b.Loop() {
			_, _ = short.unpack()
		}
	})
	b.Run("JSON", func(b *testing.B) {
		for b.Loop() {
			var got []Change
			_ = json.Unmarshal(long, &got)
		}
	})
}
