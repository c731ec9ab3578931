package changelog_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/changelog"
)

// If the writer of a checkpoint stops after writing the mark, and the nodes ranked
// next have stopped too, the first live node in rank must write the parts after its
// wait of rank times takeoverDelay. A new node must be able to load the resulting
// checkpoint.
func TestCheckpointWriterStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		c.waitReady(time.Minute)
		o := c.put(c.node(0), "acct", 1)
		c.converge(o.Offset, time.Minute)
		for _, n := range c.connected() {
			if n.follower.Rank(uint64(o.Offset+1)) < 3 {
				c.kill(n, false)
			}
		}
		remaining := c.connected()
		must.Len(t, 2, remaining)
		must.NoError(t, remaining[0].store.WriteCheckpoint(t.Context(), 0)) // a mark without parts
		time.Sleep(55 * time.Second)
		must.Eq(t, 0, remaining[0].follower.Status().CompleteMark)
		time.Sleep(30 * time.Second)
		must.Eq(t, o.Offset+1, remaining[0].follower.Status().CompleteMark)
		must.Eq(t, 3, len(c.log.Records()), must.Sprint("one part must be written exactly once"))
		c.log.Retain(1)
		newStore := changelog.NewStore(c.log, limits{}, 0)
		must.NoError(t, newStore.LoadFromLog(t.Context()))
		must.NoError(t, c.check.CheckState("cold", newStore.Snapshot()))
		time.Sleep(2 * time.Hour)
		must.Greater(t, o.Offset+1, remaining[0].follower.Status().CompleteMark)
	})
}

// The data of checkpoint parts is written to the log, but must not be sent from
// node to node.
func TestCheckpointDataStaysInLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7)
		c.waitReady(time.Minute)
		rng := rand.New(rand.NewPCG(5, 5))
		var last changelog.Outcome
		for i := range 40 {
			note := make([]byte, 4096)
			for j := range note {
				note[j] = byte('!' + rng.IntN(90))
			}
			raw, err := json.Marshal(limit{PerSecond: i, Note: string(note)})
			must.NoError(t, err)
			last, err = c.propose(c.node(0), c.node(0).store.Snapshot().Put("limit", fmt.Sprint(i), raw), time.Minute)
			must.NoError(t, err)
		}
		c.converge(last.Offset, 6*time.Second)
		time.Sleep(5 * time.Second) // for notices of changes still in flight
		before, log := c.counters(), c.log.Traffic()
		must.NoError(t, c.node(0).store.WriteCheckpoint(t.Context(), 0))
		time.Sleep(30 * time.Second)
		must.Eq(t, last.Offset+1, c.node(6).follower.Status().CompleteMark)
		must.Greater(t, 100<<10, c.log.Traffic().WriteBytes-log.WriteBytes)
		must.Less(t, 100<<10, c.usage(before).bytes, must.Sprint("bytes sent and received by all nodes"))
		newStore := changelog.NewStore(c.log, limits{}, 0)
		c.log.Retain(8)
		must.NoError(t, newStore.LoadFromLog(t.Context()))
		must.NoError(t, c.check.CheckState("cold", newStore.Snapshot()))
	})
}
