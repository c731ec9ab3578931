package placer_test

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestMemoryCostIsWaitTime checks that an engine with room and nothing to read is preferred to one
// with empty memory and a queue. If memory three quarters full counted as a wait of a second,
// callers would get late first events from engines that have just loaded weights and have long
// queues, while other engines would respond at once.
func TestMemoryCostIsWaitTime(t *testing.T) {
	const memory, reading = 150_000, 2000
	fx := newFixture(t, fakeEvents{}, 1, 1)
	q := query()
	q.Attributes.Parts = nil
	q.Attributes.PromptTokens = 1000
	q.Service.Engine.KVTokens = memory
	for _, m := range fx.members {
		if m.ID == "e0" {
			m.Load.Begin(0, memory*3/4)
		} else {
			m.Load.Begin(reading, reading)
		}
	}
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)

	// Between two idle engines, the fuller one costs the time until a run frees memory.
	fx.members[0].Load.Begin(0, memory/5)
	fx.members[1].Load.FirstEvent(reading)
	p, ok = fx.Place(q)
	must.True(t, ok)
	test.Eq(t, "e1", p.Member.ID)
}
