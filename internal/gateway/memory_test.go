package gateway

import (
	"testing"

	"github.com/shoenig/test"
)

// TestHeapGrowthIsBounded checks that the heap grows by a bounded amount between two collections,
// except for a large heap, and not too little for a small one.
func TestHeapGrowthIsBounded(t *testing.T) {
	for live, want := range map[uint64]int{0: 200, 1 << 20: 200, 3 << 20: 200, 6 << 20: 100, 12 << 20: 50, 1 << 30: 50} {
		test.Eq(t, want, gcPercentFor(live), test.Sprint(live))
	}
}
