package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine is a stand-in whose first events come after a fixed time and its reading.
type engine struct{ tokenMs, firstMs, factor float64 }

func (e engine) after(tokens int) time.Duration {
	return time.Duration(e.factor * (e.firstMs + e.tokenMs*float64(tokens)) * float64(time.Millisecond))
}

// TestLearnsAnyEngine learns engines of several speeds from prompts of several sizes, a
// quarter of whose first events come seconds late.
func TestLearnsAnyEngine(t *testing.T) {
	for _, e := range []engine{{1.0 / 14, 60, 1}, {1.0 / 48, 30, 1}, {1.0 / 112, 45, 1}, {1.0 / 400, 10, 1}} {
		t.Run(fmt.Sprintf("%.0f tokens a ms", 1/e.tokenMs), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			m := New()
			now := start
			for i := range 96 {
				now = now.Add(100 * time.Millisecond)
				tokens := 200 + random.IntN(12_000)
				after := e.after(tokens)
				if i%4 == 0 {
					after += 2 * time.Second
				}
				m.Began("e", tokens, after, now)
			}
			f := m.Figures()
			test.InDelta(t, e.tokenMs, f.TokenMs, 0.15*e.tokenMs)
			test.InDelta(t, e.firstMs, f.FirstMs, 25)
		})
	}
}

// TestPriorsStandUntilOutcomesTell keeps the priors where prompts are too much alike.
func TestPriorsStandUntilOutcomesTell(t *testing.T) {
	m := New()
	before := m.Figures()
	for range 50 {
		m.Began("e", 500, 30*time.Millisecond, start)
	}
	test.Eq(t, before, m.Figures())
	test.Eq(t, priorRunMs, before.RunMs)
}

// TestSlowdownOfUnequalEngines tells engines of one fleet apart, follows one that turns slow, and
// forgets what is old.
func TestSlowdownOfUnequalEngines(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	m := New()
	now := start
	engines := map[string]engine{"quick": {0.02, 40, 1}, "usual": {0.02, 40, 1}, "slow": {0.02, 40, 2.5}}
	play := func(rounds int) {
		for range rounds {
			now = now.Add(100 * time.Millisecond)
			for id, e := range engines {
				tokens := 1000 + random.IntN(9000)
				m.Began(id, tokens, e.after(tokens), now)
			}
		}
	}
	play(40)
	test.Greater(t, 1.8, m.Slowdown("slow", now)/m.Slowdown("usual", now))
	test.InDelta(t, m.Slowdown("quick", now), m.Slowdown("usual", now), 0.2)
	engines["quick"] = engine{0.02, 40, 3}
	engines["slow"] = engine{0.02, 40, 1}
	play(40)
	test.Greater(t, 1.8, m.Slowdown("quick", now)/m.Slowdown("usual", now))
	test.Less(t, 1.5, m.Slowdown("slow", now)/m.Slowdown("usual", now), test.Sprint("it is sound again"))
	test.Eq(t, 1.0, m.Slowdown("quick", now.Add(slowdownFade+time.Second)))
	test.Eq(t, 1.0, m.Slowdown("unknown", now))
}

// TestRunsWeighByWhatTheyHold takes the time for which memory is held from the large runs:
// most runs are short and hold little.
func TestRunsWeighByWhatTheyHold(t *testing.T) {
	m := New()
	for range 20 {
		for range 4 {
			m.Ended(2000, 100*time.Millisecond)
		}
		m.Ended(12_000, 2*time.Second)
	}
	test.Eq(t, 2000, m.Figures().RunMs)
}
