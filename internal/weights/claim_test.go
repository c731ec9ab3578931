package weights

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/coord/claim"
)

// slowLog is a log whose calls are delayed.
type slowLog struct {
	*memLog
	delay time.Duration
}

func (l slowLog) Append(ctx context.Context, data []byte) (int64, error) {
	time.Sleep(l.delay)
	return l.memLog.Append(ctx, data)
}

func (l slowLog) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	time.Sleep(l.delay)
	return l.memLog.Read(ctx, from, limit)
}

// TestSilentEngineDoesNotLoseClaim checks that a holder keeps its claim if one engine never reports and
// the log takes 100 ms per call. Orders must use the renewed claim, not the one read before the reports.
func TestSilentEngineDoesNotLoseClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		sim.reporter = silentReports{sim.engines, firstUpdated(sim.ids, 2, 1)}
		sim.claims = slowLog{sim.log, 100 * time.Millisecond}
		stop := sim.startNode(t, "n1")
		time.Sleep(time.Second)
		sim.requestVersion(2)
		time.Sleep(2 * time.Second)
		missing := 0
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			if !sim.services["n1"].Leads() {
				missing++
			}
		}
		test.Eq(t, 0, missing, test.Sprint("checks without a claim holder"))
		stop()
	})
}
