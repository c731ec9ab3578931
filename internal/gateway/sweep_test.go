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

// maxRemovalTime returns the longest time that a node that is gone stays listed: until its entry is
// marked and removed, including the checks in between.
func maxRemovalTime() time.Duration { return silenceTimeout + removalGrace(0) + 6*sweepInterval }

// TestReplacedNodesAreRemoved replaces nodes of small and large systems, one or ten in a row, by
// nodes with other names and addresses. In the end no node may count the replaced nodes any longer,
// after two writes for each, while live nodes stay listed.
func TestReplacedNodesAreRemoved(t *testing.T) {
	for _, tc := range []struct{ nodes, replaced int }{{7, 1}, {7, 10}, {30, 10}} {
		t.Run(fmt.Sprint(tc.replaced, " of ", tc.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster()
				s.startAll(t, tc.nodes)
				writes := s.sharedTopic.writes
				test.Eq(t, tc.nodes, writes)
				for i := range tc.replaced {
					s.stop(fmt.Sprint("n", i))
					s.start(fmt.Sprint("n", tc.nodes+i), tc.nodes+i, fmt.Sprint("d", i%3))
					s.run(t, 4*time.Second)
				}
				s.requireCount(t, tc.nodes+tc.replaced)
				// Other sweepers become responsible for a node when the system stops being a large
				// one.
				s.run(t, 2*maxRemovalTime()+time.Duration(tc.replaced)*sweepInterval)
				s.requireCount(t, tc.nodes)
				test.Eq(t, writes+3*tc.replaced, s.sharedTopic.writes)
				for name, n := range s.nodes {
					test.True(t, n.HoldsLease(), test.Sprint(name))
				}
				before := s.sharedTopic.reads
				s.run(t, 10*time.Minute)
				test.Eq(t, writes+3*tc.replaced, s.sharedTopic.writes, test.Sprint("no writes without changes"))
				test.Between(t, 59*tc.nodes, s.sharedTopic.reads-before, 61*tc.nodes)
			})
		})
	}
}

// TestLostDomainIsRemoved checks that the nodes of a failure domain are removed when none of them
// is left.
func TestLostDomainIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster()
		s.startAll(t, 24)
		for i := 0; i < 24; i += 3 {
			s.stop(fmt.Sprint("n", i))
		}
		s.run(t, maxRemovalTime()+2*8*sweepInterval)
		s.requireCount(t, 16)
	})
}

// TestLiveNodeStaysListed freezes a node for less than silenceTimeout, restarts it, and disconnects
// it from the other nodes but not from the store. It must be counted throughout, and the
// disconnection may cost two writes per silenceTimeout.
func TestLiveNodeStaysListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster()
		s.startAll(t, 7)
		writes := s.sharedTopic.writes
		n := s.nodes["n3"]
		n.frozen = true
		s.run(t, silenceTimeout/2)
		n.frozen = false
		s.run(t, silenceTimeout/2)
		s.stop("n3")
		s.run(t, silenceTimeout/2)
		n = s.start("n3", 3, "d0")
		s.run(t, 2*maxRemovalTime())
		test.Eq(t, writes, s.sharedTopic.writes)
		n.silent = true
		const cut = 10 * time.Minute
		for range int(cut / time.Second) {
			s.run(t, time.Second)
			s.requireCount(t, 7)
			test.True(t, n.HoldsLease())
		}
		test.LessEq(t, 2*int(cut/silenceTimeout), s.sharedTopic.writes-writes)
		test.Greater(t, writes, s.sharedTopic.writes)
	})
}

// TestIsolatedNodeMarksNone checks that a node that receives no messages does not mark the other
// nodes' entries.
func TestIsolatedNodeMarksNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster()
		s.startAll(t, 2)
		writes := s.sharedTopic.writes
		s.nodes["n0"].silent = true
		s.run(t, maxRemovalTime())
		test.Eq(t, writes, s.sharedTopic.writes)
	})
}

// TestResumedSweeperWaits checks that a sweeper that was frozen waits for a full silenceTimeout
// before it marks other nodes.
func TestResumedSweeperWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster()
		s.startAll(t, 3)
		for _, n := range s.nodes {
			n.silent = true
			n.sweeper.connected = func(time.Duration) bool { return true }
		}
		time.Sleep(silenceTimeout)
		s.run(t, silenceTimeout-2*sweepInterval)
		test.Eq(t, 3, s.sharedTopic.writes)
		s.run(t, 4*sweepInterval)
		test.Greater(t, 3, s.sharedTopic.writes)
	})
}

// TestSweeperRuns checks that run marks a node that is gone.
func TestSweeperRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster()
		s.startAll(t, 2)
		s.nodes["n1"].silent = true
		sweeper := s.nodes["n0"].sweeper
		sweeper.connected = func(time.Duration) bool { return true }
		ctx, cancel := context.WithTimeout(t.Context(), silenceTimeout+3*sweepInterval)
		defer cancel()
		must.NoError(t, sweeper.run(ctx))
		test.Eq(t, 3, s.sharedTopic.writes)
	})
}

// TestConcurrentSweeperWrites checks that one of two concurrent conditional writes fails, and that
// a node that has written its entry meanwhile stays.
func TestConcurrentSweeperWrites(t *testing.T) {
	sharedTopic := &memoryTopic{}
	n := &simNode{sharedTopic: sharedTopic}
	must.NoError(t, n.Put(t.Context(), "a", []byte("{}")))
	end := int64(len(sharedTopic.records))
	must.NoError(t, n.PutIf(t.Context(), "a", []byte(`{"gone":true}`), end))
	test.Error(t, n.PutIf(t.Context(), "a", []byte(`{"gone":true}`), end))
	end++
	must.NoError(t, n.Put(t.Context(), "a", []byte("{}")))
	test.Error(t, n.PutIf(context.Background(), "a", nil, end))
	test.Len(t, 1, sharedTopic.newest())
}

// TestNodeCount checks that the listed nodes are counted, or those whose messages arrived recently
// if they are more. Before the list has been read, no node whose messages arrived is considered
// gone.
func TestNodeCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n0")
		receive := func(names ...string) {
			for i, name := range names {
				v.node.peers.Table.Record(peerload.Digest{Node: name, Incarnation: time.Now().UnixNano(), Seq: int64(i)}, time.Now())
			}
		}
		receive("n1", "n2", "n3")
		time.Sleep(time.Minute)
		test.Eq(t, 4, v.node.nodes())
		v.setNodes(t, "n0", "n1")
		test.Eq(t, 2, v.node.nodes())
		receive("n1", "n4", "n5")
		test.Eq(t, 4, v.node.nodes())
		time.Sleep(time.Minute)
		test.Eq(t, 2, v.node.nodes())
	})
}
