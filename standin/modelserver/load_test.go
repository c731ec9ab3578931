package modelserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const loadTime = 1100 * time.Millisecond

// call sends a request to a server and returns the response.
func call(s *Server, method, path, body, model string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Model", model)
	s.Handler().ServeHTTP(w, r)
	return w
}

func orderOf(version, expected int, mode string) string {
	return fmt.Sprintf(`{"version":%d,"holder":"n0","fencing-token":5,"expected":%d,"switch-mode":%q}`, version, expected, mode)
}

func orderStatus(s *Server, body string) int {
	return call(s, http.MethodPost, "/-/order", body, "").Code
}

// state returns the fields busy and seq of the server's report.
func state(t *testing.T, s *Server) (busy bool, orders int64) {
	t.Helper()
	var report struct {
		Busy bool  `json:"busy"`
		Seq  int64 `json:"seq"`
	}
	must.NoError(t, json.Unmarshal(call(s, http.MethodGet, "/-/report", "", "").Body.Bytes(), &report))
	return report.Busy, report.Seq
}

func newLoading(loads *Loads) *Server {
	return New(Config{ID: "model-1", Model: "reader", StreamEvents: 4, EventInterval: 100 * time.Millisecond, Loads: loads})
}

// TestOrderTakesLoadTime checks what a server answers while it loads, and after that.
func TestOrderTakesLoadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLoading(&Loads{Time: loadTime})
		s.StorePart("salt", "part", 100)
		must.Eq(t, http.StatusAccepted, orderStatus(s, orderOf(2, 0, "block")))
		time.Sleep(loadTime / 2)
		busy, orders := state(t, s)
		test.True(t, busy)
		test.Eq(t, 1, orders)
		test.Eq(t, 1, s.Version())
		test.Eq(t, 1, s.CachedParts())
		test.Eq(t, http.StatusConflict, orderStatus(s, orderOf(3, 1, "block")))
		refused := call(s, http.MethodPost, "/x", "", "reader")
		test.Eq(t, http.StatusServiceUnavailable, refused.Code)
		test.Eq(t, "1", refused.Header().Get("X-Not-Executed"))
		test.SliceEmpty(t, s.Runs())
		time.Sleep(loadTime)
		busy, _ = state(t, s)
		test.False(t, busy)
		test.Eq(t, 2, s.Version())
		test.Eq(t, 0, s.CachedParts())
		test.Eq(t, http.StatusOK, orderStatus(s, orderOf(2, 1, "block")))
		test.Eq(t, http.StatusOK, call(s, http.MethodPost, "/x", "", "reader").Code)
	})
}

// TestRunsFinishBeforeLoad checks that a load begins after the runs in progress, unless they go on under the new
// weights.
func TestRunsFinishBeforeLoad(t *testing.T) {
	for mode, runsFirst := range map[string]bool{"block": true, switchRetain: false} {
		synctest.Test(t, func(t *testing.T) {
			s := newLoading(&Loads{Time: loadTime})
			go call(s, http.MethodPost, "/x", "", "reader") // 400 ms
			synctest.Wait()
			must.Eq(t, http.StatusAccepted, orderStatus(s, orderOf(2, 0, mode)))
			time.Sleep(loadTime + loadTime/10)
			test.Eq(t, !runsFirst, s.Version() == 2, test.Sprint(mode))
			time.Sleep(500 * time.Millisecond)
			test.Eq(t, 2, s.Version())
		})
	}
}

// TestManyLoadsTakeLonger checks that more loads than run at full speed share that rate.
func TestManyLoadsTakeLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := &Loads{Time: loadTime, AtOnce: 2}
		var servers []*Server
		for range 4 {
			s := newLoading(loads)
			must.Eq(t, http.StatusAccepted, orderStatus(s, orderOf(2, 0, "block")))
			servers = append(servers, s)
		}
		time.Sleep(2*loadTime - loadTime/10)
		for _, s := range servers {
			test.Eq(t, 1, s.Version())
		}
		time.Sleep(loadTime / 5)
		for _, s := range servers {
			test.Eq(t, 2, s.Version())
		}
	})
}

// TestRestartEndsLoad checks that a server that restarts while it loads has the weights that it had before.
func TestRestartEndsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLoading(&Loads{Time: loadTime})
		must.Eq(t, http.StatusAccepted, orderStatus(s, orderOf(2, 0, "block")))
		s.Restart()
		busy, orders := state(t, s)
		test.False(t, busy)
		test.Eq(t, 0, orders)
		time.Sleep(2 * loadTime)
		test.Eq(t, 1, s.Version())
	})
}
