package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
)

// TestSlotsLimitPlacement loads all slots with requests that hold a third of the memory. It guards
// against prompts that queue for a slot at an engine, where more urgent ones preempt them, and against
// urgent prompts that are refused while less urgent ones run.
func TestSlotsLimitPlacement(t *testing.T) {
	c := newContended(t, 16, 109_921, map[string]int{"north": 4})
	c.arrive(t, 2, 2)
	c.arrive(t, 0, 4)
	c.run("north", 16, 2300)
	p, ok := c.Place(c.prompt(2, 2000, 300))
	must.False(t, ok)
	test.Eq(t, "no_slot", p.Reason)
	test.Positive(t, p.PredictedWait)
	test.Eq(t, forward.SlotState{Running: 16, Slots: 16}, p.SlotState)
	p, ok = c.Place(c.prompt(0, 300, 300))
	must.True(t, ok, must.Sprint("engines admit the most urgent prompts before others"))
	must.Less(t, 70*time.Millisecond, p.PredictedFirstEvent, must.Sprint("such a prompt does not wait for a slot"))
	c.Fleet.Members("s")[2].Load.End(2300)
	p, ok = c.Place(c.prompt(0, 300, 300))
	must.True(t, ok)
	test.Eq(t, 15, p.SlotState.Running, test.Sprint("the engine with a free slot is preferred"))
	p, ok = c.Place(c.prompt(2, 2000, 300))
	must.True(t, ok)
	test.Eq(t, 15, p.SlotState.Running, test.Sprint("the last slot is free for any prompt"))
}

// TestMemoryLimitsPlacement loads engines with 64 slots whose memory holds 23 requests. It guards
// against refusals for lack of slots where memory is the limit, and against a slot that is left unused
// beside many small requests.
func TestMemoryLimitsPlacement(t *testing.T) {
	c := newContended(t, 64, 95_724, map[string]int{"north": 4})
	c.arrive(t, 0, 4)
	c.run("north", 22, 4165)
	p, ok := c.Place(c.prompt(2, 11_900, 384))
	must.False(t, ok)
	test.Eq(t, "no_room", p.Reason)
	for _, m := range c.Fleet.Members("s") {
		for range 22 {
			m.Load.End(4165)
		}
	}
	c.run("north0", 63, 500)
	c.run("north1", 18, 5000)
	c.run("north2", 18, 5000)
	c.run("north3", 18, 5000)
	c.now = c.now.Add(time.Second)
	p, ok = c.Place(c.prompt(2, 11_900, 384))
	must.True(t, ok)
	test.Eq(t, "north0", p.Member.ID)
}

// TestRequiresSlotAndMemory guards against a prompt placed where only one of the two is free, and a
// refusal while another engine has both.
func TestRequiresSlotAndMemory(t *testing.T) {
	c := newContended(t, 16, 109_921, map[string]int{"north": 4})
	c.arrive(t, 0, 4)
	c.run("north0", 16, 2000)
	c.run("north1", 9, 12_000)
	c.run("north2", 16, 6700)
	c.run("north3", 16, 6000)
	p, ok := c.Place(c.prompt(2, 11_900, 380))
	must.False(t, ok)
	test.Eq(t, "no_slot", p.Reason, test.Sprint("only north0 has the memory"))
	c.Fleet.Members("s")[3].Load.End(6000)
	p, ok = c.Place(c.prompt(2, 11_900, 380))
	must.True(t, ok)
	test.Eq(t, "north3", p.Member.ID)
}

// TestSlotRuleOff guards against slots that limit placement where the configuration states none, and
// where all prompts are equally urgent: engines then queue them in their order, as before.
func TestSlotRuleOff(t *testing.T) {
	c := newContended(t, 16, 109_921, map[string]int{"north": 4})
	c.arrive(t, 1, 2)
	c.run("north", 16, 2300)
	p, ok := c.Place(c.prompt(1, 2000, 300))
	must.True(t, ok, must.Sprint("equally urgent prompts"))
	test.Greater(t, 100*time.Millisecond, p.PredictedFirstEvent, test.Sprint("they wait for a slot"))
	c.arrive(t, 0, 4)
	c.stated = 0
	_, ok = c.Place(c.prompt(2, 2000, 300))
	test.True(t, ok, test.Sprint("no slots stated"))
}
