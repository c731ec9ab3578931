package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/slowstart"
	"github.com/cherryward/cherryward/internal/throttle"
	"github.com/cherryward/cherryward/platform"
)

// handler returns what serves callers' requests, and those that other nodes pass to this one.
func (n *Node) handler() *forward.Handler {
	boot := n.boot.Load()
	budgets := forward.NewBudgets(boot.Bounds, n.nodes)
	budgets.Counted = n.roster.HoldsLease
	budgets.Clock = n.clock
	return &forward.Handler{
		Dialect:      platform.Dialect{},
		ConfigSource: n.state,
		Placer:       n.placer(),
		Budgets:      budgets,
		AgeEstimator: &forward.AgeEstimator{},
		Quarantine:   n.quarantine,
		Origins:      n.origins,
		ResumeTime:   n.resumeTime,
		Fleet:        n.fleet,
		Pace:         n.pace,
		Brittle:      n.brittle,
		Paths:        n.network,
		Helpers:      n.helpers,
		ShuttingDown: n.shuttingDown.Load,
		Stop:         n.stop,
		Buffers:      n.buffers,
		Pacer:        forward.NewPacer(unsizedRate(boot.MilliCores)),
		Clock:        n.clock,
		Bounds:       n.bounds,
		Recorder:     n.recorder,
		Log:          n.log,
	}
}

// placer returns what selects the endpoints of requests.
func (n *Node) placer() *placer.Placer {
	return &placer.Placer{
		Domain:            n.boot.Load().Domain,
		Fleet:             n.fleet,
		Versions:          n.state,
		KVIndex:           n.cacheTracker.index,
		Regions:           n.boot.Load().Regions,
		MayReference:      n.cacheTracker.mayReferenceSalt,
		PeerLoads:         n.peers.Table,
		RequestReport:     n.peers.RequestReport,
		CommonDelay:       &kvindex.Lateness{},
		FullMesh:          n.peers.FullMesh,
		Closed:            n.orders.Closed,
		VersionApplyLimit: func() time.Duration { return n.bounds().VersionApplyLimit },
		Evacuated:         n.state.Evacuated,
		Releases:          n.state.releases,
		MayBegin:          n.releaseGate.MayBegin,
		SlowStart:         &slowstart.Limiter{Node: n.boot.Load().Name, View: n.roster.senders},
		MaxColdPerSecond:  n.maxColdRate,
		Throttle:          &throttle.Limiter{Node: n.boot.Load().Name, View: n.roster.rateLimitedSenders},
		Brittle:           n.brittle,
		ReplacedGrace:     n.state.startupGrace,
		Services:          &placer.Services{},
		Nodes:             n.nodes,
		ReportLag:         n.peers.ReportLag,
		AnnouncePlacement: n.peers.AnnouncePlacement,
		NoticesInUse:      n.peers.NoticesInUse,
		RecordLoadAge:     n.recorder.recordLoadAge,
		Pace:              n.pace,
		Now:               n.clock.Now,
		Random:            rand.Float64,
		Recorder:          n.recorder,
	}
}
