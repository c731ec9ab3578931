package runs

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
	enginestandin "github.com/cherryward/cherryward/standin/engine"
)

var key = []byte("0123456789abcdef0123456789abcdef")

// fixedPlacer grants its engines in order.
type fixedPlacer struct {
	urls              []string
	firstFrameTimeout time.Duration
	observed          []RunReport
}

// fixedGrant is a grant of the engine at url.
type fixedGrant struct {
	*fixedPlacer
	url string
}

func (p *fixedPlacer) Place(_ context.Context, _ *Request, tried []string) (Grant, error) {
	if len(tried) == len(p.urls) {
		return nil, result.New(result.NoEndpoint)
	}
	return fixedGrant{p, p.urls[len(tried)]}, nil
}

func (g fixedGrant) Endpoint() *pb.Endpoint           { return &pb.Endpoint{Name: g.url, Url: g.url} }
func (g fixedGrant) ImportedContext() (int, int64)    { return 0, 0 }
func (g fixedGrant) FirstToken(RunReport)             {}
func (g fixedGrant) FirstFrameTimeout() time.Duration { return g.firstFrameTimeout }
func (g fixedGrant) Done(report RunReport) {
	g.fixedPlacer.observed = append(g.fixedPlacer.observed, report)
}

// unlimitedBudget allows every retry.
type unlimitedBudget struct{}

func (unlimitedBudget) Succeeded()  {}
func (unlimitedBudget) Retry() bool { return true }

// textSink collects the text of an answer.
type textSink struct{ received string }

func (t *textSink) Started(Start) error { return nil }
func (t *textSink) Tokens(_ string, offset int, s string) error {
	t.received += s
	return nil
}

// testDispatcher is a dispatcher with stub engines.
type testDispatcher struct {
	placer  *fixedPlacer
	engines []*enginestandin.Engine
	*Dispatcher
}

// newTestDispatcher starts the given number of stub engines and a dispatcher that uses them.
func newTestDispatcher(t *testing.T, engines int) *testDispatcher {
	t.Helper()
	salter, err := kvcache.NewSalter(key)
	must.NoError(t, err)
	d := &testDispatcher{placer: &fixedPlacer{firstFrameTimeout: time.Minute}}
	for range engines {
		d.addEngine(t, "")
	}
	d.Dispatcher = &Dispatcher{Key: key, Salter: salter, Engines: engine.NewClient(), Placer: d.placer, Budget: unlimitedBudget{}}
	return d
}

// addEngine starts another stub engine, whose software has the given release.
func (d *testDispatcher) addEngine(t *testing.T, release string) {
	t.Helper()
	e := enginestandin.New(enginestandin.Config{
		Loaded: []enginewire.Loaded{{Model: "m", Version: "v"}}, Release: release, TimeScale: 1, DecodeStep: 2 * time.Millisecond,
	})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Faults.Set(enginestandin.Faults{}) // frozen handlers return only once the faults are cleared
		e.Close()
		server.CloseClientConnections()
		server.Close()
	})
	d.engines = append(d.engines, e)
	d.placer.urls = append(d.placer.urls, server.URL)
}

func (d *testDispatcher) runPrompt(t *testing.T, timeout time.Duration) (string, error) {
	t.Helper()
	sink := &textSink{}
	req := &Request{Account: "mill", Model: "m", Version: "v", Prompt: "pass or hold?", MaxTokens: 30, Deadline: time.Now().Add(timeout)}
	_, err := d.Run(t.Context(), req, sink)
	return sink.received, err
}

func setFaults(e *enginestandin.Engine, change func(*enginestandin.Faults)) {
	e.Faults.Update(change)
}

func TestRunStates(t *testing.T) {
	t.Run("no engine was reached", func(t *testing.T) {
		d := newTestDispatcher(t, 0)
		d.placer.urls = []string{"http://127.0.0.1:1", "http://127.0.0.1:1"}
		_, err := d.runPrompt(t, time.Minute)
		must.Eq(t, result.NotRun, result.From(err).RunState)
	})
	t.Run("refused by each engine", func(t *testing.T) {
		d := newTestDispatcher(t, 2)
		for _, e := range d.engines {
			setFaults(e, func(f *enginestandin.Faults) { f.RefuseOverloaded = true })
		}
		_, err := d.runPrompt(t, time.Minute)
		must.Eq(t, result.NotRun, result.From(err).RunState)
	})
	t.Run("deadline passed after the request was sent", func(t *testing.T) {
		d := newTestDispatcher(t, 1)
		setFaults(d.engines[0], func(f *enginestandin.Faults) { f.Frozen = true })
		_, err := d.runPrompt(t, 200*time.Millisecond)
		must.Eq(t, result.DeadlinePassed, result.From(err).Code)
		must.Eq(t, result.MayHaveRun, result.From(err).RunState)
	})
	t.Run("refused after an attempt that may have run", func(t *testing.T) {
		d := newTestDispatcher(t, 2)
		setFaults(d.engines[0], func(f *enginestandin.Faults) { f.FailEvery = 1 })
		setFaults(d.engines[1], func(f *enginestandin.Faults) { f.RefuseOverloaded = true })
		_, err := d.runPrompt(t, time.Minute)
		must.Eq(t, result.MayHaveRun, result.From(err).RunState)
	})
}

// TestAnswerContinuesOnOtherEngine checks that an answer continues on another engine after an
// engine stops sending with its connections open, fails or truncates its stream, and that it equals
// the answer of an undisturbed engine.
func TestAnswerContinuesOnOtherEngine(t *testing.T) {
	undisturbed, err := newTestDispatcher(t, 1).runPrompt(t, time.Minute)
	must.NoError(t, err)
	cases := map[string]func(*enginestandin.Faults){
		"frozen before the start": func(f *enginestandin.Faults) { f.Frozen = true },
		"fails while running":     func(f *enginestandin.Faults) { f.FailAfter = 7 },
		"truncates":               func(f *enginestandin.Faults) { f.TruncateAfter = 7 },
		"dead":                    func(f *enginestandin.Faults) { f.Dead = true },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, 2)
			d.placer.firstFrameTimeout = 150 * time.Millisecond
			setFaults(d.engines[0], fault)
			got, err := d.runPrompt(t, time.Minute)
			must.NoError(t, err)
			must.Eq(t, undisturbed, got)
		})
	}
}

// TestAnswerContinuesOnlyAtItsRelease checks that an answer is continued by an engine whose software has
// another release only if that engine states the same release, and ends with an error otherwise.
func TestAnswerContinuesOnlyAtItsRelease(t *testing.T) {
	for _, c := range []struct {
		releases []string
		complete bool
	}{
		{[]string{"v1", "v2", "v1"}, true},
		{[]string{"v1", "", "v1"}, true},
		{[]string{"v1", "v2"}, false},
		{[]string{"", "v1"}, false},
	} {
		t.Run(strings.Join(c.releases, ","), func(t *testing.T) {
			d := newTestDispatcher(t, 0)
			for _, release := range c.releases {
				d.addEngine(t, release)
			}
			setFaults(d.engines[0], func(f *enginestandin.Faults) { f.FailAfter = 7 })
			got, err := d.runPrompt(t, time.Minute)
			must.Eq(t, c.complete, err == nil, must.Sprint(err))
			if !c.complete {
				test.Eq(t, 7*4, len(got))
				test.Eq(t, result.MayHaveRun, result.From(err).RunState)
			}
		})
	}
}

// TestAllTokensWithoutEndFrameIsComplete checks that an answer with all requested tokens is
// complete if only the end frame is lost.
func TestAllTokensWithoutEndFrameIsComplete(t *testing.T) {
	d := newTestDispatcher(t, 1)
	setFaults(d.engines[0], func(f *enginestandin.Faults) { f.TruncateAfter = 30 })
	got, err := d.runPrompt(t, time.Minute)
	must.NoError(t, err)
	must.Eq(t, 30*4, len(got))
	must.True(t, d.placer.observed[0].Complete)
}
