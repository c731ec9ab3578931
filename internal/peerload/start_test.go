package peerload

import (
	"testing"

	"github.com/shoenig/test"
)

// TestLoadsOfAnotherStart checks that loads and failures that peers report for another start of an
// endpoint are left out.
func TestLoadsOfAnotherStart(t *testing.T) {
	table := NewTable()
	receive := func(node string, startedMs int64) {
		f, m := memberOf(t, startedMs, 1)
		m.Load.Begin(10, 20)
		for range 5 {
			m.Health.RecordFailure(now, false)
		}
		d := Digest{Node: node, Incarnation: 1, Seq: 1}
		d.setLoads(f.All(), 1, now)
		table.Record(d, now)
	}
	for _, node := range []string{"a", "b"} {
		receive(node, 100)
	}
	receive("c", 200)
	table.Record(digest("of another build", 1, 1, 1), now)
	sums := table.Loads(now)
	before, after := sums.At("e", 100), sums.At("e", 200)
	test.Eq(t, 3, before.Running)
	test.Eq(t, 40, before.HeldTokens)
	test.Greater(t, 0.3, before.FailureRate())
	test.Eq(t, 2, after.Running)
	test.Eq(t, 20, after.HeldTokens)
	test.Eq(t, 0, after.FailureRate())
}
