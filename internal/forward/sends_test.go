package forward_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/forward"
)

// noBudget leaves the world no repeats.
func (w *world) noBudget() {
	w.handler.Budgets = forward.NewBudgets(bootstrap.Bounds{}, func() int { return 1 })
}

// When all endpoints of a failure domain ended at once, callers were refused though the others had
// room: 10,164 requests on one day were given up after their first send. Each send to an endpoint that
// was gone took one of the node's few repeats, though nothing of the request had arrived anywhere, and
// the budget was empty within a second.

// TestUnreachedSendsAreNoRepeats sends a request on from endpoints that are gone without a repeat.
func TestUnreachedSendsAreNoRepeats(t *testing.T) {
	for _, path := range []string{recordPath, uploadPath, streamPath} {
		for ended := range 6 {
			var addrs []string
			for range ended {
				addrs = append(addrs, gone(t))
			}
			w := &world{}
			w.open(t, append(addrs, live(t, serverID(ended))))
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

// TestRefusedSendsAreRepeats pays for each send after one that arrived, and once for it, however
// many sends it takes.
func TestRefusedSendsAreRepeats(t *testing.T) {
	for _, budget := range []bool{false, true} {
		w := &world{}
		other := live(t, "another")
		w.open(t, []string{gone(t), other, gone(t), live(t, serverID(3))})
		if !budget {
			w.noBudget()
		}
		a := w.do(t, http.MethodPost, uploadPath, "x", nil)
		test.Eq(t, budget, a.status == http.StatusOK, test.Sprint(a.status))
	}
}
