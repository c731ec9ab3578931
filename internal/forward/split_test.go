package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/routing"
)

// soleOrigins is a forward.Origins without records of streams, where each service has one release.
type soleOrigins struct{ release string }

func (s soleOrigins) Record(origin.Key, origin.Origin) {}

func (s soleOrigins) Find(_ context.Context, _ origin.Key, service string) origin.Result {
	if service == "" {
		return origin.Result{Settled: true}
	}
	return origin.Result{Origin: origin.Origin{Service: service, Release: s.release}, Source: origin.SoleRelease}
}

// TestStreamOfASplitRouteGoesOnAtNoOtherService guards against resuming a stream without a record at the service that is
// drawn for the request that resumes it.
func TestStreamOfASplitRouteGoesOnAtNoOtherService(t *testing.T) {
	for weight, status := range map[float64]int{0: http.StatusOK, 1: http.StatusServiceUnavailable} {
		h := newTestHandler(t, "m")
		h.handler.Origins = soleOrigins{"v1"}
		c := h.state.config
		c.Services = append(c.Services, routing.Service{Name: "others"})
		for i := range c.Routes {
			c.Routes[i].Upstreams = append(c.Routes[i].Upstreams, routing.Upstream{Service: "others", Weight: weight})
		}
		c.Index()
		for range 8 {
			for _, id := range []string{"r1", ""} {
				change := resuming("2")
				if id != "" {
					change = resuming("2", id)
				}
				got := h.do(t, http.MethodGet, resumePath, "", change)
				test.Eq(t, status, got.status, test.Sprint(weight, got.body))
			}
		}
	}
}

// TestStreamOfAMovedRouteGoesOnAtNoOtherService guards against resuming a stream without a record at the service to which
// its route has moved since.
func TestStreamOfAMovedRouteGoesOnAtNoOtherService(t *testing.T) {
	for age, status := range map[time.Duration]int{resumeTime / 2: http.StatusServiceUnavailable, 2 * resumeTime: http.StatusOK} {
		h := newTestHandler(t, "m")
		h.handler.Origins = soleOrigins{"v1"}
		before := config()
		for i := range before.Routes {
			before.Routes[i].Upstreams[0].Service = "others"
		}
		h.state.config.InheritMoves(before, time.Now().Add(-age))
		for _, change := range []func(*http.Request){resuming("2", "r1"), resuming("2")} {
			got := h.do(t, http.MethodGet, resumePath, "", change)
			test.Eq(t, status, got.status, test.Sprint(age, got.body))
		}
	}
}
