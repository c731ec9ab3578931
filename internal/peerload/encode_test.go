package peerload

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestCollectedLoadsTravelWhole decodes sums as they were, and refuses what is cut short.
func TestCollectedLoadsTravelWhole(t *testing.T) {
	want := Sums{keyOf("e", 0): {Running: 3, Reading: 20_000, Holding: 99_000, failures: 120, witnesses: 2}, keyOf("f", 7): {Running: 1}}
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
	test.SliceEmpty(t, Sums{keyOf("e", 0): {}}.encode(), test.Sprint("nothing to say"))
}

// FuzzCollected: an error, or sums within what digests carry.
func FuzzCollected(f *testing.F) {
	f.Add(Sums{keyOf("e", 0): {Running: 3, Reading: 20_000, Holding: 99_000}}.encode())
	f.Add([]byte{1, 2, 3, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		sums := make(Sums)
		checked := checkSums(data, sumFields)
		if err := sums.addEncoded(data); err != nil {
			test.Error(t, checked)
			return
		}
		test.NoError(t, checked)
		for _, s := range sums {
			test.True(t, min(s.Running, s.Reading, s.Holding, s.failures, s.witnesses) >= 0)
			test.True(t, max(s.Running, s.Reading, s.Holding, s.failures, s.witnesses) <= mostCounted*len(data))
		}
	})
}

// TestCoarseSums tells tokens in units, and refuses what is cut short.
func TestCoarseSums(t *testing.T) {
	data := Sums{keyOf("e", 0): {Running: 3, Reading: 20_000, Holding: 99_000, failures: 7}, keyOf("f", 0): {failures: 9}}.encodeCoarse()
	test.Len(t, coarseLeast, data)
	got := make(Sums)
	must.NoError(t, got.addCoarse(data))
	test.Eq(t, Sums{keyOf("e", 0): {Running: 3, Reading: 20 * coarseTokens, Holding: 97 * coarseTokens}}, got)
	for n := 1; n < len(data); n++ {
		test.Error(t, make(Sums).addCoarse(data[:n]), test.Sprint(n, " bytes"))
	}
}
