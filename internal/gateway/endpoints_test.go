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

// TestEndpointsAreServed tells operators what endpoints have said, and an empty list where none has.
func TestEndpointsAreServed(t *testing.T) {
	n := &Node{fleet: fleet.New(zerolog.Nop()), log: zerolog.Nop()}
	ask := func() (said []fleet.Said) {
		w := httptest.NewRecorder()
		n.serveReady(w, httptest.NewRequest(http.MethodGet, pathEndpoints, nil))
		must.Eq(t, http.StatusOK, w.Code)
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &said))
		return said
	}
	test.Eq(t, []fleet.Said{}, ask())
	n.fleet.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1"}, time.Now())
	n.fleet.Member("e").Word.Rests(time.Minute, time.Now())
	said := ask()
	must.Len(t, 1, said)
	test.Between(t, 59_000, said[0].Rest.LeftMs, 60_000)
}
