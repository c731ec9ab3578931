package gateway

import (
	"cmp"
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/hostplan"
)

const (
	// unsizedBytesPerCore is the rate of long answers that state no length, in bytes per second of a core: it takes
	// less than a tenth of it.
	unsizedBytesPerCore = 16 << 20
	coreMilli           = 1000
	// maxGCPercent is the heap growth, in percent of what is live, that triggers a garbage collection
	// while the heap is small: with the runtime's default of 100, collections are so frequent that they
	// use a considerable part of a small host's processor. minGCPercent is that of a large heap, and
	// gcGrowthBytes the growth in between.
	maxGCPercent  = 200
	minGCPercent  = 50
	gcGrowthBytes = 6 << 20
	// gcTuneInterval is the time between two adjustments.
	gcTuneInterval = 2 * time.Second
	// liveHeapMetric is the memory that the latest garbage collection found in use.
	liveHeapMetric = "/gc/heap/live:bytes"
)

// limitMemory sets the memory limit and the garbage collection rate of the process.
func limitMemory(plan hostplan.Plan) {
	debug.SetMemoryLimit(plan.HeapBytes)
	debug.SetGCPercent(maxGCPercent)
}

// logPlan logs the bounds on what callers make the node hold.
func logPlan(log zerolog.Logger, plan hostplan.Plan) {
	log.Info().Str("event", "bounds").Int64("memory", plan.MemoryBytes).Int64("heap", plan.HeapBytes).
		Int("connections", plan.Connections).Int("peer_connections", plan.PeerConnections).
		Int64("heads", plan.HeadBytes).Int64("bodies", plan.BodyBytes).Int64("windows", plan.WindowBytes).Send()
}

// unsizedRate returns the rate, in bytes per second, at which a host with the given processor capacity hands on long
// answers that state no length. An unspecified capacity counts as one core.
func unsizedRate(milliCores int) float64 {
	return unsizedBytesPerCore * float64(cmp.Or(milliCores, coreMilli)) / coreMilli
}

// gcPercentFor returns the heap growth, in percent, that triggers a garbage collection when live bytes
// are in use. A fixed percentage suits one size of heap: thousands of endpoints would take several
// times the memory that they need.
func gcPercentFor(live uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	return int(min(max(100*gcGrowthBytes/live, minGCPercent), maxGCPercent))
}

// tuneCollections adjusts the garbage collection rate to the heap until ctx is done.
func tuneCollections(ctx context.Context) error {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	percent := maxGCPercent
	for ctx.Err() == nil {
		metrics.Read(sample)
		if wanted := gcPercentFor(sample[0].Value.Uint64()); wanted != percent {
			percent = wanted
			debug.SetGCPercent(percent)
		}
		retry.Sleep(ctx, gcTuneInterval)
	}
	return nil
}
