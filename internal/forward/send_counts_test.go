package forward_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/forward"
)

// noBudget sets a budget without retries.
func (w *testHandler) noBudget() {
	w.handler.Budgets = forward.NewBudgets(bootstrap.Bounds{}, func() int { return 1 })
}

// The next test guards against refusals when all endpoints of a failure domain end at once although
// the others have capacity. Each failed connection to an ended endpoint used a retry of the node's
// small budget, though nothing of the request had been sent; the budget was empty within a second,
// and requests (10,164 in one case) failed after their first send.

// TestFailedConnectionsTakeNoRetries checks that sending a request on after failed connections
// takes no retry from the budget.
func TestFailedConnectionsTakeNoRetries(t *testing.T) {
	for _, path := range []string{recordPath, uploadPath, streamPath} {
		for ended := range 6 {
			var addrs []string
			for range ended {
				addrs = append(addrs, endedEndpoint(t))
			}
			w := &testHandler{}
			w.open(t, append(addrs, liveEndpoint(t, serverID(ended))))
			w.noBudget()
			a := w.do(t, http.MethodPost, path, "x", nil)
			want := http.StatusOK
			if ended > 4 {
				want = http.StatusServiceUnavailable
			}
			test.Eq(t, want, a.status, test.Sprint(path, ended))
		}
	}
}

// TestRefusedSendsTakeRetries checks that a send after a refusal takes one retry from the budget,
// whatever the number of failed connections before it succeeds.
func TestRefusedSendsTakeRetries(t *testing.T) {
	for _, budget := range []bool{false, true} {
		w := &testHandler{}
		other := liveEndpoint(t, "another")
		w.open(t, []string{endedEndpoint(t), other, endedEndpoint(t), liveEndpoint(t, serverID(3))})
		if !budget {
			w.noBudget()
		}
		a := w.do(t, http.MethodPost, uploadPath, "x", nil)
		test.Eq(t, budget, a.status == http.StatusOK, test.Sprint(a.status))
	}
}
