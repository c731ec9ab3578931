package member

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestNewNodeDetectsDeadMembers restarts a node after a failure domain has
// stopped, with a roster that still lists the stopped hosts. The node must
// detect them as dead within DetectBound.
func TestNewNodeDetectsDeadMembers(t *testing.T) {
	s := newSim(60, 5)
	s.startNodes(s.nodes...)
	s.awaitQuiet(2 * time.Minute)
	var lost []*simNode
	for _, n := range s.nodes {
		if n.entry.Domain == "domain-06" {
			lost = append(lost, n)
			s.crash(n)
		}
	}
	s.run(20 * time.Second)
	s.startNode(s.nodes[0], s.roster())
	times := s.awaitEach(lost, time.Minute, func(r *record) bool { return r.dead })
	test.LessEq(t, DetectBound, quantilesOf(times).max)
}

// newQuietChecker returns a checker for n nodes whose views agree.
func newQuietChecker(n int, seed uint64) *checker {
	s := newSim(n, seed)
	s.startNodes(s.nodes...)
	s.awaitQuiet(2 * time.Minute)
	return newChecker(s)
}

// runScenario causes each kind of failure once. Node b is the first successor of
// node a on the ring.
func runScenario(t *testing.T, k *checker) {
	s := k.s
	a := s.nodes[0]
	b := s.byAddr[a.core.topo.selectPeers(1)[0].addr]
	k.disconnectedPair = []*simNode{a, b}
	k.setBlocked(func(x, y *simNode) bool { return x == a && y == b || x == b && y == a })
	k.run(30 * time.Second)
	k.disconnectedPair = nil
	// Node a is disconnected until it is Dead, and then reconnected.
	k.setBlocked(func(x, y *simNode) bool { return x == a || y == a })
	k.run(20 * time.Second)
	k.setBlocked(nil)
	k.run(RejoinBound + 20*time.Second)
	k.leave(b)
	crashed := s.nodes[2]
	must.True(t, b != crashed)
	s.crash(crashed)
	k.run(DetectBound + 5*time.Second)
	s.startNode(crashed, s.roster())
	k.run(10 * time.Second)
}

// tamperEntries returns a function that applies change to every entry of every
// message.
func tamperEntries(change func(to *simNode, e *Entry)) func(*checker) {
	return func(k *checker) {
		k.s.tamper = func(_, to *simNode, m *Message) {
			change(to, &m.From)
			for i := range m.Entries {
				change(to, &m.Entries[i])
			}
		}
	}
}

// TestCheckerDetectsViolations runs the scenario with the unmodified protocol
// and with variants that are each broken in one way. The checker must report no
// violation for the first and the matching one for each of the others.
func TestCheckerDetectsViolations(t *testing.T) {
	drop := func(e *Entry) { *e = Entry{} }
	for _, c := range []struct {
		violation     string
		breakProtocol func(*checker)
	}{
		{"", func(*checker) {}},
		{violationRejoin, tamperEntries(func(to *simNode, e *Entry) {
			if e.ID == to.entry.ID {
				drop(e)
			}
		})},
		{violationDetect, tamperEntries(func(_ *simNode, e *Entry) {
			if e.State == Suspect || e.State == Dead {
				drop(e)
			}
		})},
		{violationObserver, tamperEntries(func(_ *simNode, e *Entry) {
			if e.State == Suspect && len(e.Observers) == 1 {
				e.Observers = append(e.Observers, "nobody")
			}
		})},
		{violationLeave, tamperEntries(func(_ *simNode, e *Entry) {
			if e.State == Leaving {
				e.State = Alive
			}
		})},
		{violationSeq, func(k *checker) {
			k.s.at(k.s.now.Add(5*time.Second), func() { k.s.nodes[3].core.byID["host-0004"].seq = 9 })
		}},
		{violationVersion, func(k *checker) {
			k.s.at(k.s.now.Add(5*time.Second), func() { k.s.nodes[3].core.version-- })
		}},
		{violationSelf, func(k *checker) {
			k.s.at(k.s.now.Add(5*time.Second), func() { k.s.nodes[3].core.markDead(k.s.nodes[3].core.self) })
		}},
	} {
		k := newQuietChecker(12, 7)
		c.breakProtocol(k)
		runScenario(t, k)
		if c.violation == "" {
			test.MapEmpty(t, k.violations)
			continue
		}
		test.MapContainsKey(t, k.violations, c.violation, test.Sprint(k.violations))
	}
}

// TestRandomFaults runs random failures from fixed seeds, some of them at the
// same time. It checks the invariants throughout, and at the end that all views
// show exactly the live nodes as live. CHERRYWARD_MEMBER_SEEDS sets the number
// of seeds.
func TestRandomFaults(t *testing.T) {
	seeds := 8
	if n, err := strconv.Atoi(os.Getenv("CHERRYWARD_MEMBER_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		k := newQuietChecker(24, seed)
		s := k.s
		s.lossRate = []float64{0, 0.01, 0.05}[seed%3]
		for range 12 {
			n := s.nodes[s.rng.IntN(len(s.nodes))]
			_, hasLeft := k.leaveTimes[n]
			switch s.rng.IntN(6) {
			case 0:
				s.crash(n)
			case 1:
				if !n.up {
					delete(k.leaveTimes, n)
					s.startNode(n, s.roster())
				}
			case 2:
				if n.up && !hasLeft && len(k.leaveTimes) < 4 {
					k.leave(n)
				}
			case 3:
				half := s.rng.IntN(len(s.nodes))
				k.setBlocked(func(a, b *simNode) bool { return (a.index < half) != (b.index < half) })
			case 4:
				k.setBlocked(func(a, b *simNode) bool { return b == n })
			case 5:
				k.setBlocked(nil)
			}
			k.run(time.Duration(1+s.rng.IntN(30)) * time.Second)
		}
		k.setBlocked(nil)
		k.run(RejoinBound + 30*time.Second)
		must.MapEmpty(t, k.violations, must.Sprint("seed ", seed, k.violations))
		for _, observer := range s.liveNodes() {
			for _, subject := range s.nodes {
				must.Eq(t, subject.up, !observer.core.byID[subject.entry.ID].dead, must.Sprint("seed ", seed, observer.entry.ID, subject.entry.ID))
			}
		}
	}
}

// TestRosterLeaving checks that a member is shown as Leaving by all nodes,
// itself included, if the roster of a single node marks it as Leaving. A member
// that is
// removed from the roster is also shown as Leaving.
func TestRosterLeaving(t *testing.T) {
	k := newQuietChecker(30, 9)
	k.s.lossRate = 0.05
	roster := k.s.roster()
	roster[7].Leaving = true
	k.s.nodes[0].core.setRoster(k.s.now, roster)
	k.s.sendQueued(k.s.nodes[0])
	times := k.s.awaitEach(k.s.nodes[7:8], time.Minute, func(r *record) bool { return r.state() == Leaving })
	test.LessEq(t, LeaveBound, quantilesOf(times).max)
	test.True(t, k.s.nodes[7].core.self.leaving)
	shortened := append(k.s.roster()[:9], k.s.roster()[10:]...)
	k.s.nodes[0].core.setRoster(k.s.now, shortened)
	test.Eq(t, Leaving, k.s.nodes[0].core.byID["host-0009"].state())
}

// TestSuperseded starts a second process with the ID of a live node. The newer
// process must take over the ID, and the older one must be superseded.
func TestSuperseded(t *testing.T) {
	k := newQuietChecker(10, 11)
	k.run(2 * startupWindow)
	old := k.s.nodes[4]
	newer := &simNode{index: 10, entry: old.entry}
	newer.entry.Addr = "10.9.9.9:7400"
	k.s.nodes = append(k.s.nodes, newer)
	k.s.byAddr[newer.entry.Addr] = newer
	k.s.startNode(newer, k.s.roster()[:10])
	k.s.run(20 * time.Second)
	test.True(t, old.core.superseded)
	test.False(t, newer.core.superseded)
	for _, n := range k.s.nodes[:4] {
		r := n.core.byID[old.entry.ID]
		test.Eq(t, newer.core.self.incarnation, r.incarnation)
		test.Eq(t, newer.entry.Addr, r.addr)
		test.Eq(t, Alive, r.state())
	}
}
