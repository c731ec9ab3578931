package weights

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// callTimeout is the report timeout of the platform's client.
const callTimeout = 700 * time.Millisecond

// silentReports simulates engines of which some never respond to a report request.
type silentReports struct {
	*engines
	ids map[string]bool
}

func (m silentReports) Report(ctx context.Context, at *fleet.Endpoint) (Report, error) {
	if !m.ids[at.ID] {
		return m.engines.Report(ctx, at)
	}
	select {
	case <-ctx.Done():
	case <-time.After(callTimeout):
	}
	return Report{}, errNoResponse
}

// firstUpdated returns the n engines that are updated to a version first.
func firstUpdated(ids []string, version int64, n int) map[string]bool {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b string) int {
		if updateOrderKey(version, a) < updateOrderKey(version, b) {
			return -1
		}
		return 1
	})
	first := make(map[string]bool)
	for _, id := range sorted[:n] {
		first[id] = true
	}
	return first
}

// outdatedExcept returns the number of engines with an older version, without the excluded ones.
func (sim *simulation) outdatedExcept(excluded map[string]bool, version int64) int {
	n := 0
	for i, reported := range sim.versions() {
		if !excluded[sim.ids[i]] && reported < version {
			n++
		}
	}
	return n
}

// TestSilentEnginesArePostponed checks that all other engines are updated if the first ones to update
// never report.
func TestSilentEnginesArePostponed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		silent := firstUpdated(sim.ids, 2, 3)
		sim.reporter = silentReports{sim.engines, silent}
		stop := sim.startNode(t, "n1")
		time.Sleep(time.Second)
		sim.requestVersion(2)
		time.Sleep(40 * time.Second)
		test.Eq(t, 0, sim.outdatedExcept(silent, 2), test.Sprint("responding engines that still have the older version"))
		stop()
	})
}

// TestEnginesIgnoringOrdersArePostponed checks that all other engines are updated if the first ones
// report but ignore orders.
func TestEnginesIgnoringOrdersArePostponed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(nineEngines()...)
		ignoring := firstUpdated(sim.ids, 2, 3)
		for id := range ignoring {
			sim.engines.silent[id] = 1000
		}
		stop := sim.startNode(t, "n1")
		time.Sleep(time.Second)
		sim.requestVersion(2)
		time.Sleep(40 * time.Second)
		test.Eq(t, 0, sim.outdatedExcept(ignoring, 2), test.Sprint("engines that accept orders and still have the older version"))
		stop()
	})
}
