package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/fault"
)

func TestFaults_Stream(t *testing.T) {
	e := newEngine(t, Config{})
	clean := text(start(e, request("clean", "four", 9)).frames(t))
	set := func(body string) {
		e.Faults.Set(Faults{})
		s := newSink()
		serveSink(t.Context(), e, s, http.MethodPost, fault.Path, []byte(body))
		must.Eq(t, 200, s.Code)
	}
	cases := map[string]struct {
		body   string
		frames int
		last   enginewire.FrameKind
		stray  func(enginewire.Frame) bool
		strays int
	}{
		"fail":      {body: `{"fail_after":4}`, frames: 6, last: enginewire.FrameError},
		"truncate":  {body: `{"truncate_after":4}`, frames: 5, last: enginewire.FrameTokens},
		"duplicate": {body: `{"duplicate_every":3}`, frames: 14, last: enginewire.FrameEnd},
		"cross": {body: `{"cross_every":4}`, frames: 13, last: enginewire.FrameEnd, strays: 2,
			stray: func(f enginewire.Frame) bool { return f.Run != "cross" }},
		"late": {body: `{"late_every":2}`, frames: 15, last: enginewire.FrameEnd, strays: 4,
			stray: func(f enginewire.Frame) bool { return f.Incarnation != e.Incarnation() }},
		"version": {body: `{"wrong_version":true}`, frames: 11, last: enginewire.FrameEnd, strays: 1,
			stray: func(f enginewire.Frame) bool { return f.Kind == enginewire.FrameStart && f.Version != "v1" }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			set(c.body)
			s := start(e, request(name, "four", 9))
			fs := s.frames(t)
			must.Len(t, c.frames, fs)
			must.Eq(t, c.last, fs[len(fs)-1].Kind)
			own, strays := "", 0
			next := 1
			for _, f := range fs {
				if c.stray != nil && c.stray(f) {
					strays++
				} else if f.Seq == next {
					own += f.Text
					next++
				}
			}
			must.Eq(t, c.strays, strays)
			must.StrHasPrefix(t, own, clean)
		})
	}
	e.Faults.Set(Faults{})
	rest := call(t.Context(), e, http.MethodGet, enginewire.PathRun+"truncate?from=4", "").frames(t)
	must.Eq(t, clean[4*tokenBytes:], text(rest))
	must.Eq(t, 404, call(t.Context(), e, http.MethodGet, enginewire.PathRun+"fail?from=4", "").Code)
	s := newSink()
	serveSink(t.Context(), e, s, http.MethodPost, fault.Path, []byte(`{"unheard_of":1}`))
	must.Eq(t, 400, s.Code)
}

func TestFaults_Process(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, timed)
		frozen, ended := begin(t.Context(), e, request("a", "four", 10))
		time.Sleep(50 * ms)
		e.Faults.Set(Faults{Process: fault.Process{Frozen: true}})
		time.Sleep(time.Minute)
		e.Faults.Set(Faults{})
		<-ended
		fs := frozen.frames(t)
		must.Eq(t, 12, len(fs))
		must.Eq(t, time.Minute+50*ms, frozen.at[4])

		cut, ended := begin(t.Context(), e, request("b", "four", 1000))
		time.Sleep(50 * ms)
		e.Faults.Update(func(f *Faults) { f.Dead = true })
		<-ended
		must.True(t, cut.dropped)
		must.Eq(t, 4, len(cut.frames(t)))
		must.True(t, start(e, request("c", "four", 1)).dropped)
		e.Faults.Set(Faults{Process: fault.Process{DelayMS: 70}})
		e.Restart()
		must.Eq(t, 71*ms, start(e, request("d", "four", 1)).at[1]) // 70 ms of delay and 1 ms of prefill
	})
}

func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, timed)
		start(e, request("old", "four", 300))
		before := get[enginewire.State](t, e, enginewire.PathState)
		must.Len(t, 3, before.Blocks)
		cut, ended := begin(t.Context(), e, request("a", "four", 1000))
		time.Sleep(50 * ms)
		must.Eq(t, 204, call(t.Context(), e, http.MethodPost, fault.Path+"/restart", "").Code)
		<-ended
		must.True(t, cut.dropped)
		after := get[enginewire.State](t, e, enginewire.PathState)
		must.NotEq(t, before.Incarnation, after.Incarnation)
		must.SliceEmpty(t, after.Blocks)
		must.Eq(t, 404, call(t.Context(), e, http.MethodGet, enginewire.PathRun+"a", "").Code)
		must.Eq(t, 200, start(e, request("a", "four", 1)).Code)
	})
}
