package placer_test

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestMemoryCostsWhatIsWaitedFor has an engine with room and nothing to read preferred to one whose
// memory is empty and whose time is taken. Callers got first events after 600 to 900 ms from engines
// that had just loaded weights, with 50,000 tokens ahead of each prompt, while those beside them gave
// theirs after 100 ms: memory that was three quarters full was taken for a wait of a second.
func TestMemoryCostsWhatIsWaitedFor(t *testing.T) {
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

	// Beside one that is as idle, the fuller one costs the time until a run has made room.
	w.members[0].Load.Begin(0, memory/5)
	w.members[1].Load.FirstEvent(reading)
	p, ok = w.Place(q)
	must.True(t, ok)
	test.Eq(t, "e1", p.Member.ID)
}
