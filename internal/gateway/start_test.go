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
	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/weights"
)

// starter is a node that has just started and knows one engine, which has version 1.
type starter struct {
	state  *state
	placer *placer.Placer
}

func newStarter(bounds bootstrap.Bounds) *starter {
	s := &starter{state: newState(func() bootstrap.Bounds { return bounds }, zerolog.Nop())}
	engines := fleet.New(zerolog.Nop())
	engines.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", Weights: []fleet.Weights{{Model: model, Version: 1}}}, time.Now())
	index := kept.NewIndex(nil, nil, zerolog.Nop())
	s.placer = &placer.Placer{
		Fleet: engines, Versions: s.state, Kept: index, Peers: peerload.NewTable(), Kick: func() {}, Usual: &kept.Lateness{},
		Excused: s.state.excused,
		MayName: func(string, int64) bool { return false }, Whole: func() bool { return true }, Closed: func() []weights.Closed { return nil },
		VersionApply: func() time.Duration { return bounds.VersionApply }, Services: &placer.Services{}, Nodes: func() int { return 1 },
		Now: time.Now, Random: rand.Float64,
	}
	return s
}

// finds has the node find version 2 in its first read of the store.
func (s *starter) finds() {
	record := follow.Record{Key: "version/" + model, Value: fmt.Appendf(nil, `{"model":%q,"version":2}`, model)}
	s.state.Apply(follow.Batch{Records: []follow.Record{record}, Snapshot: true, ProvenAt: time.Now()})
}

// places reports whether a prompt is placed on the engine.
func (s *starter) places() bool {
	_, ok := s.placer.Place(&forward.Query{
		Route:      &routing.Route{Priority: 1, Objective: time.Second},
		Service:    &routing.Service{Name: "s", Engine: &routing.Engine{TokenBytes: 1}},
		Attributes: &forward.Attributes{Model: model, PromptTokens: 100, OutputTokens: 10},
	})
	return ok
}

// TestStartAmongOldWeights has a node that starts use engines whose weights were replaced, for
// as long as its start excuses it and no longer.
//
// What operators saw: a request that began on a version long after a newer one was
// acknowledged, further than the bound on new weights. The order of events: engines were slow to
// come to a new version, since answers to orders were lost; a node was restarted; it found the
// new version in the store, took it for named 7 s ago, and placed prompts on engines that other
// nodes had left alone for long.
//
// The cause: the age of what a node finds at its start was a constant, counted from the read
// that found it. It kept the bound for one set of bounds (12 s less 2 s for a run to begin, less
// the stable window of 3 s) if the read came at once. With a bound of 15 s and a window of 4 s
// the node went on for 6 s, and a late first read added its lateness in any case. The evidence:
// log lines of restarted nodes, "weights_named" and then prompts on weights=1 until 3.2 s after
// "start", 20 s after the other nodes' "weights_named".
func TestStartAmongOldWeights(t *testing.T) {
	for _, bounds := range []bootstrap.Bounds{
		{VersionApply: 10 * time.Second, StableWindow: 3 * time.Second},
		{VersionApply: 12 * time.Second, StableWindow: 3 * time.Second},
		{VersionApply: 15 * time.Second, StableWindow: 4 * time.Second},
		{VersionApply: 12 * time.Second, StableWindow: 4 * time.Second},
	} {
		for _, late := range []time.Duration{10 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(bounds.VersionApply, bounds.StableWindow, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStarter(bounds)
					started := time.Now()
					time.Sleep(late)
					s.finds()
					test.True(t, s.places(), test.Sprint("callers are served on old weights at first"))
					time.Sleep(time.Until(started.Add(bounds.StableWindow)))
					test.False(t, s.places(), test.Sprint("the start excuses the node no more"))
				})
			})
		}
	}
}
