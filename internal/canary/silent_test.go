package canary

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestOrderWaitsForRequestsOfSilentNodes guards against an order that succeeds while a node that is cut off may have
// requests at old endpoints, which operators take away then. Nodes that report delay no order.
func TestOrderWaitsForRequestsOfSilentNodes(t *testing.T) {
	lastTime := time.Duration(lastMoment * float64(within))
	for _, nodes := range []int{7, 86, 295} {
		for _, cutAt := range []time.Duration{6 * time.Second, trialTime(within) - time.Second} {
			succeededAfter := succeed(t, nodes, cutAt)
			test.GreaterEq(t, lastTime, succeededAfter, test.Sprint(nodes, " nodes, one cut off after ", cutAt))
			test.LessEq(t, within, succeededAfter, test.Sprint(nodes, " nodes"))
		}
		test.Less(t, lastTime, succeed(t, nodes, time.Hour), test.Sprint(nodes, " nodes, none cut off"))
	}
}

// succeed plays an order of a good release, in which a node with requests at old endpoints is cut off. It returns
// the time from the order to its success.
func succeed(t *testing.T, nodes int, cutAt time.Duration) time.Duration {
	t.Helper()
	s := newSystem(uint64(nodes), nodes)
	s.lossRate = 0.03
	cut, started := s.outsider(), s.now
	var succeededAfter time.Duration
	phases := s.play(t, 400+1.2*float64(nodes), always(usual), func(elapsed time.Duration) {
		if elapsed > cutAt {
			cut.cutOff, cut.inFlight = true, 3
		}
		if len(s.records) == 2 && succeededAfter == 0 {
			succeededAfter = s.now.Sub(started)
		}
	})
	must.Eq(t, []Phase{Promoting, Succeeded}, phases)
	t.Logf("%d nodes: succeeded after %v", nodes, succeededAfter)
	return succeededAfter
}
