package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/tcp/tcptest"
	"github.com/cherryward/cherryward/standin/modelserver"
)

// liveEndpoint starts an endpoint that identifies itself by the given id, and returns its address.
func liveEndpoint(t *testing.T, id string) string {
	t.Helper()
	backend := httptest.NewServer(modelserver.New(modelserver.Config{ID: id, Service: "servers", StreamEvents: streamSize}).Handler())
	t.Cleanup(backend.Close)
	return strings.TrimPrefix(backend.URL, "http://")
}

// TestReplacedEndpointIsAvoided checks that an endpoint is avoided once another one answers at its
// address. A refusal by another process must not count as one for lack of capacity: requests would
// be sent to the old id, and refused, until the registry drops it.
func TestReplacedEndpointIsAvoided(t *testing.T) {
	h := &testHandler{}
	h.start(t, []string{liveEndpoint(t, "another"), liveEndpoint(t, "s1")})
	a := h.do(t, http.MethodPost, uploadPath, "x", nil)
	test.Eq(t, http.StatusOK, a.status)
	m := h.placer.members[0]
	test.False(t, m.Health.Usable(time.Now().Add(2*time.Second)))
	test.True(t, m.Cold(time.Now()))
	test.True(t, h.placer.members[1].Health.Usable(time.Now()), test.Sprint("the endpoint that answered"))
}

// TestEndedEndpointIsAvoided checks that an endpoint is avoided once nothing listens at its
// address.
func TestEndedEndpointIsAvoided(t *testing.T) {
	h := &testHandler{}
	h.start(t, []string{tcptest.RefusingAddr(t), liveEndpoint(t, "s1")})
	a := h.do(t, http.MethodPost, uploadPath, "x", nil)
	test.Eq(t, http.StatusOK, a.status)
	test.False(t, h.placer.members[0].Health.Usable(time.Now().Add(2*time.Second)))
	test.True(t, h.placer.members[0].Cold(time.Now()))
}
