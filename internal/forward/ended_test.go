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

// gone returns the address of an endpoint that has ended.
func gone(t *testing.T) string {
	t.Helper()
	back := httptest.NewServer(http.NotFoundHandler())
	back.Close()
	return strings.TrimPrefix(back.URL, "http://")
}

// live returns the address of a new endpoint, which believes to be of that id.
func live(t *testing.T, id string) string {
	t.Helper()
	back := httptest.NewServer(modelserver.New(modelserver.Config{ID: id, Service: "servers", Pieces: streamSize}).Handler())
	t.Cleanup(back.Close)
	return strings.TrimPrefix(back.URL, "http://")
}

// Requests went on to endpoints that had started anew under another id: all were refused there, until
// the registry had dropped the old id 3.6 s later, since the refusal of another start was taken for one
// of an endpoint that is full.

// TestReplacedEndpointIsAvoided sends nothing more to an endpoint at whose address another one answers.
func TestReplacedEndpointIsAvoided(t *testing.T) {
	w := &world{}
	w.open(t, []string{live(t, "another"), live(t, "s1")})
	a := w.do(t, http.MethodPost, uploadPath, "x", nil)
	test.Eq(t, http.StatusOK, a.status)
	m := w.order.members[0]
	test.False(t, m.Health.Usable(time.Now().Add(2*time.Second)))
	test.True(t, m.Cold(time.Now()))
	test.True(t, w.order.members[1].Health.Usable(time.Now()), test.Sprint("the other one"))
}

// TestEndedEndpointIsAvoided does so where nothing listens any more.
func TestEndedEndpointIsAvoided(t *testing.T) {
	w := &world{}
	w.open(t, []string{gone(t), live(t, "s1")})
	a := w.do(t, http.MethodPost, uploadPath, "x", nil)
	test.Eq(t, http.StatusOK, a.status)
	test.False(t, w.order.members[0].Health.Usable(time.Now().Add(2*time.Second)))
	test.True(t, w.order.members[0].Cold(time.Now()))
}
