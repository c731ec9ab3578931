package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/peerload"
)

// TestPartsOfNodeThatJoinedUnseenNotFreed guards against a list of nodes that is older than the replacement of a
// version: parts were freed early that a node which joined since then references.
func TestPartsOfNodeThatJoinedUnseenNotFreed(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 20 * time.Second, leaseDuration - 10*time.Second} {
		synctest.Test(t, func(t *testing.T) {
			freeingNode := newView("freer")
			freeingNode.setNodes(t, "freer")
			time.Sleep(age)
			joined := newView("joined")
			joined.setNodes(t, "freer", "joined")
			for _, v := range []view{freeingNode, joined} {
				v.readVersions(t, 1)
				v.setEngineVersion(1)
			}
			time.Sleep(time.Second)
			freeingNode.readVersions(t, 2)
			joined.readVersions(t, 2)
			freeingNode.setEngineVersion(2)
			freeingNode.referencedWatermarks()
			time.Sleep(unreferencedDelay + freeSlots*freeSlotInterval)
			must.True(t, joined.mayReference(model, 1), must.Sprint("its engine still has the version"))
			test.False(t, freeingNode.Outdated(salt(1)), test.Sprint("list confirmed ", age, " before the other node joined"))
		})
	}
}

// TestNodeThatWasNeverListedReferencesNothing guards against a node whose entry can't be written: no other node
// waits for its watermark.
func TestNodeThatWasNeverListedReferencesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		v.node.roster.setPeers = func([]peerload.Peer) {}
		v.node.roster.Apply(follow.Batch{ConfirmedAt: time.Now()})
		v.readVersions(t, 1)
		v.setEngineVersion(1)
		test.False(t, v.mayReference(model, 1))
		time.Sleep(time.Second)
		v.setNodes(t, "n")
		test.False(t, v.mayReference(model, 1), test.Sprint("a replacement before it was listed may not have been read"))
		v.readVersions(t, 2)
		test.False(t, v.mayReference(model, 1), test.Sprint("replaced before it was listed, perhaps"))
		test.True(t, v.mayReference(model, 2))
		time.Sleep(time.Second)
		v.readVersions(t, 3)
		test.True(t, v.mayReference(model, 2), test.Sprint("replaced since it was listed"))
	})
}
