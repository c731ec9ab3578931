package brittle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// allowedFalls is how often the endpoints of a service may fail in one time in which they are brittle.
func allowedFalls(endpoints int) int { return 2 + endpoints/10 }

const engineRun, engineFirstEvent = 600 * time.Millisecond, 150 * time.Millisecond

// TestBrittleEndpointsKeepFallingOver checks how often endpoints fail under the requests that they refuse, at
// all sizes, with loads of others that are known soon and late, and with members that not all nodes list.
func TestBrittleEndpointsKeepFallingOver(t *testing.T) {
	t.Run("engines", checkEngines)
	t.Run("plain", checkPlainEndpoints)
	t.Run("hidden requests", checkHiddenRequests)
}

func checkEngines(t *testing.T) {
	small, grown := setup{nodes: 6, endpoints: 9, slots: 128}, setup{nodes: 83, endpoints: 90, slots: 16}
	large, fleet := setup{nodes: 295, endpoints: 100, slots: 16}, setup{nodes: 985, endpoints: 100, slots: 16}
	if !largeSystems {
		small.load, small.lag, small.refusals, small.runTime, small.firstEvent = 0.83, 250*time.Millisecond, 3, engineRun, engineFirstEvent
		checkFalls(t, small)
		return
	}
	for _, s := range []setup{small, grown} {
		s.runTime, s.firstEvent = engineRun, engineFirstEvent
		for _, s.load = range []float64{0.41, 0.83, 1.04} {
			for _, s.lag = range []time.Duration{20 * time.Millisecond, 250 * time.Millisecond} {
				for _, s.refusals = range []int{1, 3, 20} {
					if s.seed++; s.load == 0.83 || s.refusals == 3 && s.lag > 100*time.Millisecond {
						checkFalls(t, s)
					}
				}
			}
		}
	}
	for _, s := range []setup{small, grown, large, fleet} {
		s.runTime, s.firstEvent = engineRun, engineFirstEvent
		for _, s.joining = range []float64{0, 0.33} {
			s.load, s.lag, s.refusals = 0.83, 120*time.Millisecond, 3
			checkFalls(t, s)
		}
	}
}

// checkPlainEndpoints checks endpoints of few slots and short runs.
func checkPlainEndpoints(t *testing.T) {
	sizes := []int{6, 83, 985}
	if !largeSystems {
		sizes = sizes[:1]
	}
	for _, nodes := range sizes {
		for _, load := range []float64{0.22, 0.5, 0.9} {
			for _, refusals := range []int{1, 3} {
				checkFalls(t, setup{
					nodes: nodes, endpoints: 4, slots: 6, refusals: refusals, load: load, lag: 60 * time.Millisecond,
					runTime: 15 * time.Millisecond, firstEvent: time.Second, seed: uint64(nodes),
				})
			}
		}
	}
}

// checkHiddenRequests checks endpoints at which slots are taken by what no node counts.
func checkHiddenRequests(t *testing.T) {
	if !largeSystems {
		return
	}
	for _, hidden := range []int{2, 8, 16} {
		checkFalls(t, setup{
			nodes: 83, endpoints: 90, slots: 16, refusals: 3, load: 0.62, lag: 60 * time.Millisecond, hidden: hidden,
			runTime: engineRun, firstEvent: engineFirstEvent, seed: 7,
		})
	}
}

func checkFalls(t *testing.T, s setup) {
	t.Helper()
	o := newNetwork(s).simulate()
	all := o.served + o.lost + o.turnedAway
	used := o.busy.Seconds() / ((length - brittleAt).Seconds() * float64(s.endpoints*s.slots))
	t.Logf("%d nodes, %d endpoints of %d slots, bear %d, load %.2f, known after %v, %.2f joining, %d hidden: %d fell (%d allowed), %d refused, served %.3f, lost %d, slots used %.2f",
		s.nodes, s.endpoints, s.slots, s.refusals, s.load, s.lag, s.joining, s.hidden, o.falls, allowedFalls(s.endpoints), o.refused, float64(o.served)/float64(max(all, 1)), o.lost, used)
	test.LessEq(t, allowedFalls(s.endpoints), o.falls)
}
