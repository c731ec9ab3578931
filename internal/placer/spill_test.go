package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/residency"
)

// TestSpill fills the node's own failure domain. It guards against refusals while another domain of
// the region has room, and against prompts sent to domains that are nearly as full, unknown, evacuated,
// too far or not allowed.
func TestSpill(t *testing.T) {
	const slots, memory = 16, 109_921
	for _, tc := range []struct {
		name           string
		requests, held int // of each engine in south
		change         func(c *contended)
		want           bool
	}{
		{"a quarter of the slots is free", 12, 2000, nil, true},
		{"less than a fifth of the slots is free", 13, 2000, nil, false},
		{"a fifth of the memory is free", 10, 8700, nil, true},
		{"less than a fifth of the memory is free", 10, 8900, nil, false},
		{"loads of the domain lapsed", 0, 0, func(c *contended) { c.now = c.now.Add(5 * time.Second) }, false},
		{"domain without reported loads", 0, 0, func(c *contended) { c.PeerLoads = peerload.NewTable() }, false},
		{"evacuated", 0, 0, func(c *contended) { c.evacuate("south") }, false},
		{"another region", 0, 0, func(c *contended) { c.Regions = residency.Map{"north": "inland", "south": "coast"} }, false},
		{"small system", 0, 0, func(c *contended) {
			c.FullMesh = func() bool { return true }
			c.run("south", slots, 2000)
		}, false},
	} {
		c := newContended(t, slots, memory, map[string]int{"north": 5, "south": 5})
		c.Random = func() float64 { return 0.99 } // no prompt is moved for the domains' utilization
		c.arriveUrgent()
		c.run("north", slots, 5000)
		c.run("south", tc.requests, tc.held)
		if tc.change != nil {
			tc.change(c)
		}
		p, ok := c.Place(c.prompt(2, 3000, 300))
		test.Eq(t, tc.want, ok, test.Sprint(tc.name))
		test.Eq(t, tc.want, p.SlotState.Spilled, test.Sprint(tc.name))
		if ok {
			test.Eq(t, "south", p.Member.Endpoint().Domain)
			continue
		}
		test.Eq(t, "no_slot", p.Reason, test.Sprint(tc.name))
	}
}

// TestSpillKeepsResidency guards against a confined prompt that is spilled to a domain outside its
// regions, and against a spill of most urgent prompts that engines of the own domain would run.
func TestSpillKeepsResidency(t *testing.T) {
	c := newContended(t, 16, 109_921, map[string]int{"north": 5, "south": 5})
	c.Random = func() float64 { return 0.99 }
	c.Regions = residency.Map{"north": "inland", "south": "coast"}
	c.arriveUrgent()
	c.run("north", 16, 5000)
	_, ok := c.Place(confined(c.prompt(2, 3000, 300), "inland"))
	test.False(t, ok)
	c.Regions = residency.Map{"north": "inland", "south": "inland"}
	p, ok := c.Place(confined(c.prompt(2, 3000, 300), "inland"))
	must.True(t, ok)
	test.Eq(t, "south", p.Member.Endpoint().Domain)
	p, ok = c.Place(c.prompt(0, 300, 300))
	must.True(t, ok)
	test.Eq(t, "north", p.Member.Endpoint().Domain)
}

// TestSpillSpreads guards against a spill that sends all prompts of a full domain to the one engine
// with the lowest reported load.
func TestSpillSpreads(t *testing.T) {
	c := newContended(t, 16, 109_921, map[string]int{"north": 5, "south": 8})
	c.arriveUrgent()
	c.run("north", 16, 5000)
	c.run("south", 6, 3000)
	for _, m := range c.Fleet.Members("s") {
		if m.Endpoint().Domain == "south" && m.ID != "south3" {
			m.Load.Begin(20_000, 3000)
		}
	}
	used := make(map[string]int)
	for range 200 {
		p, ok := c.Place(c.prompt(2, 3000, 300))
		must.True(t, ok)
		used[p.Member.ID]++
	}
	test.MapLen(t, 8, used)
	for id, n := range used {
		test.LessEq(t, 200*3/8+20, n, test.Sprint(id))
	}
}

// arriveUrgent has most urgent prompts arrive within the time for which reported loads are current.
func (c *contended) arriveUrgent() {
	for range 8 {
		c.now = c.now.Add(50 * time.Millisecond)
		c.Place(c.prompt(0, 300, 20))
	}
}
