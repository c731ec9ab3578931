package placer_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/canary"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
)

// setReleases assigns the endpoints to releases, in their order.
func (fx *fixture) setReleases(releases ...string) {
	f := fleet.New(zerolog.Nop())
	for i, m := range fx.members {
		e := *m.Endpoint()
		e.Release = releases[i]
		f.Update(&e, time.Now())
	}
	fx.Fleet = f
}

func TestStreamGoesOnOnlyAtItsRelease(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(0): shared(1, "")}, 1, 1, 1)
	fx.setReleases("v1", "v2", "v1")
	plain := &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{}}
	for _, q := range []*forward.Query{query(), plain} {
		q.Tried = []string{"e0"}
		for range 20 {
			q.Release = "v1"
			p, ok := fx.Place(q)
			must.True(t, ok)
			test.Eq(t, "e2", p.Member.ID)
		}
		q.Release = "v2"
		p, ok := fx.Place(q)
		must.True(t, ok)
		test.Eq(t, "e1", p.Member.ID)
		q.Release = "v3"
		p, ok = fx.Place(q)
		must.False(t, ok)
		test.Eq(t, result.NoEndpointOfRelease, p.RefusalCode)
		test.True(t, p.Final)
	}
}

func TestStreamIsNotSentPastTheCanaryGate(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1)
	fx.setReleases("v1", "v2")
	fx.Releases = &canary.Gate{ExposureShare: 0.1, PhasesKnown: func() bool { return false }}
	fx.Releases.SetOrder(canary.Order{Service: "s", Release: "v2", Within: time.Minute, ID: 1, ReadAt: time.Now()})
	for release, want := range map[string]bool{"v1": true, "v2": false} {
		q := query()
		q.Release = release
		p, ok := fx.Place(q)
		test.Eq(t, want, ok, test.Sprint(release))
		if !ok {
			test.Eq(t, result.NoEndpointOfRelease, p.RefusalCode)
			test.False(t, p.Final, test.Sprint("the release is on trial"))
		}
	}
}

// TestStreamsOfAReleaseMeetOnItsLastEndpoints checks that resumed streams are placed at least half as often
// as new ones when all streams of a release come back to its last two engines, beside new ones.
func TestStreamsOfAReleaseMeetOnItsLastEndpoints(t *testing.T) {
	const streams = 240 // of nine engines with some 27 each, as all of them break off at once
	fx := newFixture(t, fakeEvents{}, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	fx.setReleases("v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2", "v2")
	placed := make(map[string]int)
	perEngine := make(map[string]int)
	for range streams {
		for _, release := range []string{"v1", ""} {
			q := query()
			q.Release = release
			q.Route = &routing.Route{Priority: 1, Objective: 400 * time.Millisecond, Timeout: 12 * time.Second}
			q.Service = &routing.Service{Name: "s", Engine: &routing.Engine{TokenBytes: 35136, KVTokens: 179305, Slots: 128}}
			q.Attributes = &forward.Attributes{
				Model: model, OutputTokens: 49, PromptTokens: 827, Deadline: 12 * time.Second, HasDeadline: true,
				Parts: []forward.Part{{ID: "common", Tokens: 650}, {ID: "own", Tokens: 177}},
			}
			p, ok := fx.Place(q)
			if !ok {
				continue
			}
			p.Member.Load.Begin(p.PrefillTokens, p.MemoryTokens)
			placed[release]++
			perEngine[p.Member.ID]++
		}
	}
	t.Logf("of %d each: %d resumed, %d new; at the engines of v1: %d, %d", streams, placed["v1"], placed[""], perEngine["e0"], perEngine["e1"])
	test.GreaterEq(t, placed[""], 2*placed["v1"])
}
