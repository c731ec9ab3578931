package router

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/placement"
	"github.com/cherryward/cherryward/internal/runs"
)

// TestLayoutOutlivesCachedEstimate checks that an engine's KV layout is kept when its cached
// estimate is too old to use. Stores are queried for blocks of that layout: without it, the next
// prompt of a conversation would be read in full at a node that has placed no prompt of the model
// for 10 s.
func TestLayoutOutlivesCachedEstimate(t *testing.T) {
	r := &Router{estimates: map[estimateKey]cachedEstimate{
		{"e", "m", "v"}: {at: time.Now().Add(-time.Hour), engine: placement.EngineEstimate{Layout: "l", LastWait: time.Minute, Status: placement.NotInRotation}},
	}}
	engines := r.cachedEngines(&runs.Request{Model: "m", Version: "v"}, []*pb.Endpoint{{Name: "e"}})
	must.Len(t, 1, engines)
	test.Eq(t, "l", engines[0].Layout)
	test.Eq(t, 0, engines[0].LastWait)
	test.Eq(t, placement.Late, engines[0].Status)
}
