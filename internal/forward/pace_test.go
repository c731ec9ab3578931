package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/routing"
)

// TestStreamsAreObserved guards against streams of an observed service that are not observed, and
// against the observation of streams that have ended, which would look silent.
func TestStreamsAreObserved(t *testing.T) {
	h := newTestHandler(t, model)
	pace := &enginepace.Services{}
	h.handler.Pace = pace
	c := config()
	for i := range c.Routes {
		c.Routes[i].GapObjective = time.Second
	}
	c.Services[0].Engine = &routing.Engine{Stride: 8}
	h.state.config = c.Index()
	must.Eq(t, http.StatusOK, h.do(t, http.MethodGet, streamPath, "", nil).status)
	must.False(t, pace.Empty())
	none := func() func(enginepace.Engine) (int, int) { return func(enginepace.Engine) (int, int) { return 0, 0 } }
	pace.Tick(time.Now(), none, 0)
	test.False(t, pace.ForName("servers").Active())
}
