package gateway

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
)

// paceCheckInterval is the time between two checks whether any engines are observed, while none are.
const paceCheckInterval = 500 * time.Millisecond

// newPace returns the observation of the engines' pace. An engine that turns slow is logged and
// reported to the other nodes at once.
func (n *Node) newPace() *enginepace.Services {
	return &enginepace.Services{OnVerdict: func(e enginepace.Engine, factor float64) {
		n.log.Info().Str("event", "engine_slow").Str("endpoint", e.ID).Int64("started_ms", e.StartedMs).Float64("factor", factor).Send()
		n.peers.RequestReport()
	}}
}

// observePace judges silent streams every enginepace.TickInterval until ctx is done.
func (n *Node) observePace(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.pace.Empty() {
			retry.Sleep(ctx, paceCheckInterval)
			continue
		}
		_, lag := n.peers.ReportLag()
		n.pace.Tick(n.clock.Now(), n.peerPaceLoads, lag)
		retry.Sleep(ctx, enginepace.TickInterval)
	}
	return nil
}

// peerPaceLoads returns a function that returns the load which the other nodes report for an engine.
func (n *Node) peerPaceLoads() func(enginepace.Engine) (pendingTokens, running int) {
	loads := n.peers.Table.Loads(n.clock.Now())
	return func(e enginepace.Engine) (int, int) {
		sum := loads.At(e.ID, e.StartedMs)
		return sum.PendingPromptTokens, sum.Running
	}
}

// slowEngines returns the engines that are slow by this node's own observation, for its reports.
func (n *Node) slowEngines() []peerload.Slow {
	verdicts := n.pace.Slow(n.clock.Now())
	list := make([]peerload.Slow, len(verdicts))
	for i := range verdicts {
		list[i] = peerload.NewSlow(&verdicts[i])
	}
	return list
}

// slowFactor returns a function that returns how many times slower than usual an endpoint is now by the
// observation of any node, 0 if it isn't.
func (n *Node) slowFactor() func(m *fleet.Member) float64 {
	own, reported := n.pace.Slow(n.clock.Now()), n.peers.Table.Slow(n.clock.Now())
	return func(m *fleet.Member) float64 {
		factor := max(reported.Factor(m.ID, m.StartedMs), enginepace.FactorOf(own, enginepace.Engine{ID: m.ID, StartedMs: m.StartedMs}))
		if factor <= 1 {
			return 0
		}
		return factor
	}
}

// countSlow returns the number of endpoints that are slow now by the observation of any node.
func (n *Node) countSlow() float64 {
	factor := n.slowFactor()
	return n.countEndpoints(func(m *fleet.Member, _ time.Time) bool { return factor(m) > 0 })
}

// recordPause records the longest pause of a stream, and whether its route counts it as late.
func (r *recorder) recordPause(o *forward.Outcome, labels string) {
	if o.LongestPause <= 0 {
		return
	}
	r.set.GetOrCreatePrometheusHistogramExt(metricPauseSeconds+labels+`}`, secondsBounds).Update(o.LongestPause.Seconds())
	if limit := o.Route.GapObjective; limit > 0 && o.LongestPause > limit {
		r.set.GetOrCreateCounter(metricLatePauses + labels + `}`).Inc()
	}
}
