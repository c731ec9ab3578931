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

// TestLayoutOutlivesFigures keeps an engine's KV layout when its load is too old to use: stores
// are asked for blocks of that layout, and a prompt that returned to a node which had been
// without prompts for 10 s was read whole.
func TestLayoutOutlivesFigures(t *testing.T) {
	r := &Router{figures: map[figureKey]figure{
		{"e", "m", "v"}: {at: time.Now().Add(-time.Hour), engine: placement.Engine{Layout: "l", LastWait: time.Minute, Status: placement.Paused}},
	}}
	engines := r.lastFigures(&runs.Request{Model: "m", Version: "v"}, []*pb.Endpoint{{Name: "e"}})
	must.Len(t, 1, engines)
	test.Eq(t, "l", engines[0].Layout)
	test.Eq(t, 0, engines[0].LastWait)
	test.Eq(t, placement.Late, engines[0].Status)
}
