package placer_test

import (
	"runtime"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// mostAllocs bounds the allocations of one placement among nine engines. It takes 69; it took
// 50 before admission and learned speeds were part of it.
const mostAllocs = 80

// TestPlacementAllocates keeps the cost of a placement bounded, as each request pays it.
func TestPlacementAllocates(t *testing.T) {
	w := newWorld(t, source{addr(2): shared(1, ""), store: shared(1, "")}, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	q := query()
	q.Service.Engine.KVTokens = 1_000_000
	allocs := testing.AllocsPerRun(200, func() {
		_, ok := w.Place(q)
		must.True(t, ok)
	})
	t.Logf("%.0f allocations", allocs)
	test.LessEq(t, mostAllocs, allocs)
}

// TestPlacementCopiesNoListOfAll has a node of a large system place prompts without a copy of the list of all engines:
// with one or more for each, small hosts spend their time on them.
func TestPlacementCopiesNoListOfAll(t *testing.T) {
	const engines, runs, pointer = 3000, 50, 8
	p, q := largeWorld(engines)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		_, ok := p.Place(q)
		must.True(t, ok)
	}
	runtime.ReadMemStats(&after)
	bytes := (after.TotalAlloc - before.TotalAlloc) / runs
	t.Logf("%d bytes", bytes)
	test.Less(t, engines*pointer, bytes)
}
