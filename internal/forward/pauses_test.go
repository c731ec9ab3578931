package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/upstream"
)

// pacedStream is the forwarding of a stream whose events the test makes.
type pacedStream struct {
	*exchange
	answer *upstream.Answer
}

const pauseLimit = 300 * time.Millisecond

func newPacedStream(w http.ResponseWriter, pace *enginepace.Services, limit time.Duration) *pacedStream {
	f := fleet.New(zerolog.Nop())
	f.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:9", StartedMs: 1, Release: "v1"}, time.Now())
	return &pacedStream{
		exchange: &exchange{
			Handler: &Handler{Pace: pace}, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil),
			route:     &routing.Route{GapObjective: limit},
			service:   &routing.Service{Name: "s", Engine: &routing.Engine{Stride: 8}, GapObjective: limit},
			placement: &Placement{Member: f.Member("e")},
		},
		answer: &upstream.Answer{Response: &http.Response{StatusCode: http.StatusOK}},
	}
}

// after forwards text that is read d after the text before.
func (p *pacedStream) after(t *testing.T, d time.Duration, text string) {
	t.Helper()
	time.Sleep(d)
	must.True(t, p.writeEvents(p.answer, []byte(text)))
}

const oneEvent = "id: 1\ndata: x\n\n"

// TestLongestPause guards against pauses that are not the caller's: the time to the first event,
// comments and incomplete events that hide one, and the end of an endpoint's part of the stream.
func TestLongestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacedStream(httptest.NewRecorder(), nil, pauseLimit)
		p.after(t, time.Second, oneEvent)
		test.Zero(t, p.pauses.longest)
		p.after(t, 100*time.Millisecond, oneEvent+oneEvent)
		test.Eq(t, 100*time.Millisecond, p.pauses.longest)
		p.after(t, 200*time.Millisecond, ": ping\n\n")
		p.after(t, 50*time.Millisecond, "id: 2\nda")
		test.Eq(t, 100*time.Millisecond, p.pauses.longest)
		p.after(t, 150*time.Millisecond, oneEvent)
		test.Eq(t, 400*time.Millisecond, p.pauses.longest)
		p.endPace()
		p.after(t, time.Second, oneEvent)
		test.Eq(t, time.Second, p.pauses.longest, test.Sprint("the next endpoint's part"))
	})
}

// lastOutcome is a Recorder that keeps the last outcome.
type lastOutcome struct{ Outcome }

func (l *lastOutcome) Forwarded(o *Outcome) { l.Outcome = *o }

// TestPauseIsRecorded guards against a pause that is missing in the outcome or the request line.
func TestPauseIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		recorder := &lastOutcome{}
		p := newPacedStream(httptest.NewRecorder(), nil, pauseLimit)
		p.Recorder, p.Log = recorder, zerolog.New(&log)
		p.after(t, time.Second, oneEvent)
		p.after(t, 400*time.Millisecond, oneEvent)
		p.exchange.placement = nil
		p.finish(nil)
		test.Eq(t, 400*time.Millisecond, recorder.LongestPause)
		test.StrContains(t, log.String(), `"longest_pause_ms":400`)
	})
}

// TestPausesOff guards against work and log fields where no pause is too long for callers.
func TestPausesOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pace := &enginepace.Services{}
		p := newPacedStream(httptest.NewRecorder(), pace, 0)
		for range 3 {
			p.after(t, time.Second, oneEvent)
		}
		test.Zero(t, p.pauses.longest)
		test.Nil(t, p.pace)
		test.True(t, pace.Empty())
	})
}

// slowWriter is a caller's connection that takes the given time for each write.
type slowWriter struct {
	*httptest.ResponseRecorder
	takes time.Duration
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.takes)
	return w.ResponseRecorder.Write(b)
}

// TestPaceOfStreams guards against slow engines that are not noticed in the events that this node
// forwards, and against engines that count as slow because a caller reads slowly.
func TestPaceOfStreams(t *testing.T) {
	const spacing = 25 * time.Millisecond
	for name, tc := range map[string]struct {
		write, gap time.Duration
		slow       bool
	}{
		"usual":       {gap: spacing},
		"slow engine": {gap: 3 * spacing, slow: true},
		"slow caller": {gap: spacing, write: 3 * spacing},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pace, w := &enginepace.Services{}, &slowWriter{ResponseRecorder: httptest.NewRecorder()}
				p := newPacedStream(w, pace, pauseLimit)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(enginepace.TickInterval)
				}()
				go func() {
					for ctx.Err() == nil {
						pace.Tick(time.Now(), noPeerLoads, 0)
						time.Sleep(enginepace.TickInterval)
					}
				}()
				id := enginepace.Engine{ID: "e", StartedMs: 1}
				for range 40 {
					p.after(t, spacing, oneEvent)
				}
				w.takes = tc.write
				for range 3 {
					p.after(t, tc.gap, oneEvent)
				}
				test.Eq(t, tc.slow, enginepace.FactorOf(pace.ForName("s").Slow(time.Now()), id) > 1)
				p.endPace()
				time.Sleep(enginepace.VerdictLifetime + 2*enginepace.TickInterval)
				test.False(t, pace.ForName("s").Active(), test.Sprint("the stream is no longer observed"))
			})
		})
	}
}

func noPeerLoads() func(enginepace.Engine) (int, int) {
	return func(enginepace.Engine) (int, int) { return 0, 0 }
}
