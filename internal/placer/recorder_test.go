package placer_test

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
)

// counts counts the decisions of a placer.
type counts struct {
	refused        map[string]int
	spilled, moved int // prompts placed in other domains
}

func (c *counts) Refused(_ *routing.Route, reason string) { c.refused[reason]++ }

func (c *counts) PlacedInOtherDomain(_ *routing.Route, spilled bool) {
	if spilled {
		c.spilled++
	} else {
		c.moved++
	}
}

// TestDecisionsAreCounted guards against a refusal that is counted at each attempt of a waiting prompt,
// or not at all, and against a spill counted as a prompt moved for the domains' utilization.
func TestDecisionsAreCounted(t *testing.T) {
	c := newContended(t, 16, 109_921, map[string]int{"north": 5, "south": 5})
	var waiting forward.Placement
	counted := &counts{refused: make(map[string]int)}
	c.Recorder = counted
	c.arriveUrgent()
	c.run("north", 16, 5000)
	c.Random = func() float64 { return 0.99 }
	_, ok := c.Place(c.prompt(2, 3000, 300))
	must.True(t, ok)
	test.Eq(t, counts{spilled: 1, refused: map[string]int{}}, *counted)
	c.run("south", 6, 5000)
	c.Random = func() float64 { return 0 }
	_, ok = c.Place(c.prompt(0, 300, 300))
	must.True(t, ok)
	test.Eq(t, counts{spilled: 1, moved: 1, refused: map[string]int{}}, *counted)
	c.run("south", 10, 5000)
	for range 3 {
		p, ok := c.Place(c.prompt(2, 3000, 300))
		must.False(t, ok)
		test.MapEmpty(t, counted.refused, test.Sprint("the prompt may wait"))
		waiting = p
	}
	waiting.OnRefusal()
	test.Eq(t, 1, counted.refused["no_slot"])
	for _, m := range c.Fleet.Members("s") {
		c.Fleet.Remove(m.ID)
	}
	p, ok := c.Place(c.prompt(2, 3000, 300))
	must.False(t, ok)
	test.Zero(t, p.OnRefusal(), test.Sprint("no prediction"))
	test.Eq(t, 1, counted.refused["unavailable"])
}
