package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
	"github.com/cherryward/cherryward/internal/forward"
)

// suspendingPlacer suspends the host while it places a request.
type suspendingPlacer struct {
	*orderedPlacer
	host *clocktest.Host
	d    time.Duration
}

func (s *suspendingPlacer) Place(q *forward.Query) (forward.Placement, bool) {
	s.host.Suspend(s.d)
	return s.orderedPlacer.Place(q)
}

// TestDeadlineAfterASuspension checks that the time for which the host is suspended between a
// request's arrival and its send counts against the caller's deadline of 4 s: the endpoint receives
// the time that is left by the caller's clock, and a request whose deadline has passed is refused
// at once and not sent.
func TestDeadlineAfterASuspension(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		h := newTestHandler(t, model)
		host := clocktest.New()
		h.handler.Clock = host.Clock
		h.handler.Placer = &suspendingPlacer{orderedPlacer: h.placer, host: host, d: d}
		got := h.do(t, http.MethodPost, resumePath, "prompt", nil)
		runs := h.servers[0].Runs()
		if d >= 4*time.Second {
			test.Eq(t, http.StatusServiceUnavailable, got.status)
			test.SliceEmpty(t, runs)
			continue
		}
		test.Eq(t, http.StatusOK, got.status)
		must.SliceLen(t, 1, runs)
		remaining, err := strconv.Atoi(runs[0].Header.Get("X-Deadline-Ms"))
		must.NoError(t, err)
		test.LessEq(t, 4000-int(d.Milliseconds()), remaining)
	}
}
