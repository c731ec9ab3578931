package placer_test

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestMemoryCostIsWaitTime checks that an engine with room and nothing to read is preferred to one
// with empty memory and a queue. If memory three quarters full counted as a wait of a second,
// callers would get first events after 600 to 900 ms from engines that just loaded weights and have
// 50,000 tokens queued, while engines beside them respond within 100 ms.
func TestMemoryCostIsWaitTime(t *testing.T) {
	const memory, reading = 150_000, 2000
	w := newWorld(t, source{}, 1, 1)
	q := query()
	q.Attributes.Parts = nil
	q.Attributes.PromptTokens = 1000
	q.Service.Engine.KVTokens = memory
	for _, m := range w.members {
		if m.ID == "e0" {
			m.Load.Begin(0, memory*3/4)
		} else {
			m.Load.Begin(reading, reading)
		}
	}
	p, ok := w.Place(q)
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)

	// Between two idle engines, the fuller one costs the time until a run frees memory.
	w.members[0].Load.Begin(0, memory/5)
	w.members[1].Load.FirstEvent(reading)
	p, ok = w.Place(q)
	must.True(t, ok)
	test.Eq(t, "e1", p.Member.ID)
}
