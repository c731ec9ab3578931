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

// TestStartRegisters has all servers in the registry when Start returns, as it says: a node that
// reads it between two of the first entries serves some routes and refuses others.
func TestStartRegisters(t *testing.T) {
	s, err := Start(Config{Beat: time.Hour, Gap: time.Millisecond})
	must.NoError(t, err)
	defer s.Close()
	answer := httptest.NewRecorder()
	s.Store.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/-/log-newest?topic="+registry+"&part=0", nil))
	body, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	for _, id := range []string{"model-1", "model-2", "model-3", "plain-1"} {
		test.StrContains(t, string(body), id)
	}
}
