package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestNodesCutOffFromARestoredStoreAskOthers checks that nodes which don't reach the store have current configurations
// after it came back from an older copy, or without history, for the others.
func TestNodesCutOffFromARestoredStoreAskOthers(t *testing.T) {
	sizes := []int{10, 24, 64}
	if underRace {
		sizes = sizes[:2]
	}
	for name, cut := range map[string]func(n *simNode) bool{
		"one reader":     func(n *simNode) bool { return n.domain == 1 && n.rank == 0 },
		"two readers":    func(n *simNode) bool { return n.domain == 1 && n.isReader() },
		"a third of all": third,
		"a domain":       func(n *simNode) bool { return n.domain == 1 },
	} {
		for _, nodes := range sizes {
			for _, compacts := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " of ", nodes, " nodes, without history ", compacts), func(t *testing.T) {
					t.Parallel()
					inVirtualTimeWith(t, func(context.Context) *system { return newRestorableSystem(nodes) }, func(t *testing.T, s *system) {
						for _, n := range s.nodes {
							n.store.setRejected(cut(n))
						}
						r := &restoration{outage: time.Second, compacts: compacts, cutsOff: true, lost: func(*simNode) bool { return false }}
						result := playRestoration(s, r)
						test.Less(t, staleLimit, result.age, test.Sprint("age of a configuration"))
						test.Less(t, r.settleTime(), result.entered, test.Sprint("time until all nodes had the records"))
					})
				})
			}
		}
	}
}
