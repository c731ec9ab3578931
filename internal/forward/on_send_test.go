package forward_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/tcp/tcptest"
)

// countingPlacer records the requests in flight at the endpoint at each call of OnSend.
type countingPlacer struct {
	forward.Placer
	running []int
}

func (c *countingPlacer) Place(q *forward.Query) (forward.Placement, bool) {
	p, ok := c.Placer.Place(q)
	p.OnSend = func() { c.running = append(c.running, p.Member.Load.Running()) }
	return p, ok
}

// TestOnSendFollowsCount checks that OnSend is called once for each send, after the request was counted
// at the endpoint. If it were called before, a load report that is built in between would lack the
// request, and other nodes would drop the notice in its favour.
func TestOnSendFollowsCount(t *testing.T) {
	h := &testHandler{}
	h.start(t, []string{tcptest.RefusingAddr(t), liveEndpoint(t, serverID(1))})
	counts := &countingPlacer{Placer: h.placer}
	h.handler.Placer = counts
	got := h.do(t, http.MethodPost, uploadPath, "x", nil)
	test.Eq(t, http.StatusOK, got.status)
	test.Eq(t, []int{1, 1}, counts.running)
}
