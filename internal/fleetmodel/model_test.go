package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const (
	long  = "long"  // large prompts, medium rank
	short = "short" // small prompts, most urgent rank
)

// smallMemory is an engine with memory for five or six of the large prompts.
var smallMemory = EngineConfig{Memory: 70_000, Slots: 64, PrefillPerMs: 48, StepMs: 2.6, RunStepMs: 0.12, ChunkTokens: 2048}

// testConfig returns a fleet of identical engines and bursts of large and small prompts. load is
// a factor on their rate.
func testConfig(seed uint64, engines int, engine EngineConfig, load float64) Config {
	c := Config{
		Seed: seed, StoreTokens: 4_000_000, Length: 25 * time.Second, EventDelay: 300 * time.Millisecond, StatedMemory: engine.Memory,
		Classes: []Class{
			{Name: long, PerSecond: 12 * load, Burst: 3, Rank: 1, Sessions: 120, SharedTokens: 8600, OwnTokens: 2900, OutputTokens: 380, Objective: 1200 * time.Millisecond, Deadline: 12 * time.Second},
			{Name: short, PerSecond: 46 * load, Burst: 3, Rank: 0, Sessions: 460, SharedTokens: 1500, OwnTokens: 500, OutputTokens: 20, Objective: 1200 * time.Millisecond, Deadline: 3 * time.Second},
		},
	}
	for range engines {
		c.Engines = append(c.Engines, engine)
	}
	return c
}

func describe(r *Result) string {
	return fmt.Sprintf("long %+v largest %+v short %+v first refusals %d preemptions %d recomputed %d max wait %s",
		r.ForClass(long), r.LargestTenth(long), r.ForClass(short), r.FirstRefusals, r.Preempted, r.RecomputedTokens, r.MaxWait)
}

// TestSameSeedSameResult verifies that simulations are deterministic, which makes failures of
// other tests reproducible.
func TestSameSeedSameResult(t *testing.T) {
	first, second := New(testConfig(7, 7, smallMemory, 1)).Simulate(), New(testConfig(7, 7, smallMemory, 1)).Simulate()
	test.Eq(t, describe(first), describe(second))
}

// TestMemoryIsNotOverfilled verifies that placement with known engine memory avoids preemptions.
// Under this load, placement that ignores the memory fills the engines, so that they preempt many
// runs and serve fewer callers in time.
func TestMemoryIsNotOverfilled(t *testing.T) {
	for seed := range uint64(3) {
		known := testConfig(seed, 6, smallMemory, 1.3)
		unknown := known
		unknown.StatedMemory = 0
		before, after := New(unknown).Simulate(), New(known).Simulate()
		t.Log("memory unknown:", describe(before))
		t.Log("memory known:  ", describe(after))
		test.Greater(t, 12, before.Preempted)
		test.LessEq(t, 3, after.Preempted)
		test.Less(t, 0.15, before.ForClass(long).ShareInTime())
		test.Greater(t, 0.6, after.ForClass(long).ShareInTime())
		test.GreaterEq(t, before.ForClass(short).ShareInTime(), after.ForClass(short).ShareInTime())
		test.Less(t, before.RecomputedTokens/10, after.RecomputedTokens)
	}
}

// TestSustainedOverload verifies that at more than twice its capacity the fleet still serves a
// large share in time, of all prompt sizes and with the more urgent rank preferred, and refuses the
// rest after a short wait.
func TestSustainedOverload(t *testing.T) {
	for seed := range uint64(3) {
		c := testConfig(seed, 5, smallMemory, 1.7)
		r := New(c).Simulate()
		t.Log(describe(r))
		c.StatedMemory = 0
		before := New(c).Simulate()
		t.Log("memory unknown:", describe(before))
		all := r.ForClass(long)
		test.Greater(t, 0.3, all.ShareInTime())
		test.Greater(t, 4*before.ForClass(long).ShareInTime(), all.ShareInTime())
		test.Greater(t, all.ShareServed()/2, r.LargestTenth(long).ShareServed())
		test.GreaterEq(t, all.ShareInTime(), r.ForClass(short).ShareInTime())
		test.LessEq(t, 150*time.Millisecond, r.MaxWait)
	}
}

// TestSharedPartsPrefilledOnce verifies that shared parts that the engines have evicted are imported
// from the store instead of being prefilled again. The engines' memory is replaced within seconds.
func TestSharedPartsPrefilledOnce(t *testing.T) {
	for seed := range uint64(3) {
		c := testConfig(seed, 7, smallMemory, 1)
		r := New(c).Simulate()
		t.Log(describe(r))
		must.Positive(t, r.ForClass(long).InTime)
		c.StoreTokens = 0
		without := New(c).Simulate()
		t.Log("without a store:", describe(without))
		const sharedTokens = 25 * (12*8600 + 46*1500) // approximate number of tokens in shared parts
		test.Less(t, sharedTokens/20, r.RecomputedTokens)
		test.Less(t, without.RecomputedTokens/8, r.RecomputedTokens)
		test.Greater(t, without.ForClass(long).ShareInTime()+0.15, r.ForClass(long).ShareInTime())
	}
}

// TestVariedEngines verifies that nearly all requests are served in time by engines of other speeds
// and memory sizes, and by a mixed fleet, with the load scaled to their capacity.
func TestVariedEngines(t *testing.T) {
	slow := EngineConfig{Memory: 70_000, Slots: 64, PrefillPerMs: 24, StepMs: 3.5, RunStepMs: 0.12, ChunkTokens: 1024}
	fast := EngineConfig{Memory: 180_000, Slots: 128, PrefillPerMs: 112, StepMs: 3.2, RunStepMs: 0.1, ChunkTokens: 2048}
	few := EngineConfig{Memory: 100_000, Slots: 12, PrefillPerMs: 112, StepMs: 3.2, RunStepMs: 0.1, ChunkTokens: 2048}
	unequal := testConfig(1, 0, smallMemory, 0.9)
	for _, factor := range []float64{1, 1, 2, 1, 1, 2, 1, 3} {
		e := smallMemory
		e.PrefillPerMs /= factor
		e.StepMs *= factor
		unequal.Engines = append(unequal.Engines, e)
	}
	for _, tc := range []struct {
		name   string
		config Config
	}{{"slow", testConfig(1, 9, slow, 0.6)}, {"fast", testConfig(1, 9, fast, 2)}, {"few slots", testConfig(1, 12, few, 1.2)}, {"unequal", unequal}} {
		t.Run(tc.name, func(t *testing.T) {
			r := New(tc.config).Simulate()
			t.Log(describe(r))
			test.Greater(t, 0.85, r.ForClass(long).ShareInTime())
			test.Greater(t, 0.95, r.ForClass(short).ShareInTime())
		})
	}
}
