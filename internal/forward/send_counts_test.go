package forward_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/tcp/tcptest"
)

// disableRetries sets a budget without retries.
func (h *testHandler) disableRetries() {
	h.handler.Budgets = forward.NewBudgets(bootstrap.Bounds{}, func() int { return 1 })
}

// TestFailedConnectionsUseNoRetries checks that a retry after failed connections uses no
// retry of the budget, since nothing of the request was sent. Otherwise the small budget is used up
// when all endpoints of a failure domain end at once, and requests fail although other endpoints
// have capacity.
func TestFailedConnectionsUseNoRetries(t *testing.T) {
	for _, path := range []string{recordPath, uploadPath, streamPath} {
		for ended := range 6 {
			var addrs []string
			for range ended {
				addrs = append(addrs, tcptest.RefusingAddr(t))
			}
			h := &testHandler{}
			h.start(t, append(addrs, liveEndpoint(t, serverID(ended))))
			h.disableRetries()
			a := h.do(t, http.MethodPost, path, "x", nil)
			want := http.StatusOK
			if ended > 4 {
				want = http.StatusServiceUnavailable
			}
			test.Eq(t, want, a.status, test.Sprint(path, ended))
		}
	}
}

// TestRefusedSendsUseRetries checks that a send after a refusal takes one retry from the budget,
// whatever the number of failed connections before it succeeds.
func TestRefusedSendsUseRetries(t *testing.T) {
	for _, budget := range []bool{false, true} {
		h := &testHandler{}
		other := liveEndpoint(t, "another")
		h.start(t, []string{tcptest.RefusingAddr(t), other, tcptest.RefusingAddr(t), liveEndpoint(t, serverID(3))})
		if !budget {
			h.disableRetries()
		}
		a := h.do(t, http.MethodPost, uploadPath, "x", nil)
		test.Eq(t, budget, a.status == http.StatusOK, test.Sprint(a.status))
	}
}
