package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/peerload"
)

// goneTime is how long a node that is gone stays listed at most: until its entry is marked and
// removed, with looks that come in between.
func goneTime() time.Duration { return goneAfter + goneGrace(0) + 6*sweepPause }

// TestReplacedNodeLeavesTheList replaces nodes of small and large systems by others of another
// name and address, one and ten in a row. They leave the count of all nodes, at two writes for
// each, while those that live stay.
func TestReplacedNodeLeavesTheList(t *testing.T) {
	for _, tc := range []struct{ nodes, replaced int }{{7, 1}, {7, 10}, {30, 10}} {
		t.Run(fmt.Sprint(tc.replaced, " of ", tc.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				s.startAll(t, tc.nodes)
				writes := s.log.writes
				test.Eq(t, tc.nodes, writes)
				for i := range tc.replaced {
					s.kill(fmt.Sprint("n", i))
					s.start(fmt.Sprint("n", tc.nodes+i), tc.nodes+i, fmt.Sprint("d", i%3))
					s.run(t, 4*time.Second)
				}
				s.agree(t, tc.nodes+tc.replaced)
				// Others look after a node once the system is no more a large one.
				s.run(t, 2*goneTime()+time.Duration(tc.replaced)*sweepPause)
				s.agree(t, tc.nodes)
				test.Eq(t, writes+3*tc.replaced, s.log.writes)
				for name, n := range s.nodes {
					test.True(t, n.Counted(), test.Sprint(name))
				}
				before := s.log.reads
				s.run(t, 10*time.Minute)
				test.Eq(t, writes+3*tc.replaced, s.log.writes, test.Sprint("nothing is written while nothing changes"))
				test.Between(t, 59*tc.nodes, s.log.reads-before, 61*tc.nodes)
			})
		})
	}
}

// TestLostDomainLeavesTheList removes the nodes of a failure domain of which none is left.
func TestLostDomainLeavesTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		s.startAll(t, 24)
		for i := 0; i < 24; i += 3 {
			s.kill(fmt.Sprint("n", i))
		}
		s.run(t, goneTime()+2*8*sweepPause)
		s.agree(t, 16)
	})
}

// TestLivingNodeStaysListed freezes a node for less than it takes to be gone, restarts it, and
// cuts it off from the other nodes but not from the store. It never leaves the count, and the
// cut costs two writes each time that it was silent for long.
func TestLivingNodeStaysListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		s.startAll(t, 7)
		writes := s.log.writes
		n := s.nodes["n3"]
		n.frozen = true
		s.run(t, goneAfter/2)
		n.frozen = false
		s.run(t, goneAfter/2)
		s.kill("n3")
		s.run(t, goneAfter/2)
		n = s.start("n3", 3, "d0")
		s.run(t, 2*goneTime())
		test.Eq(t, writes, s.log.writes)
		n.silent = true
		const cut = 10 * time.Minute
		for range int(cut / time.Second) {
			s.run(t, time.Second)
			s.agree(t, 7)
			test.True(t, n.Counted())
		}
		test.LessEq(t, 2*int(cut/goneAfter), s.log.writes-writes)
		test.Greater(t, writes, s.log.writes)
	})
}

// TestNodeThatHearsNobodyMarksNone has a node that is cut off from the others leave their
// entries alone, and one that was frozen give them time to be heard.
func TestNodeThatHearsNobodyMarksNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		s.startAll(t, 2)
		writes := s.log.writes
		s.nodes["n0"].silent = true
		s.run(t, goneTime())
		test.Eq(t, writes, s.log.writes)
	})
}

// TestFrozenSweeperWaitsAnew has a node that was frozen give the others time to be heard.
func TestFrozenSweeperWaitsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		s.startAll(t, 3)
		for _, n := range s.nodes {
			n.silent = true
			n.sweeper.hears = func(time.Duration) bool { return true }
		}
		time.Sleep(goneAfter)
		s.run(t, goneAfter-2*sweepPause)
		test.Eq(t, 3, s.log.writes)
		s.run(t, 4*sweepPause)
		test.Greater(t, 3, s.log.writes)
	})
}

// TestSweeperRuns marks a node that is gone.
func TestSweeperRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		s.startAll(t, 2)
		s.nodes["n1"].silent = true
		sweeper := s.nodes["n0"].sweeper
		sweeper.hears = func(time.Duration) bool { return true }
		ctx, cancel := context.WithTimeout(t.Context(), goneAfter+3*sweepPause)
		defer cancel()
		must.NoError(t, sweeper.run(ctx))
		test.Eq(t, 3, s.log.writes)
	})
}

// TestSweepersDontFight has one of two that write at once fail, and a node that wrote its entry
// meanwhile stay.
func TestSweepersDontFight(t *testing.T) {
	log := &nodesLog{}
	n := &listedNode{log: log}
	must.NoError(t, n.Put(t.Context(), "a", []byte("{}")))
	end := int64(len(log.records))
	must.NoError(t, n.PutIf(t.Context(), "a", []byte(`{"gone":true}`), end))
	test.Error(t, n.PutIf(t.Context(), "a", []byte(`{"gone":true}`), end))
	end++
	must.NoError(t, n.Put(t.Context(), "a", []byte("{}")))
	test.Error(t, n.PutIf(context.Background(), "a", nil, end))
	test.Len(t, 1, log.newest())
}

// TestNodesFollowTheList counts the nodes that are listed, or heard and not listed yet, once
// the list was read; before, none that was heard is taken for gone.
func TestNodesFollowTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n0")
		hears := func(names ...string) {
			for i, name := range names {
				v.node.peers.Table.Take(peerload.Digest{Node: name, Incarnation: time.Now().UnixNano(), Seq: int64(i)}, time.Now())
			}
		}
		hears("n1", "n2", "n3")
		time.Sleep(time.Minute)
		test.Eq(t, 4, v.node.nodes())
		v.knows(t, "n0", "n1")
		test.Eq(t, 2, v.node.nodes())
		hears("n1", "n4", "n5")
		test.Eq(t, 4, v.node.nodes())
		time.Sleep(time.Minute)
		test.Eq(t, 2, v.node.nodes())
	})
}
