package peerload

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestSumsRoundTrip checks that encoding is lossless and that truncated data is
// rejected, unless it ends between two sums.
func TestSumsRoundTrip(t *testing.T) {
	want := Sums{keyOf("e", 0): {Running: 3, PendingPromptTokens: 20_000, HeldTokens: 99_000, failures: 120, reporters: 2}, keyOf("f", 7): {Running: 1}}
	data := want.encode()
	got := make(Sums)
	must.NoError(t, got.addEncoded(data))
	test.Eq(t, want, got)
	for n := 1; n < len(data); n++ {
		got := make(Sums)
		if err := got.addEncoded(data[:n]); err == nil {
			test.Less(t, len(want), len(got), test.Sprint(n, " bytes"))
		}
	}
	test.SliceEmpty(t, Sums{keyOf("e", 0): {}}.encode(), test.Sprint("zero sums are left out"))
}

// FuzzSums checks that any data yields an error or sums within the bounds of digests.
func FuzzSums(f *testing.F) {
	f.Add(Sums{keyOf("e", 0): {Running: 3, PendingPromptTokens: 20_000, HeldTokens: 99_000}}.encode())
	f.Add([]byte{1, 2, 3, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		sums := make(Sums)
		checkErr := checkSums(data, sumFields)
		if err := sums.addEncoded(data); err != nil {
			test.Error(t, checkErr)
			return
		}
		test.NoError(t, checkErr)
		for _, s := range sums {
			test.True(t, min(s.Running, s.PendingPromptTokens, s.HeldTokens, s.failures, s.reporters) >= 0)
			test.True(t, max(s.Running, s.PendingPromptTokens, s.HeldTokens, s.failures, s.reporters) <= maxCount*len(data))
		}
	})
}

// TestCoarseSums checks that tokens are rounded to units and that truncated data is rejected.
func TestCoarseSums(t *testing.T) {
	data := Sums{keyOf("e", 0): {Running: 3, PendingPromptTokens: 20_000, HeldTokens: 99_000, failures: 7}, keyOf("f", 0): {failures: 9}}.encodeCoarse()
	test.Len(t, minCoarseSumBytes, data)
	got := make(Sums)
	must.NoError(t, got.addCoarse(data))
	test.Eq(t, Sums{keyOf("e", 0): {Running: 3, PendingPromptTokens: 20 * coarseTokenUnit, HeldTokens: 97 * coarseTokenUnit}}, got)
	for n := 1; n < len(data); n++ {
		test.Error(t, make(Sums).addCoarse(data[:n]), test.Sprint(n, " bytes"))
	}
}
