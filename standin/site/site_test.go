package site

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestStartRegisters checks that all servers are in the registry when Start returns. Otherwise a
// node that reads the registry between the first entries serves some routes and rejects others.
func TestStartRegisters(t *testing.T) {
	s, err := Start(Config{HeartbeatInterval: time.Hour, EventInterval: time.Millisecond})
	must.NoError(t, err)
	defer s.Close()
	answer := httptest.NewRecorder()
	s.Store.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/-/log-newest?topic="+registryTopic+"&part=0", nil))
	body, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	for _, id := range []string{"model-1", "model-2", "model-3", "plain-1"} {
		test.StrContains(t, string(body), id)
	}
}
