package hostplan_test

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/hostplan"
)

// TestWorstCaseFitsHost guards against bounds that hold one by one and exceed the host's memory together.
func TestWorstCaseFitsHost(t *testing.T) {
	for _, megabytes := range []int64{80, 134, 184, 192, 256, 284, 512, 2048} {
		for _, files := range []int{400, 1024, 4100, 65536} {
			p := hostplan.New(megabytes<<20, files)
			test.LessEq(t, p.MemoryBytes, p.Worst(), test.Sprint(megabytes, " MB, ", files, " files"))
			requests := p.Connections + p.PeerConnections
			const own = 4 // the store, datagrams and listeners, at least
			sockets := 2*requests + p.ReadyConnections + p.IdleConnections + own
			test.LessEq(t, files-200, sockets, test.Sprint("sockets, of ", files))
			test.LessEq(t, p.HeapBytes, p.HeadBytes+p.BodyBytes+int64(p.Connections)*(40<<10), test.Sprint("heap of ", megabytes, " MB"))
		}
	}
}

// TestUnspecifiedLimits guards against a node without room for callers on a host that states no limits.
func TestUnspecifiedLimits(t *testing.T) {
	must.Eq(t, hostplan.New(256<<20, 1024), hostplan.New(0, 0))
	must.Positive(t, hostplan.New(1, 1).Connections)
}

// TestPoolIsBounded guards against reservations that exceed a pool.
func TestPoolIsBounded(t *testing.T) {
	p := hostplan.NewPool(10)
	must.True(t, p.Reserve(6))
	must.False(t, p.Reserve(5))
	must.True(t, p.Reserve(4))
	p.Release(6)
	must.Eq(t, 4, p.Used())
}

// TestPartsCountInTheirPool guards against parts that together exceed their pool, and pools that exceed their limit by
// parts.
func TestPartsCountInTheirPool(t *testing.T) {
	p := hostplan.NewPool(10)
	half := p.Part(0.5)
	must.False(t, half.Reserve(6))
	must.True(t, half.Reserve(4))
	must.Eq(t, 4, p.Used())
	must.True(t, p.Reserve(6))
	must.False(t, half.Reserve(1))
	must.Eq(t, 4, half.Used())
	half.Release(4)
	must.Eq(t, 6, p.Used())
	must.Zero(t, half.Used())
}
