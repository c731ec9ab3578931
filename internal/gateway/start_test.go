package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/weights"
)

// startingNode is a node that has just started. Its fleet contains one engine, which has version 1.
type startingNode struct {
	state  *state
	placer *placer.Placer
}

func newStartingNode(bounds bootstrap.Bounds) *startingNode {
	s := &startingNode{state: newState(func() bootstrap.Bounds { return bounds }, zerolog.Nop())}
	engines := fleet.New(zerolog.Nop())
	engines.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", Weights: []fleet.Weights{{Model: model, Version: 1}}}, time.Now())
	index := kvindex.NewIndex(nil, nil, zerolog.Nop())
	s.placer = &placer.Placer{
		Fleet: engines, Versions: s.state, KVIndex: index, PeerLoads: peerload.NewTable(), RequestReport: func() {}, CommonDelay: &kvindex.Lateness{},
		ReplacedGrace: s.state.startupGrace,
		MayReference:  func(kvindex.Salt) bool { return false }, FullMesh: func() bool { return true }, Closed: func() []weights.Closed { return nil },
		VersionApplyLimit: func() time.Duration { return bounds.VersionApplyLimit }, Services: &placer.Services{}, Nodes: func() int { return 1 },
		Now: time.Now, Random: rand.Float64,
	}
	return s
}

// readNewVersion applies a first read of the store that finds version 2.
func (s *startingNode) readNewVersion() {
	record := follow.Record{Key: "version/" + model, Value: fmt.Appendf(nil, `{"model":%q,"version":2}`, model)}
	s.state.Apply(follow.Batch{Records: []follow.Record{record}, Snapshot: true, ConfirmedAt: time.Now()})
}

// canPlace reports whether a prompt is placed on the engine.
func (s *startingNode) canPlace() bool {
	_, ok := s.placer.Place(&forward.Query{
		Route:      &routing.Route{Priority: 1, Objective: time.Second},
		Service:    &routing.Service{Name: "s", Engine: &routing.Engine{TokenBytes: 1}},
		Attributes: &forward.Attributes{Model: model, PromptTokens: 100, OutputTokens: 10},
	})
	return ok
}

// TestStartWithReplacedWeights checks that a starting node uses engines with replaced weights until
// its startup grace period ends, and no longer.
//
// It guards against a restarted node that places prompts on replaced weights beyond the bound on
// new weights, on engines that other nodes no longer use. This happens if the age of a version
// found at the start is a constant, counted from the read that found it. A constant of 7 s fits a
// limit of 12 s, of which a run may take 2 s to begin, and a stable window of 3 s. With a limit of
// 15 s and a window of 4 s, the node would continue for 6 s, and a late first read would add its
// delay.
func TestStartWithReplacedWeights(t *testing.T) {
	for _, bounds := range []bootstrap.Bounds{
		{VersionApplyLimit: 10 * time.Second, StableWindow: 3 * time.Second},
		{VersionApplyLimit: 12 * time.Second, StableWindow: 3 * time.Second},
		{VersionApplyLimit: 15 * time.Second, StableWindow: 4 * time.Second},
		{VersionApplyLimit: 12 * time.Second, StableWindow: 4 * time.Second},
	} {
		for _, late := range []time.Duration{10 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(bounds.VersionApplyLimit, bounds.StableWindow, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStartingNode(bounds)
					started := time.Now()
					time.Sleep(late)
					s.readNewVersion()
					test.True(t, s.canPlace(), test.Sprint("old weights are used at first"))
					time.Sleep(time.Until(started.Add(bounds.StableWindow)))
					test.False(t, s.canPlace(), test.Sprint("the startup grace period is over"))
				})
			})
		}
	}
}
