package placer_test

import (
	"runtime"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// maxAllocs bounds the allocations of one placement among nine engines.
const maxAllocs = 80

// TestPlacementAllocates bounds the allocations of a placement, as they occur for each request.
func TestPlacementAllocates(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(2): shared(1, ""), store: shared(1, "")}, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	q := query()
	q.Service.Engine.KVTokens = 1_000_000
	allocs := testing.AllocsPerRun(200, func() {
		_, ok := fx.Place(q)
		must.True(t, ok)
	})
	t.Logf("%.0f allocations", allocs)
	test.LessEq(t, maxAllocs, allocs)
}

// TestPlacementDoesNotCopyAllEngines checks that a placement in a large system does not copy the
// list of all engines. One or more copies for each request would take most of the CPU time of small
// hosts.
func TestPlacementDoesNotCopyAllEngines(t *testing.T) {
	const engines, runs, pointer = 3000, 50, 8
	p, q := largeFixture(engines)
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
