package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/peerload"
)

// TestNodeThatHearsNoOtherMayPassRequestsToAny guards a node that shuts down while it is partitioned from the
// endpoints: it receives no messages any more.
func TestNodeThatHearsNoOtherMayPassRequestsToAny(t *testing.T) {
	v := newView("a")
	v.node.roster.peerAlive = v.node.peerAlive
	v.setNodes(t, "a", "b", "c")
	test.True(t, v.node.mayHelp("b"), test.Sprint("nobody was heard"))
	v.node.peers.Table.Record(peerload.Digest{Node: "b", Incarnation: 1, Seq: 1}, time.Now())
	test.True(t, v.node.mayHelp("b"))
	test.False(t, v.node.mayHelp("c"), test.Sprint("silent while another is heard"))
}
