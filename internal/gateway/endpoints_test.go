package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// TestServeRestrictedEndpoints checks that the endpoint list contains the restricted endpoints, and
// is an empty JSON list if there are none.
func TestServeRestrictedEndpoints(t *testing.T) {
	n := &Node{fleet: fleet.New(zerolog.Nop()), log: zerolog.Nop()}
	get := func() (listed []fleet.Status) {
		w := httptest.NewRecorder()
		n.serveReady(w, httptest.NewRequest(http.MethodGet, pathEndpoints, nil))
		must.Eq(t, http.StatusOK, w.Code)
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &listed))
		return listed
	}
	test.Eq(t, []fleet.Status{}, get())
	n.fleet.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1"}, time.Now())
	n.fleet.Member("e").Signals.RecordBackoff(time.Minute, time.Now())
	listed := get()
	must.Len(t, 1, listed)
	test.Between(t, 59_000, listed[0].Backoff.LeftMs, 60_000)
}
