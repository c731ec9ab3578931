package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
)

// pacedFixture returns a fixture of two engines whose pace is observed, and a query for a prompt of
// 12,000 tokens that no engine holds.
func pacedFixture(t *testing.T) (*fixture, *forward.Query) {
	t.Helper()
	fx := newFixture(t, fakeEvents{}, 1, 1)
	fx.Pace = &enginepace.Services{}
	fx.Random = func() float64 { return 0.5 }
	q := query()
	q.Service.Engine.KVTokens, q.Service.Engine.Stride = 1_000_000, 8
	q.Service.GapObjective = 500 * time.Millisecond
	q.Attributes.Parts, q.Attributes.PromptTokens = nil, 12_000
	return fx, q
}

// place places the query and returns the engine.
func place(t *testing.T, fx *fixture, q *forward.Query) string {
	t.Helper()
	p, ok := fx.Place(q)
	must.True(t, ok, must.Sprint(p.Reason))
	return p.Member.ID
}

// TestReadingAvoidsSlowEngines guards against long prompts at an engine in a slow spell, and against
// engines that are avoided for longer than the spell, after a restart, or where the configuration
// doesn't call for it.
func TestReadingAvoidsSlowEngines(t *testing.T) {
	fx, q := pacedFixture(t)
	now := time.Now()
	fx.Now = func() time.Time { return now }
	usual := place(t, fx, q)
	report := func(start peerload.StartTag) {
		fx.PeerLoads = peerload.NewTable()
		fx.PeerLoads.Record(peerload.Digest{Node: "n", Incarnation: 1, Seq: 1, Slow: []peerload.Slow{{Endpoint: usual, Start: start, Tenths: 25}}}, now)
	}
	report(0)
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.NotEq(t, usual, p.Member.ID, test.Sprint("slow by a peer's report"))
	test.Eq(t, 1, p.SlowFactor)

	pending := func(m *fleet.Member) int {
		if m.ID == usual {
			return 4000
		}
		return 6000
	}
	for _, m := range fx.members {
		m.Load.Begin(pending(m), 0)
	}
	q.Attributes.PromptTokens = 100
	test.NotEq(t, usual, place(t, fx, q), test.Sprint("prompts pending at a slow engine take longer"))
	for _, m := range fx.members {
		m.Load.FirstEvent(pending(m))
		m.Load.End(0)
	}
	q.Attributes.PromptTokens = 12_000

	report(3)
	test.Eq(t, usual, place(t, fx, q), test.Sprint("another start was slow"))
	report(0)
	q.Service.Engine.Stride = 0
	test.Eq(t, usual, place(t, fx, q), test.Sprint("no stride is configured"))
	q.Service.Engine.Stride, q.Service.GapObjective = 8, 0
	test.Eq(t, usual, place(t, fx, q), test.Sprint("no route bounds pauses"))
	q.Service.GapObjective = 500 * time.Millisecond
	must.NotEq(t, usual, place(t, fx, q))
	now = now.Add(601 * time.Millisecond)
	test.Eq(t, usual, place(t, fx, q), test.Sprint("the spell is over"))

	stream := fx.Pace.ForName("s").Open(enginepace.Engine{ID: usual}, fx.members[0].Load, now)
	observe := func(count int, spacing time.Duration) {
		for range count {
			now = now.Add(spacing)
			stream.Observe(1, now)
			stream.Wait(now)
		}
	}
	observe(40, 25*time.Millisecond)
	test.Eq(t, usual, place(t, fx, q))
	observe(3, 75*time.Millisecond)
	test.NotEq(t, usual, place(t, fx, q), test.Sprint("slow by this node's observation"))
	for _, m := range fx.members {
		if m.ID != usual {
			m.Load.Begin(30_000, 30_000)
		}
	}
	p, ok = fx.Place(q)
	must.True(t, ok)
	test.Eq(t, usual, p.Member.ID, test.Sprint("a slow engine is better than a long queue"))
	test.InDelta(t, 3, p.SlowFactor, 0.2)
}

// TestStalledStreamsAreCharged guards against prompts whose prefill makes the streams of an engine
// pause for too long, while another one with as much to prefill has fewer streams, and against a
// charge on engines without streams or with short pauses.
func TestStalledStreamsAreCharged(t *testing.T) {
	const many, few = 8, 1
	for name, tc := range map[string]struct {
		running, pending [2]int // at e0 and e1
		want             string
	}{
		"fewer streams":              {running: [2]int{many, few}, pending: [2]int{24_000, 24_000}, want: "e1"},
		"fewer streams, longer wait": {running: [2]int{many, few}, pending: [2]int{24_000, 40_000}, want: "e1"},
		"no streams, longer wait":    {running: [2]int{many, 0}, pending: [2]int{24_000, 40_000}, want: "e1"},
		"pauses are short":           {running: [2]int{many, few}, pending: [2]int{6000, 12_000}, want: "e0"},
	} {
		t.Run(name, func(t *testing.T) {
			fx, q := pacedFixture(t)
			for _, m := range fx.members {
				i := 0
				if m.ID == "e1" {
					i = 1
				}
				m.Load.Begin(tc.pending[i], 0)
				for range tc.running[i] {
					m.Load.Begin(0, 0)
				}
				m.Load.End(0) // the pending prompt counts among the running requests
			}
			test.Eq(t, tc.want, place(t, fx, q))
		})
	}
}

// TestLongPromptsAreKeptApart guards against prompts of 12,000 tokens that are added to an engine with
// streams at no cost where engines turn slow at times, and against such a cost where they don't.
func TestLongPromptsAreKeptApart(t *testing.T) {
	fx, q := pacedFixture(t)
	now := time.Now()
	fx.Now = func() time.Time { return now }
	for _, m := range fx.members {
		m.Load.Begin(0, 1000)
	}
	tracker := fx.Pace.ForName("s")
	stream := tracker.Open(enginepace.Engine{ID: "other"}, fx.members[0].Load, now)
	observe := func(count int, spacing time.Duration) {
		for range count {
			for range spacing / enginepace.TickInterval {
				now = now.Add(enginepace.TickInterval)
				tracker.Tick(now, nil, 30*time.Millisecond)
			}
			stream.Observe(1, now)
			stream.Wait(now)
		}
	}
	stallMs := func() float64 {
		now = now.Add(2 * enginepace.VerdictLifetime)
		p, ok := fx.Place(q)
		must.True(t, ok)
		return p.StallMs
	}
	observe(200, 25*time.Millisecond)
	test.Zero(t, stallMs(), test.Sprint("no slow spells"))
	for range 20 {
		observe(20, 25*time.Millisecond)
		observe(8, 75*time.Millisecond)
	}
	test.Between(t, 1, stallMs(), stalledStreamMs-1, test.Sprint("slow spells, but none now"))
}

// stalledStreamMs is the cost of a stream that pauses for too long.
const stalledStreamMs = 100.0
