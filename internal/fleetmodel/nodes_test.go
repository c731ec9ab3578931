package fleetmodel

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/peerload"
)

// noCallers returns a system of the first deployment without callers, with load reports of up to 120 ms.
func noCallers(nodes int) Config {
	c := firstDeployment().at(nodes, 2*time.Second)
	c.Classes, c.ReportAge = nil, 120*ms
	return c
}

// TestReportAge verifies when a node's load becomes known to another node, in a small and in a large
// system: reports must be neither older nor newer than configured, or placements would be tested with
// other loads than stated.
func TestReportAge(t *testing.T) {
	for _, tc := range []struct {
		name            string
		nodes, receiver int // the sender is node 0, of domain 0
		notices         Notices
		after, until    time.Duration // when the load becomes known
	}{
		{"small", 7, 1, Notices{}, 40 * ms, 120 * ms},
		{"small, notices", 7, 1, Notices{Delay: 5 * ms}, 5 * ms, 5 * ms},
		{"large", 32, 4, Notices{}, 40 * ms, 120 * ms},
		{"large, notices", 32, 4, Notices{Delay: 5 * ms}, 5 * ms, 5 * ms},
		{"large, lost notices", 32, 4, Notices{Delay: 5 * ms, Loss: 1}, 40 * ms, 120 * ms},
		{"other domain", 32, 1, Notices{Delay: 5 * ms}, 120 * ms, 250*ms + 120*ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := noCallers(tc.nodes)
			c.Notices = tc.notices
			w := New(c)
			known := func() peerload.Sum { return w.nodes[tc.receiver].table.Loads(w.now).At(engineID(0), 0) }
			const at = 1003 * ms
			w.after(at, func() {
				n := w.nodes[0]
				n.send(n.fleet.Members(service)[0], 3000, 5000)
			})
			w.after(at+tc.after-ms, func() { test.Eq(t, peerload.Sum{}, known()) })
			w.after(at+tc.until+ms, func() {
				test.Eq(t, 1, known().Running)
				test.InDelta(t, 3000, float64(known().PendingPromptTokens), 512) // rounded between domains
				test.InDelta(t, 5000, float64(known().HeldTokens), 512)
			})
			w.Simulate()
		})
	}
}

// TestOneNode verifies that a system of one node is the one that the model had before it had several:
// its results are the accepted ones of the experiments.
func TestOneNode(t *testing.T) {
	c := lightLoad()
	usual := describe(New(c).Simulate())
	c.Nodes, c.Domains, c.ReportAge, c.RemoteReportAge, c.Notices = 1, 1, 120*ms, 250*ms, Notices{Delay: 5 * ms}
	test.Eq(t, usual, describe(New(c).Simulate()))
}

// TestNodesAreDeterministic verifies that a system of many nodes gives the same result with the same
// seed, which makes comparisons of two versions of the code meaningful.
func TestNodesAreDeterministic(t *testing.T) {
	c := heaviestDay().at(32, 4*time.Second)
	c.Notices = Notices{Delay: 5 * ms, Loss: 0.1}
	test.Eq(t, New(c).Simulate(), New(c).Simulate())
}

// TestStaleLoads verifies that fewer callers are served in time with old load reports than with
// current loads. Otherwise the model would not show the herding that it is built for.
func TestStaleLoads(t *testing.T) {
	c := secondDeployment().at(32, 5*time.Second)
	stale := New(c).Simulate().ForClass(question)
	c.ReportAge = 0
	current := New(c).Simulate().ForClass(question)
	t.Log(stale, current)
	test.Less(t, current.InTime, stale.InTime)
	test.Less(t, stale.Late, current.Late)
}

// TestPreemption verifies that runs are preempted only where slots or memory bind, and for slots only
// if the engines do that.
func TestPreemption(t *testing.T) {
	c := firstDeployment().at(7, 4*time.Second)
	play := func(slots, memory int, forSlots bool) *Result {
		c.PreemptForSlots, c.StatedMemory = forSlots, 0
		for i := range c.Engines {
			c.Engines[i].Slots, c.Engines[i].Memory = slots, memory
		}
		return New(c).Simulate()
	}
	const ample = 1 << 30
	test.Zero(t, play(1000, ample, true).Preempted)
	test.Zero(t, play(4, ample, false).Preempted)
	slots := play(4, ample, true)
	must.Positive(t, slots.Preempted)
	test.Eq(t, slots.Preempted, slots.PreemptedForSlots)
	memory := play(1000, 30_000, true)
	test.Positive(t, memory.Preempted)
	test.Zero(t, memory.PreemptedForSlots)
}

// TestGivingUp verifies that callers without events give up, before and after the first event, and
// that nothing of their requests remains anywhere.
func TestGivingUp(t *testing.T) {
	c := firstDeployment().at(7, 4*time.Second)
	for i := range c.Engines {
		c.Faults = append(c.Faults, Fault{Engine: i, At: 2 * time.Second, Length: time.Minute, SlowFactor: 10_000})
	}
	w := New(c)
	r := w.Simulate()
	verifyEnded(t, w)
	test.Positive(t, r.ForClass(question).GivenUp)
	test.Positive(t, r.ForClass(summary).GivenUp)
	for i := range c.Classes {
		c.Classes[i].GiveUp = 0
	}
	c.Faults = nil
	test.Zero(t, New(c).Simulate().ForClass(question).GivenUp)
}

// TestPauses verifies that streams with a long pause count as late, and those without as in time.
func TestPauses(t *testing.T) {
	c := firstDeployment().at(7, 4*time.Second)
	test.Zero(t, New(c).Simulate().ForClass(question).LatePause)
	for i := range c.Engines {
		c.Faults = append(c.Faults, Fault{Engine: i, At: 2 * time.Second, Length: 400 * ms, SlowFactor: 100})
	}
	slow := New(c).Simulate().ForClass(question)
	test.Positive(t, slow.LatePause)
	test.Positive(t, slow.InTime)
}
