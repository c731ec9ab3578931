package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simulation sends requests to endpoints of which some fail. It uses no real time or network.
type simulation struct {
	random    *rand.Rand
	endpoints int
	failing   int
	attempts  int // number of attempts that reached an endpoint
}

const simulatedRequests = 100_000

// endpoint simulates an attempt at a randomly chosen endpoint.
func (s *simulation) endpoint(time.Time, Attempt) error {
	s.attempts++
	if s.random.IntN(s.endpoints) < s.failing {
		return &AttemptError{State: NotRun, Err: errTest}
	}
	return nil
}

type hop func(now time.Time, a Attempt) error

// budgetedHop returns a hop that calls next and retries by the policy. If honorDownstream is
// set, it does not retry when an upstream hop is responsible for retries.
func budgetedHop(p *Policy, next hop, honorDownstream bool) hop {
	return func(now time.Time, a Attempt) error {
		s := p.NewSequence(Call{Downstream: honorDownstream && a.Downstream})
		for {
			err := next(now, s.StartAttempt(now))
			if err == nil {
				s.Succeeded(now)
				return nil
			}
			wait, gaveUp := s.Failed(now, err)
			if gaveUp != nil {
				return &AttemptError{State: NotRun, Err: gaveUp}
			}
			now = now.Add(wait)
		}
	}
}

// naiveHop returns a hop that retries three times without a budget.
func naiveHop(next hop) hop {
	return func(now time.Time, a Attempt) error {
		var err error
		for range 4 {
			if err = next(now, a); err == nil {
				return nil
			}
		}
		return err
	}
}

// run returns the load amplification (attempts per request) and the share of requests that
// succeeded.
func (s *simulation) run(outer hop) (amplification, successShare float64) {
	var succeeded int
	for i := range simulatedRequests {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		if outer(now, Attempt{}) == nil {
			succeeded++
		}
	}
	return float64(s.attempts) / simulatedRequests, float64(succeeded) / simulatedRequests
}

// TestAmplification checks that with a budget the load amplification stays below 1.1 whatever
// share of the endpoints fails, and that budgets of several hops do not multiply if only the
// hop nearest to the caller retries.
func TestAmplification(t *testing.T) {
	policy := func() *Policy { return NewPolicy(NewBudget(epoch, DefaultBudget), DefaultIntervals) }
	tests := []struct {
		name             string
		failing          int // number of failing endpoints, out of nine
		build            func(endpoint hop) hop
		minAmplification float64
		maxAmplification float64
	}{
		{"one hop, naive, third failing", 3, naiveHop, 1.4, 1.5},
		{"one hop, budget, third failing", 3, func(e hop) hop { return budgetedHop(policy(), e, true) }, 1.05, 1.1},
		{"one hop, budget, one failing", 1, func(e hop) hop { return budgetedHop(policy(), e, true) }, 1.05, 1.1},
		{"one hop, naive, all failing", 9, naiveHop, 4, 4},
		{"one hop, budget, all failing", 9, func(e hop) hop { return budgetedHop(policy(), e, true) }, 1, 1.001},
		{"two hops, naive, third failing", 3, func(e hop) hop { return naiveHop(naiveHop(e)) }, 1.45, 1.55},
		{"two hops, naive, all failing", 9, func(e hop) hop { return naiveHop(naiveHop(e)) }, 16, 16},
		{"two hops, two budgets, third failing", 3, func(e hop) hop {
			return budgetedHop(policy(), budgetedHop(policy(), e, false), false)
		}, 1.1, 1.2},
		{"two hops, one budget, third failing", 3, func(e hop) hop {
			return budgetedHop(policy(), budgetedHop(policy(), e, true), true)
		}, 1.05, 1.1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := &simulation{random: rand.New(rand.NewPCG(4, 4)), endpoints: 9, failing: tc.failing}
			amplification, successShare := s.run(tc.build(s.endpoint))
			t.Logf("amplification %.4f, succeeded %.1f%%", amplification, 100*successShare)
			must.Between(t, tc.minAmplification, amplification, tc.maxAmplification)
		})
	}
}
