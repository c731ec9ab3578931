package enginepace

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// scene is a tracker with streams whose events the test makes.
type scene struct {
	*Tracker
	now     time.Time
	load    simLoad
	streams []*Stream
}

const sceneSpacing = 25 * time.Millisecond

// newScene returns a scene of an engine with the given number of streams, whose usual spacing is
// known.
func newScene(id Engine, streams int) *scene {
	sc := &scene{Tracker: NewTracker(), now: simStart}
	sc.SetTokenMs(1.0 / 60)
	for range streams {
		sc.streams = append(sc.streams, sc.Open(id, &sc.load, sc.now))
	}
	sc.events(2*minUsualSamples, sceneSpacing)
	return sc
}

// events makes the given number of events in each stream, with the given spacing. Ticks continue
// meanwhile.
func (sc *scene) events(count int, spacing time.Duration) {
	for range count {
		sc.silence(spacing)
		for _, s := range sc.streams {
			s.Observe(1, sc.now)
			s.Wait(sc.now)
		}
	}
}

// silence lets time pass without events.
func (sc *scene) silence(d time.Duration) {
	for end := sc.now.Add(d); sc.now.Before(end); {
		sc.now = sc.now.Add(time.Millisecond)
		if sc.now.Sub(sc.host.tickAt) >= TickInterval {
			sc.tick()
		}
	}
}

// Factor returns the factor of an engine by the verdicts at the given time.
func (sc *scene) Factor(id Engine, now time.Time) float64 { return FactorOf(sc.Slow(now), id) }

func (sc *scene) tick() {
	sc.Tick(sc.now, func(Engine) (int, int) { return 0, 0 }, 30*time.Millisecond)
}

// TestVerdictNeedsTwoSigns guards against verdicts on a single late event or a single silent stream,
// which the network can cause, and against verdicts that are never reached.
func TestVerdictNeedsTwoSigns(t *testing.T) {
	id := Engine{ID: "e", StartedMs: 1}
	sc := newScene(id, 1)
	sc.events(1, 3*sceneSpacing)
	test.Eq(t, 1, sc.Factor(id, sc.now), test.Sprint("one late event"))
	sc.events(1, sceneSpacing)
	sc.events(1, 3*sceneSpacing)
	test.Eq(t, 1, sc.Factor(id, sc.now), test.Sprint("late events with a usual one between"))
	sc.events(1, 3*sceneSpacing)
	test.InDelta(t, 3, sc.Factor(id, sc.now), 0.2, test.Sprint("two late events in a row"))
	test.Len(t, 1, sc.Slow(sc.now))

	sc = newScene(id, 1)
	sc.silence(20 * sceneSpacing)
	test.Eq(t, 1, sc.Factor(id, sc.now), test.Sprint("one silent stream"))

	sc = newScene(id, 2)
	sc.silence(6 * sceneSpacing)
	test.Greater(t, slowRatio, sc.Factor(id, sc.now), test.Sprint("two silent streams"))
}

// TestVerdictEnds guards against verdicts that last too long, grow without bound, or pass on to the
// next start of an engine.
func TestVerdictEnds(t *testing.T) {
	id := Engine{ID: "e", StartedMs: 1}
	sc := newScene(id, 2)
	sc.events(5, 10*sceneSpacing)
	must.Eq(t, MaxFactor, sc.Factor(id, sc.now))
	test.Eq(t, 1, sc.Factor(Engine{ID: "e", StartedMs: 2}, sc.now), test.Sprint("a later start"))
	for _, s := range sc.streams {
		s.Close()
	}
	test.Eq(t, MaxFactor, sc.Factor(id, sc.now.Add(VerdictLifetime)))
	test.Eq(t, 1, sc.Factor(id, sc.now.Add(VerdictLifetime+time.Millisecond)))
	sc.silence(VerdictLifetime + 2*TickInterval)
	test.False(t, sc.Active(), test.Sprint("engines without streams and verdicts are forgotten"))

	sc = newScene(id, 2)
	sc.events(5, 3*sceneSpacing)
	must.Greater(t, 1, sc.Factor(id, sc.now))
	sc.events(1, sceneSpacing)
	test.Eq(t, 1, sc.Factor(id, sc.now), test.Sprint("events of two streams at the usual spacing end a verdict"))

	sc = newScene(id, 2)
	sc.silence(maxSilence + VerdictLifetime + 2*TickInterval)
	test.Eq(t, 1, sc.Factor(id, sc.now), test.Sprint("a long silence is not a slow spell"))
}

// TestOwnDelaysAreExcused guards against engines that are called slow because this node was stopped, or
// because a caller reads slowly.
func TestOwnDelaysAreExcused(t *testing.T) {
	id := Engine{ID: "e", StartedMs: 1}
	sc := newScene(id, 2)
	for range 4 {
		sc.now = sc.now.Add(80 * time.Millisecond) // without ticks
		sc.events(1, sceneSpacing)
	}
	test.Eq(t, 1, sc.Factor(id, sc.now), test.Sprint("stopped node"))
	sc.silence(sceneSpacing)
	for range 4 {
		for _, s := range sc.streams {
			s.Observe(1, sc.now)
		}
		sc.silence(100 * time.Millisecond)
		for _, s := range sc.streams {
			s.Wait(sc.now)
		}
	}
	test.Eq(t, 1, sc.Factor(id, sc.now), test.Sprint("slow callers"))
}

// TestNilStream guards against failures where the pace is not observed.
func TestNilStream(*testing.T) {
	var s *Stream
	s.Observe(1, simStart)
	s.Wait(simStart)
	s.Close()
}

// TestObserveAllocatesNothing guards against garbage for each event: small hosts forward thousands
// of events a second.
func TestObserveAllocatesNothing(t *testing.T) {
	sc := newScene(Engine{ID: "e"}, 2)
	test.Zero(t, testing.AllocsPerRun(1000, func() {
		sc.now = sc.now.Add(sceneSpacing)
		sc.streams[0].Observe(1, sc.now)
		sc.streams[0].Wait(sc.now)
	}))
}

// BenchmarkEvent measures the observation of one event.
func BenchmarkEvent(b *testing.B) {
	sc := newScene(Engine{ID: "e"}, 2)
	b.ReportAllocs()
	for b.Loop() {
		sc.now = sc.now.Add(sceneSpacing)
		sc.streams[0].Observe(1, sc.now)
		sc.streams[0].Wait(sc.now)
	}
}

// BenchmarkTick measures one tick with 90 engines of four streams each.
func BenchmarkTick(b *testing.B) {
	c := secondDeployment(1)
	c.nodes, c.engines = 1, 90
	s := newSim(c)
	s.run(2*time.Second, nil)
	b.ReportAllocs()
	for b.Loop() {
		s.trackers[0].Tick(s.now, func(Engine) (int, int) { return 0, 0 }, 0)
	}
}
