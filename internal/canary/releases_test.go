package canary

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func always(b behavior) func(time.Duration) behavior {
	return func(time.Duration) behavior { return b }
}

// TestReleases plays orders of good and bad releases in systems of all sizes. A good one gets all
// requests in time; a bad one gets its share of them at most, is rolled back, and gets none later than
// the bound after its fiftieth bad answer.
func TestReleases(t *testing.T) {
	later := func(elapsed time.Duration) behavior {
		if elapsed < 8*time.Second {
			return usual
		}
		return behavior{0.6, usual.took}
	}
	for _, nodes := range []int{7, 86, 295, 1000} {
		perSecond := 400 + 1.2*float64(nodes)
		for name, tc := range map[string]struct {
			released func(time.Duration) behavior
			want     []Phase
		}{
			"good":        {always(usual), []Phase{Promoting, Succeeded}},
			"fails":       {always(behavior{0.4, usual.took}), []Phase{RolledBack}},
			"slow":        {always(behavior{0.01, 6 * usual.took}), []Phase{RolledBack}},
			"fails later": {later, []Phase{RolledBack}},
		} {
			if nodes == 1000 && name != "good" && name != "fails" {
				continue // the others take long at this size
			}
			s := newSystem(uint64(nodes), nodes)
			s.lossRate = 0.03
			phases := s.play(t, perSecond, tc.released, nil)
			must.Eq(t, tc.want, phases, must.Sprint(nodes, " nodes, ", name))
			last := s.statuses[len(s.statuses)-1]
			test.Eq(t, Status{Service: service, Release: "v2", Phase: tc.want[len(tc.want)-1]}, last)
			if name != "good" {
				test.LessEq(t, share*float64(s.requests)+tolerance, float64(s.exposed), test.Sprint(nodes, " nodes, ", name))
				test.Eq(t, 0, s.lateExposures, test.Sprint(nodes, " nodes, ", name))
			}
		}
	}
}

// TestReleasesUnderFaults plays orders while nodes are killed and restarted, judges first of all, are cut
// off, and the store is down: an order goes on or back, never both, no bad release gets more than its
// share, and nodes that see the others send it nothing later than the bound.
func TestReleasesUnderFaults(t *testing.T) {
	ended := make(map[Phase]int)
	for seed := range uint64(20) {
		const nodes = 24
		s := newSystem(seed, nodes)
		s.lossRate = 0.05
		released := usual
		if seed%2 == 0 {
			released = behavior{0.4, usual.took}
		}
		judges := s.nodes[0].judges(service, s.nodes[0].peers())
		phases := s.play(t, 600, always(released), func(elapsed time.Duration) {
			if elapsed > 20*time.Second {
				for _, n := range s.nodes {
					n.cutOff = false
					if !n.alive {
						n.start()
					}
				}
				s.storeUp = true
				return
			}
			if s.random.IntN(40) == 0 {
				s.storeUp = !s.storeUp
			}
			for i, n := range s.nodes {
				isJudge := n.addr.String() == judges[0] || n.addr.String() == judges[1]
				switch chance := s.random.IntN(400); {
				case chance == 0 || isJudge && chance < 8:
					n.alive = !n.alive
					if n.alive {
						s.nodes[i].start()
					}
				case chance == 9:
					n.cutOff = !n.cutOff
				}
			}
		})
		must.SliceNotEmpty(t, phases, must.Sprint(seed))
		last := phases[len(phases)-1]
		must.True(t, last.Final(), must.Sprint(seed, phases))
		ended[last]++
		if seed%2 == 0 {
			test.Eq(t, RolledBack, last, test.Sprint(seed))
			test.LessEq(t, share*float64(s.requests)+tolerance, float64(s.exposed), test.Sprint(seed))
		}
	}
	test.Positive(t, ended[Succeeded], test.Sprint(ended))
}

// TestPhaseSurvivesRestoreOfOlderCopy guards against nodes that start after the store has come back from an
// older copy and begin the trial of a release again that was rolled back.
func TestPhaseSurvivesRestoreOfOlderCopy(t *testing.T) {
	for _, nodes := range []int{3, 24} {
		s := newSystem(1, nodes)
		s.lossRate = 0.03
		phases := s.play(t, 600, always(behavior{0.4, usual.took}), nil)
		must.Eq(t, []Phase{RolledBack}, phases)
		s.restore()
		s.stepAll(t, (judges+1)*judgeDelay)
		test.Len(t, 1, s.records)
		exposed := s.exposed
		started := s.nodes[nodes-1]
		started.start()
		for range tolerance {
			s.request(started, usual)
		}
		test.Eq(t, exposed, s.exposed)
	}
}
