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

// endedEndpoint returns the address of an endpoint that no longer listens.
func endedEndpoint(t *testing.T) string {
	t.Helper()
	backend := httptest.NewServer(http.NotFoundHandler())
	backend.Close()
	return strings.TrimPrefix(backend.URL, "http://")
}

// liveEndpoint starts an endpoint that identifies itself by the given id, and returns its address.
func liveEndpoint(t *testing.T, id string) string {
	t.Helper()
	backend := httptest.NewServer(modelserver.New(modelserver.Config{ID: id, Service: "servers", StreamEvents: streamSize}).Handler())
	t.Cleanup(backend.Close)
	return strings.TrimPrefix(backend.URL, "http://")
}

// The next two tests guard against a failure in which requests were still sent to endpoints that
// had restarted under another id. All were refused, until the registry dropped the old id 3.6 s
// later: the refusal by the new process was treated like that of an endpoint at capacity.

// TestReplacedEndpointIsAvoided checks that an endpoint is avoided once another one answers at its
// address.
func TestReplacedEndpointIsAvoided(t *testing.T) {
	w := &testHandler{}
	w.open(t, []string{liveEndpoint(t, "another"), liveEndpoint(t, "s1")})
	a := w.do(t, http.MethodPost, uploadPath, "x", nil)
	test.Eq(t, http.StatusOK, a.status)
	m := w.placer.members[0]
	test.False(t, m.Health.Usable(time.Now().Add(2*time.Second)))
	test.True(t, m.Cold(time.Now()))
	test.True(t, w.placer.members[1].Health.Usable(time.Now()), test.Sprint("the endpoint that answered"))
}

// TestEndedEndpointIsAvoided checks that an endpoint is avoided once nothing listens at its
// address.
func TestEndedEndpointIsAvoided(t *testing.T) {
	w := &testHandler{}
	w.open(t, []string{endedEndpoint(t), liveEndpoint(t, "s1")})
	a := w.do(t, http.MethodPost, uploadPath, "x", nil)
	test.Eq(t, http.StatusOK, a.status)
	test.False(t, w.placer.members[0].Health.Usable(time.Now().Add(2*time.Second)))
	test.True(t, w.placer.members[0].Cold(time.Now()))
}
