package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// TestWhatEndsALimit takes only a success without a limit for its end, no error, refusal or limit that can't be read.
func TestWhatEndsALimit(t *testing.T) {
	w := newWorld(t, "")
	signals := w.order.members[0].Signals
	asked := func(f modelserver.Faults) (limited bool) {
		w.servers[0].SetFaults(f)
		w.do(t, http.MethodGet, recordPath, "", nil)
		limit, known := signals.RateLimit()
		return known && limit.InForce
	}
	test.False(t, asked(modelserver.Faults{}))
	test.True(t, asked(modelserver.Faults{Limit: "2.5"}))
	test.True(t, asked(modelserver.Faults{Status: http.StatusInternalServerError}))
	test.True(t, asked(modelserver.Faults{Shed: true}))
	test.True(t, asked(modelserver.Faults{Unproven: true}))
	test.True(t, asked(modelserver.Faults{Limit: "many"}))
	test.False(t, asked(modelserver.Faults{}))
	test.True(t, asked(modelserver.Faults{Shed: true, Limit: "1"}), test.Sprint("named in a refusal"))
}

// TestWhoseSignalsCount learns nothing of an endpoint from the refusal of another one at its address.
func TestWhoseSignalsCount(t *testing.T) {
	w := newWorld(t, "", "")
	w.servers[0].SetFaults(modelserver.Faults{Leaving: "1", Limit: "1"})
	m := w.order.members[0]
	w.order.members = w.order.members[:1]
	w.do(t, http.MethodGet, recordPath, "", func(r *http.Request) { r.Header.Set("X-Attempt-Id", "r2") })
	_, draining := m.Signals.Draining()
	test.True(t, draining)

	server := modelserver.New(modelserver.Config{ID: "another", Service: "servers"})
	server.SetFaults(modelserver.Faults{Leaving: "1", Limit: "1"})
	back := httptest.NewServer(server.Handler())
	defer back.Close()
	misled := &world{}
	misled.open(t, []string{strings.TrimPrefix(back.URL, "http://")})
	a := misled.do(t, http.MethodGet, recordPath, "", nil)
	test.NotEq(t, http.StatusOK, a.status)
	signals := misled.order.members[0].Signals
	_, limited := signals.RateLimit()
	_, draining = signals.Draining()
	test.False(t, limited || draining)
}

// TestRefusalsAskForBackoff learns how long an endpoint wants nothing from its refusals alone.
func TestRefusalsAskForBackoff(t *testing.T) {
	w := newWorld(t, "")
	signals := w.order.members[0].Signals
	for _, after := range []string{"soon", "-3", "NaN", ""} {
		w.servers[0].SetFaults(modelserver.Faults{Shed: true, Rest: after})
		w.do(t, http.MethodGet, recordPath, "", nil)
		_, backsOff := signals.Backoff(time.Now())
		test.False(t, backsOff, test.Sprint(after))
	}
	w.servers[0].SetFaults(modelserver.Faults{Shed: true, Rest: "1e300"})
	w.do(t, http.MethodGet, recordPath, "", nil)
	_, backsOff := signals.Backoff(time.Now().Add(9 * time.Minute))
	test.True(t, backsOff)
	_, backsOff = signals.Backoff(time.Now().Add(11 * time.Minute))
	test.False(t, backsOff, test.Sprint("not for ever"))
}
