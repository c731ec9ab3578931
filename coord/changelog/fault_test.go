package changelog_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/changelog"
)

// Of concurrent changes by all nodes to one object, exactly one must be accepted;
// the others must receive a conflict with its revision.
func TestRaceOnOneObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7)
		c.waitReady(time.Minute)
		base := c.put(c.node(0), "acct", 1)
		c.converge(base.Offset, time.Minute)
		var wg sync.WaitGroup
		outcomes := make([]changelog.Outcome, 7)
		errs := make([]error, 7)
		for i := range 7 {
			ch := c.node(i).store.Snapshot().Put("limit", "acct", value(10+i))
			wg.Go(func() { outcomes[i], errs[i] = c.propose(c.node(i), ch, time.Minute) })
		}
		wg.Wait()
		winner := -1
		for i, err := range errs {
			if err == nil {
				must.Eq(t, -1, winner, must.Sprint("more than one change was accepted"))
				winner = i
			}
		}
		must.NotEq(t, -1, winner)
		for i, err := range errs {
			if i == winner {
				continue
			}
			var conflict *changelog.ConflictError
			must.True(t, errors.As(err, &conflict))
			must.Eq(t, outcomes[winner].Revision, conflict.Revision)
		}
		c.converge(outcomes[winner].Offset+6, time.Minute)
	})
}

// A change whose append response is lost must be applied only once, also when it is
// proposed again through another node. It must not be appended again once it was
// read back.
func TestAppendResponseLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.waitReady(time.Minute)
		c.log.LoseResponses(1)
		o := c.put(c.node(1), "acct", 1)
		must.Eq(t, 1, len(c.log.Records()), must.Sprint("a record that was read back must not be appended again"))
		// The record is in the log, but neither the append response nor a read
		// shows it before the context ends.
		ch := c.node(1).store.Snapshot().Put("limit", "acct", value(2))
		c.log.LoseResponses(1)
		c.log.SetLag(1)
		_, err := c.propose(c.node(1), ch, time.Second)
		must.ErrorIs(t, err, changelog.ErrUnknownOutcome)
		c.log.SetLag(0)
		again, err := c.propose(c.node(2), ch, time.Minute)
		must.NoError(t, err)
		must.Eq(t, o.Offset+1, again.Offset)
		// A third proposal after another change must return the first outcome.
		last := c.put(c.node(2), "acct", 3)
		third, err := c.propose(c.node(0), ch, time.Minute)
		must.NoError(t, err)
		must.Eq(t, again, third)
		c.converge(last.Offset, time.Minute)
		got, _ := c.node(0).store.Snapshot().Get("limit", "acct")
		must.Eq(t, 3, got.Value.PerSecond)
	})
}

// During an outage of the log, nodes must keep their state, and new nodes must load
// their state from peers. A node must become stale when it is isolated, and all
// nodes after MaxLogAge.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7)
		c.waitReady(time.Minute)
		o := c.put(c.node(0), "acct", 1)
		c.converge(o.Offset, time.Minute)
		c.log.SetDown(true)
		ch := c.node(0).store.Snapshot().Put("limit", "acct", value(2))
		_, err := c.propose(c.node(0), ch, 10*time.Second)
		must.ErrorIs(t, err, changelog.ErrUnknownOutcome)
		c.kill(c.node(3), true)
		replacement := c.start("node-0003")
		c.waitReady(10 * time.Second)
		must.Eq(t, o.Offset, replacement.store.Snapshot().Applied())
		time.Sleep(time.Hour)
		for _, n := range c.connected() {
			s := n.follower.Status()
			must.False(t, s.Stale)
			must.Greater(t, 55*time.Minute, s.LogAge)
			must.Less(t, 10*time.Second, s.ContactAge)
		}
		isolated := c.node(5)
		c.setIsolated(isolated, true)
		time.Sleep(31 * time.Second)
		must.True(t, isolated.follower.Status().Stale)
		time.Sleep(time.Hour)
		must.True(t, c.node(0).follower.Status().Stale)
		c.log.SetDown(false)
		c.setIsolated(isolated, false)
		_, err = c.propose(c.node(0), ch, time.Minute)
		must.NoError(t, err)
		c.converge(2, 6*time.Second)
		must.False(t, c.node(1).follower.Status().Stale)
	})
}

// A node whose next records are no longer retained must load a checkpoint. Without
// a complete checkpoint in the log, a node without a state must not become ready.
func TestPausedNodeLoadsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		c.policy.Changes = 50
		for i := range 5 {
			c.kill(c.node(i), false)
			c.start(c.names[i])
		}
		c.waitReady(time.Minute)
		paused := c.node(4)
		c.setIsolated(paused, true)
		paused.stop() // the state stays unchanged, as in a paused process
		<-paused.done
		var last changelog.Outcome
		for i := range 120 {
			last = c.put(c.node(0), "acct", i)
		}
		time.Sleep(5 * time.Minute)
		must.Greater(t, 0, c.node(0).follower.Status().CompleteMark)
		last = c.put(c.node(0), "acct", 1000)
		c.log.Retain(90)
		must.ErrorIs(t, paused.store.Poll(context.Background()), changelog.ErrCompacted)
		must.NoError(t, paused.store.LoadFromLog(context.Background()))
		must.NoError(t, paused.store.Poll(context.Background()))
		must.NoError(t, c.check.CheckState(paused.name, paused.store.Snapshot()))
		must.GreaterEq(t, last.Offset, paused.store.Snapshot().Applied())
		// A new node without peers must be able to load the state from the log.
		newStore := changelog.NewStore(c.log, limits{}, 0)
		must.NoError(t, newStore.LoadFromLog(context.Background()))
		must.NoError(t, newStore.Poll(context.Background()))
		must.NoError(t, c.check.CheckState("cold", newStore.Snapshot()))
		// Without a retained checkpoint a node must not become ready.
		c.log.Retain(1)
		emptyStore := changelog.NewStore(c.log, limits{}, 0)
		must.ErrorIs(t, emptyStore.LoadFromLog(context.Background()), changelog.ErrNoCheckpoint)
		must.False(t, emptyStore.Ready())
	})
}

// If a node is replaced between the append of a change and its read-back, its
// replacement must return the outcome of the first record.
func TestNodeReplacedMidWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		c.waitReady(time.Minute)
		n := c.node(2)
		ch := n.store.Snapshot().Put("limit", "acct", value(1))
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Millisecond)
		defer cancel() // ends after the append (5 ms) but before the read-back (10 ms)
		_, err := n.store.Propose(ctx, ch)
		must.ErrorIs(t, err, changelog.ErrUnknownOutcome)
		must.Eq(t, 1, len(c.log.Records()), must.Sprint("the record must be in the log"))
		c.kill(n, true)
		n = c.start(n.name)
		c.waitReady(time.Minute)
		o, err := c.propose(n, ch, time.Minute)
		must.NoError(t, err)
		must.Eq(t, 1, o.Offset)
		c.converge(1, 6*time.Second)
	})
}

// Reads from a lagging replica must not lower a node's applied offset, and nodes
// must converge once the lag ends.
func TestLaggingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		c.waitReady(time.Minute)
		for i := range 20 {
			o := c.put(c.node(i%5), "acct", i)
			c.log.SetLag(int64(i % 7))
			time.Sleep(1500 * time.Millisecond)
			for _, n := range c.connected() {
				must.NoError(t, c.check.CheckState(n.name, n.store.Snapshot()))
			}
			c.log.SetLag(0)
			c.converge(o.Offset, 6*time.Second)
		}
	})
}

// If all readers stop and stay in the member list, other nodes must poll the log.
func TestOtherNodesPollAfterReadersStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 100)
		c.waitReady(time.Minute)
		for _, n := range c.connected() {
			if n.follower.IsReader() {
				c.kill(n, false)
			}
		}
		must.Eq(t, 96, len(c.connected()))
		writer := changelog.NewStore(c.log, limits{}, 0) // not a member
		must.NoError(t, writer.LoadFromLog(context.Background()))
		o := c.put(&node{store: writer}, "acct", 1)
		c.converge(o.Offset, 10*time.Second)
	})
}

// A network partition separates the cluster into two halves, one of them without
// the log, while the member list still contains all nodes. After the partition
// heals, the nodes must converge.
//
// Notices in flight when the partition begins are still delivered, and ages do not
// include their network delay. So the half without the log may report a log read
// that seems to be later than the start of the partition, by at most the network
// delay of the hops.
func TestNetworkPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20)
		c.waitReady(time.Minute)
		setSide := func(i int) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, n := range c.names[10:] {
				c.nodes[n].side = i
			}
		}
		before := c.put(c.node(0), "acct", 1)
		c.converge(before.Offset, 6*time.Second)
		setSide(1)
		partitionedAt := time.Now()
		var last changelog.Outcome
		for i := range 5 {
			last = c.put(c.node(0), "acct", 2+i)
			time.Sleep(time.Minute)
			must.Eq(t, before.Offset, c.node(15).store.Snapshot().Applied())
		}
		const hops = 2 // maximum for 20 members at a fanout of 4
		must.GreaterEq(t, time.Since(partitionedAt)-hops*maxDelay, c.node(15).follower.Status().LogAge)
		must.Less(t, 10*time.Second, c.node(5).follower.Status().LogAge)
		setSide(0)
		c.converge(last.Offset, 6*time.Second)
		time.Sleep(5 * time.Second)
		must.Less(t, 10*time.Second, c.node(15).follower.Status().LogAge)
	})
}
