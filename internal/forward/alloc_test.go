package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// discard is a response that keeps nothing.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// Bounds on allocations, counted over a request with its share of the stand-in
// server's, which runs in the same process.
const (
	maxPlainAllocs  = 150
	maxStreamAllocs = 170
)

// TestAllocations bounds what a forwarded request allocates.
func TestAllocations(t *testing.T) {
	tests := []struct {
		path, model string
		most        float64
	}{
		{recordPath, "", maxPlainAllocs},
		{streamPath, model, maxStreamAllocs},
	}
	for _, tc := range tests {
		w := newWorld(t, tc.model)
		got := testing.AllocsPerRun(200, func() {
			r := httptest.NewRequest(http.MethodGet, tc.path, nil)
			r.Host = host
			r.Header.Set("Authorization", "Bearer "+key)
			r.Header.Set("X-Attempt-Id", "r1")
			r.Header.Set("X-Deadline-Ms", "4000")
			w.front.Config.Handler.ServeHTTP(&discard{header: make(http.Header)}, r)
		})
		t.Logf("%s: %.0f allocations a request", tc.path, got)
		must.LessEq(t, tc.most, got)
	}
}
