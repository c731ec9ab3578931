package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// discardResponse is an http.ResponseWriter that drops the body.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header         { return d.header }
func (d *discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardResponse) WriteHeader(int)             {}
func (d *discardResponse) Flush()                      {}

// Bounds on the allocations of one request. They include those of the stub model server, which runs
// in the same process.
const (
	maxPlainAllocs  = 150
	maxStreamAllocs = 170
)

// TestAllocations bounds the number of allocations per forwarded request.
func TestAllocations(t *testing.T) {
	tests := []struct {
		path, model string
		maxAllocs   float64
	}{
		{recordPath, "", maxPlainAllocs},
		{streamPath, model, maxStreamAllocs},
	}
	for _, tc := range tests {
		h := newTestHandler(t, tc.model)
		got := testing.AllocsPerRun(200, func() {
			r := httptest.NewRequest(http.MethodGet, tc.path, nil)
			r.Host = host
			r.Header.Set("Authorization", "Bearer "+key)
			r.Header.Set("X-Attempt-Id", "r1")
			r.Header.Set("X-Deadline-Ms", "4000")
			h.server.Config.Handler.ServeHTTP(&discardResponse{header: make(http.Header)}, r)
		})
		t.Logf("%s: %.0f allocations per request", tc.path, got)
		must.LessEq(t, tc.maxAllocs, got)
	}
}
