package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/kvindex"
)

// TestReadIntervalsAtStart checks that a starting node reads as often as later on: after a power
// loss its index of cached parts is empty, and each part that is missing there is computed again.
func TestReadIntervalsAtStart(t *testing.T) {
	boot := &bootstrap.Node{
		Name: "n", Domain: "north", IP: "127.0.0.1", CallersAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0",
		MemoryBytes: 256 << 20, StoreAddr: "127.0.0.1:9",
		Bounds: bootstrap.Bounds{RevokeLimit: 5 * time.Second, DrainLimit: 2 * time.Second, StopGracePeriod: 8 * time.Second},
	}
	n, err := New(boot, BootSource{Load: func() (*bootstrap.Node, error) { return boot, nil }}, zerolog.Nop())
	must.NoError(t, err)
	defer n.conn.Close()
	defer n.callers.listener.Close()
	defer n.readyServer.listener.Close()
	_, pause := n.cacheTracker.intervals(kvindex.NewHolder("e", "127.0.0.1:9", "north"))
	test.Eq(t, 250*time.Millisecond, pause)
	test.Eq(t, 400*time.Millisecond, n.registryInterval())
	test.Eq(t, 900*time.Millisecond, n.configWait())
}
