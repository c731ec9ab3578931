package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulatedEngine is an engine whose first event takes a fixed time plus the time to read the
// prompt.
type simulatedEngine struct{ tokenMs, firstMs, factor float64 }

func (e simulatedEngine) firstEvent(tokens int) time.Duration {
	return time.Duration(e.factor * (e.firstMs + e.tokenMs*float64(tokens)) * float64(time.Millisecond))
}

// TestEstimatesEngineSpeed checks the estimates for engines of several speeds from prompts of
// several sizes, when a quarter of the first events are seconds late.
func TestEstimatesEngineSpeed(t *testing.T) {
	for _, e := range []simulatedEngine{{1.0 / 14, 60, 1}, {1.0 / 48, 30, 1}, {1.0 / 112, 45, 1}, {1.0 / 400, 10, 1}} {
		t.Run(fmt.Sprintf("%.0f tokens per ms", 1/e.tokenMs), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			m := New()
			now := start
			for i := range 96 {
				now = now.Add(100 * time.Millisecond)
				tokens := 200 + random.IntN(12_000)
				after := e.firstEvent(tokens)
				if i%4 == 0 {
					after += 2 * time.Second
				}
				m.RecordFirstEvent("e", tokens, after, now)
			}
			got := m.Estimates()
			test.InDelta(t, e.tokenMs, got.TokenMs, 0.15*e.tokenMs)
			test.InDelta(t, e.firstMs, got.FirstMs, 25)
		})
	}
}

// TestKeepsPriorsForSimilarPrompts checks that the priors stay if all prompts have the same size.
func TestKeepsPriorsForSimilarPrompts(t *testing.T) {
	m := New()
	before := m.Estimates()
	for range 50 {
		m.RecordFirstEvent("e", 500, 30*time.Millisecond, start)
	}
	test.Eq(t, before, m.Estimates())
	test.Eq(t, priorRunMs, before.RunMs)
}

// TestSlowdownOfEachEngine checks that each engine of a service has its own slowdown, which follows
// a change of speed and expires.
func TestSlowdownOfEachEngine(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	m := New()
	now := start
	engines := map[string]simulatedEngine{"quick": {0.02, 40, 1}, "usual": {0.02, 40, 1}, "slow": {0.02, 40, 2.5}}
	observe := func(rounds int) {
		for range rounds {
			now = now.Add(100 * time.Millisecond)
			for id, e := range engines {
				tokens := 1000 + random.IntN(9000)
				m.RecordFirstEvent(id, tokens, e.firstEvent(tokens), now)
			}
		}
	}
	observe(40)
	test.Greater(t, 1.8, m.Slowdown("slow", now)/m.Slowdown("usual", now))
	test.InDelta(t, m.Slowdown("quick", now), m.Slowdown("usual", now), 0.2)
	engines["quick"] = simulatedEngine{0.02, 40, 3}
	engines["slow"] = simulatedEngine{0.02, 40, 1}
	observe(40)
	test.Greater(t, 1.8, m.Slowdown("quick", now)/m.Slowdown("usual", now))
	test.Less(t, 1.5, m.Slowdown("slow", now)/m.Slowdown("usual", now), test.Sprint("the engine recovered"))
	test.Eq(t, 1.0, m.Slowdown("quick", now.Add(slowdownTTL+time.Second)))
	test.Eq(t, 1.0, m.Slowdown("unknown", now))
}

// TestRunTimeIsWeightedByMemory checks that long runs that hold much memory determine the estimated
// duration of a run, though most runs are short and hold little.
func TestRunTimeIsWeightedByMemory(t *testing.T) {
	m := New()
	for range 20 {
		for range 4 {
			m.RecordRun(2000, 100*time.Millisecond)
		}
		m.RecordRun(12_000, 2*time.Second)
	}
	test.Eq(t, 2000, m.Estimates().RunMs)
}
