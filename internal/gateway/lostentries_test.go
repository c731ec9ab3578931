package gateway

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestNodesWhoseEntriesTheStoreLostStayListed guards against nodes that are no longer counted, and whose parts
// are freed, because the store came back from a copy without their entries.
func TestNodesWhoseEntriesTheStoreLostStayListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n0")
		own, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
		must.NoError(t, err)
		r := v.node.roster
		r.own = nodeEntry{Addr: "10.0.0.1:1"}
		v.setNodes(t, "n0", "n1", "n2")
		must.False(t, r.ownEntryOutdated())
		restore := func(names ...string) {
			batch := follow.Batch{Snapshot: true, Restored: true, ConfirmedAt: time.Now()}
			for _, name := range names {
				batch.Records = append(batch.Records, follow.Record{Key: name, Value: own})
			}
			r.Apply(batch)
		}
		restore("n1")
		test.Eq(t, 3, r.Nodes())
		test.SliceContainsAll(t, []string{"n1", "n2"}, r.Others())
		test.True(t, r.HoldsLease())
		test.True(t, r.ownEntryOutdated(), test.Sprint("it writes its entry again"))
		r.Apply(follow.Batch{Records: []follow.Record{{Key: "n0", Value: own}}, ConfirmedAt: time.Now()})
		test.False(t, r.ownEntryOutdated())
		time.Sleep(r.lease.grace)
		r.Apply(follow.Batch{ConfirmedAt: time.Now()})
		test.Eq(t, 2, r.Nodes(), test.Sprint("n2 has not written its entry again"))
	})
}
