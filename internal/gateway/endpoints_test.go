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

	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/peerload"
)

// TestServeRestrictedEndpoints checks that the endpoint list contains the restricted endpoints, and
// is an empty JSON list if there are none.
func TestServeRestrictedEndpoints(t *testing.T) {
	n := &Node{
		fleet: fleet.New(zerolog.Nop()), pace: &enginepace.Services{}, peers: &peerload.Exchange{Table: peerload.NewTable()},
		log: zerolog.Nop(),
	}
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
	n.fleet.Update(&fleet.Endpoint{ID: "slow", Service: "s", Addr: "10.0.0.2:1"}, time.Now())
	n.peers.Table.Record(peerload.Digest{Node: "n", Incarnation: 1, Seq: 1, Slow: []peerload.Slow{{Endpoint: "slow", Tenths: 25}}}, time.Now())
	listed = get()
	must.Len(t, 2, listed)
	test.Eq(t, 2.5, listed[1].SlowFactor)
}
