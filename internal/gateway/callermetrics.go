package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/cherryward/cherryward/internal/callerconn"
)

// addCallerMetrics adds the gauges of what callers' connections take.
func addCallerMetrics(set *metrics.Set, n *Node) {
	set.NewGauge(metricCallerConnections, func() float64 { return float64(n.callers.guard.Open()) })
	set.NewGauge(metricHeadBytes, func() float64 { return float64(n.pools.Heads.Used()) })
	counts := map[string]func(c callerconn.Counts) int64{
		metricYielded: func(c callerconn.Counts) int64 { return c.Yielded },
		metricDenied:  func(c callerconn.Counts) int64 { return c.Denied },
		metricRefusedHeads + `{reason="too_large"}`: func(c callerconn.Counts) int64 { return c.TooLarge },
		metricRefusedHeads + `{reason="no_room"}`:   func(c callerconn.Counts) int64 { return c.NoRoom },
	}
	for name, count := range counts {
		set.NewGauge(name, func() float64 { return float64(count(n.callers.guard.Counts())) })
	}
}
