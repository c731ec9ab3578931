package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestDirectViewIsCached checks that the sum of the peers' digests is computed once for each change of
// the table. With a sum for each try of each waiting prompt, these would take most of a collector's
// processor time.
func TestDirectViewIsCached(t *testing.T) {
	table := NewTable()
	running := func(at time.Time) int { return table.Loads(at).At("e", 0).Running }
	table.Record(digest("a", 1, 1, 2), now)
	test.Eq(t, 2, running(now))
	test.Eq(t, 0, testing.AllocsPerRun(100, func() { table.Loads(now.Add(DigestLifetime)) }))
	table.Record(digest("b", 1, 1, 3), now.Add(time.Millisecond))
	test.Eq(t, 5, running(now.Add(time.Millisecond)))
	table.RecordNotice(notice("c", 1, 1), now.Add(2*time.Millisecond))
	test.Eq(t, 6, running(now.Add(2*time.Millisecond)))
	outer := &DomainLoad{Node: "n", Domain: "d1", Incarnation: 1, Seq: 1, Loads: Sums{keyOf("e", 0): {Running: 4}}.encodeCoarse()}
	test.NoError(t, table.RecordDomainLoad(outer, now.Add(3*time.Millisecond)))
	test.Eq(t, 10, running(now.Add(3*time.Millisecond)))
	for _, step := range []struct {
		at   time.Duration
		want int
	}{{DigestLifetime, 10}, {DigestLifetime + 1, 8}, {DigestLifetime + time.Millisecond + 1, 5}, {DigestLifetime + 2*time.Millisecond + 1, 4}, {domainLoadLifetime + 4*time.Millisecond, 0}} {
		test.Eq(t, step.want, running(now.Add(step.at)), test.Sprint(step.at))
	}
}

// TestCollectorUsesItsOwnData checks that a collector's loads are based on the digests that it receives
// itself, not on the other collector's aggregate, which is older by a message and by the interval
// between two.
func TestCollectorUsesItsOwnData(t *testing.T) {
	runNetwork(t, 64, 4, 90, func(t *testing.T, w *network) {
		for i, n := range w.domain("d0") {
			_, aggregated := n.Table.AggregateAge(time.Now())
			test.Eq(t, i >= 2, aggregated, test.Sprint(n.config.Node))
		}
	})
}
