package engine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

// timed configures an engine with round numbers: 1,000 prompt tokens per second, 20 ms per step
// and 1 ms more for each further run of the batch.
var timed = Config{
	TimeScale: 1, PrefillSpeed: 1000, DecodeStep: 20 * time.Millisecond,
	DecodePerRun: time.Millisecond, BlockTokens: 100, KeepRuns: 10 * time.Second,
}

const ms = time.Millisecond

// begin starts a run in a goroutine. The sink must be read only after ended is closed, or while all
// goroutines of the synctest bubble are blocked.
func begin(ctx context.Context, e *Engine, req enginewire.RunRequest) (s *sink, ended chan struct{}) {
	ended = make(chan struct{})
	s = newSink()
	go func() {
		serveSink(ctx, e, s, http.MethodPost, enginewire.PathRuns, marshal(req))
		close(ended)
	}()
	return s, ended
}

func TestSchedule_Times(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, timed)
		prompt := strings.Repeat("abcd", 250)
		first := start(e, request("a", prompt, 3))
		must.Eq(t, []time.Duration{0, 250 * ms, 270 * ms, 290 * ms, 290 * ms}, first.at)
		again := start(e, request("b", prompt, 2))
		must.Eq(t, []time.Duration{0, 50 * ms, 70 * ms, 70 * ms}, again.at)
		must.Eq(t, 200, again.frames(t)[0].CachedTokens)
		full := start(e, request("whole", prompt[:800], 1)) // the last token is always computed
		must.Eq(t, 100, full.frames(t)[0].CachedTokens)

		e.Faults.Set(Faults{Slow: 3})
		must.Eq(t, 150*ms, start(e, request("c", prompt, 2)).at[1])
		e.Faults.Set(Faults{})
		x, _ := begin(t.Context(), e, request("d", "four", 4))
		synctest.Wait()
		_, ended := begin(t.Context(), e, request("e", "four", 4))
		<-ended
		must.Eq(t, 42*ms, x.at[4]-x.at[2]) // two steps of a batch of two
	})
}

func TestSchedule_PriorityThenArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := timed
		cfg.MaxRunning, cfg.MaxWaiting = 1, 4
		e := newEngine(t, cfg)
		var sinks []*sink
		for i, priority := range []int{0, 2, 1, 1} {
			req := request(string(rune('a'+i)), "four", 2)
			req.Priority = priority
			s, _ := begin(t.Context(), e, req)
			sinks = append(sinks, s)
			synctest.Wait()
		}
		late := request("late", "four", 1)
		late.DeadlineMS = 5
		late.Priority = 9
		expired, _ := begin(t.Context(), e, late)
		synctest.Wait()
		must.Eq(t, 4, get[enginewire.Load](t, e, enginewire.PathLoad).Waiting)
		must.Eq(t, enginewire.ErrOverloaded, start(e, request("z", "four", 1)).error(t).Code)
		time.Sleep(time.Second)
		synctest.Wait()
		for i, before := range []int{2, 3, 1} { // a, c, d, b
			must.Less(t, sinks[before].at[0], sinks[[]int{0, 2, 3}[i]].at[0])
		}
		got := expired.frames(t)
		must.Len(t, 1, got)
		must.Eq(t, enginewire.FrameError, got[0].Kind)
		must.True(t, got[0].Error.NotRun)
	})
}

func TestRun_ResumeAfterBreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, timed)
		ctx, cancel := context.WithCancel(t.Context())
		broken, ended := begin(ctx, e, request("a", "four", 40))
		time.Sleep(200 * ms)
		cancel()
		<-ended
		head := broken.frames(t)
		must.Eq(t, 11, len(head)) // start and 10 tokens
		time.Sleep(300 * ms)
		tail := call(t.Context(), e, http.MethodGet, enginewire.PathRun+"a?from=7", "").frames(t)
		must.Eq(t, enginewire.FrameStart, tail[0].Kind)
		must.Eq(t, 0, tail[0].Seq)
		for i, f := range tail[1:] {
			must.Eq(t, 8+i, f.Seq)
		}
		must.Eq(t, enginewire.FrameEnd, tail[34].Kind)
		must.Eq(t, text(head)[:7*tokenBytes]+text(tail), text(start(e, request("b", "four", 40)).frames(t)))
		full := call(t.Context(), e, http.MethodGet, enginewire.PathRun+"a", "").frames(t)
		must.Eq(t, enginewire.FrameStart, full[0].Kind)
		must.Eq(t, 400, call(t.Context(), e, http.MethodGet, enginewire.PathRun+"a?from=41", "").Code)

		time.Sleep(timed.KeepRuns + time.Second)
		start(e, request("c", "four", 1))
		gone := call(t.Context(), e, http.MethodGet, enginewire.PathRun+"a", "")
		must.Eq(t, enginewire.ErrRunUnknown, gone.error(t).Code)
	})
}

func TestRun_AbandonedIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, timed)
		ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
		defer cancel()
		_, ended := begin(ctx, e, request("a", "four", 10000))
		<-ended
		time.Sleep(timed.KeepRuns - time.Second)
		must.Eq(t, 1, get[enginewire.Load](t, e, enginewire.PathLoad).Running)
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, get[enginewire.Load](t, e, enginewire.PathLoad).Running)
	})
}

func TestRun_Cancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := timed
		cfg.MaxRunning = 1
		e := newEngine(t, cfg)
		running, _ := begin(t.Context(), e, request("a", "four", 1000))
		synctest.Wait()
		waiting, _ := begin(t.Context(), e, request("b", "four", 1000))
		time.Sleep(100 * ms)
		for _, id := range []string{"a", "b"} {
			must.Eq(t, 204, call(t.Context(), e, http.MethodDelete, enginewire.PathRun+id, "").Code)
		}
		must.Eq(t, 404, call(t.Context(), e, http.MethodDelete, enginewire.PathRun+"x", "").Code)
		synctest.Wait()
		for s, notRun := range map[*sink]bool{running: false, waiting: true} {
			fs := s.frames(t)
			last := fs[len(fs)-1]
			must.Eq(t, enginewire.ErrCancelled, last.Error.Code)
			must.Eq(t, notRun, last.Error.NotRun)
			must.Eq(t, len(fs)-1, last.Seq)
		}
	})
}

func TestRun_TakenOverByLaterStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, timed)
		old, ended := begin(t.Context(), e, request("a", "four", 20))
		time.Sleep(100 * ms)
		next := call(t.Context(), e, http.MethodGet, enginewire.PathRun+"a?from=3", "")
		<-ended
		must.True(t, old.dropped)
		must.Len(t, 19, next.frames(t)) // start, 17 tokens and end
	})
}
