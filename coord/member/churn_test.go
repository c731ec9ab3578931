package member

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// replaceHost stops a host, with or without a leave, and starts a host with a
// new ID in the same failure domain. The roster contains the change only after
// rosterLag.
func (s *sim) replaceHost(index int, graceful bool, rosterLag time.Duration) *simNode {
	old := s.nodes[index]
	if graceful {
		old.core.leave(s.now)
		s.sendQueued(old)
		s.at(s.now.Add(LeaveBound), func() { s.crash(old) })
	} else {
		s.crash(old)
	}
	replacement := &simNode{index: len(s.nodes), entry: RosterEntry{
		ID:     fmt.Sprintf("host-%04d", len(s.nodes)),
		Addr:   fmt.Sprintf("10.1.%d.%d:7400", index/250, index%250),
		Domain: old.entry.Domain,
	}}
	roster := s.roster()
	s.nodes = append(s.nodes, replacement)
	s.byAddr[replacement.entry.Addr] = replacement
	s.startNode(replacement, roster)
	s.at(s.now.Add(rosterLag), func() {
		updated := slices.DeleteFunc(s.roster(), func(e RosterEntry) bool { return !s.byAddr[e.Addr].up })
		for _, n := range s.liveNodes() {
			n.core.setRoster(s.now, updated)
		}
	})
	return replacement
}

// TestChurn replaces a host every 30 s, which is 2,880 a day, at 1% message
// loss. It checks that the traffic stays within its limit and that no dead
// members remain at the end. It logs how long new hosts take to appear in the
// views of all live nodes; the roster contains them only after a minute. With
// CHERRYWARD_MEMBER_FULL set, the test runs 1,000 members.
func TestChurn(t *testing.T) {
	n := 100
	if os.Getenv("CHERRYWARD_MEMBER_FULL") != "" {
		n = 1000
	}
	s := newSim(n, 21)
	s.lossRate = 0.01
	s.startNodes(s.nodes...)
	s.awaitQuiet(10 * time.Minute)
	var delays []time.Duration
	bytesPerSecond := s.meanTraffic(func() {
		for i := range 8 {
			end := s.now.Add(30 * time.Second)
			replacement := s.replaceHost(i, i%4 != 0, time.Minute)
			hasReported := func(r *record) bool { return r.incarnation == replacement.core.self.incarnation }
			delays = append(delays, s.awaitEach([]*simNode{replacement}, 20*time.Second, hasReported)...)
			s.run(end.Sub(s.now))
		}
	})
	appearance := quantilesOf(delays)
	t.Logf("members %d: new host in all views after %v s, %.0f B/s", n, appearance, bytesPerSecond)
	test.LessEq(t, 20*time.Second, appearance.p99)
	test.LessEq(t, 2048, bytesPerSecond)
	s.run(2*time.Minute + deadRetention)
	for _, observer := range s.liveNodes() {
		test.Len(t, n, observer.core.records)
		test.Len(t, 0, observer.core.deadMembers)
	}
}
