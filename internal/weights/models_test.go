package weights

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// TestModelsOfOneEngine checks that an engine's job for one model is not changed if another model of
// the engine is outdated too.
func TestModelsOfOneEngine(t *testing.T) {
	m := singleMember(t, &fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:1", Weights: []fleet.Weights{
		{Model: "a", Version: 8}, {Model: "b", Version: 2},
	}})
	s := &Service{jobs: make(map[string]*job)}
	s.startJobs([]*fleet.Member{m}, "a", 9, 1)
	s.startJobs([]*fleet.Member{m}, "b", 3, 1)
	must.MapContainsKey(t, s.jobs, "e")
	test.Eq(t, "a", s.jobs["e"].model)
	test.Eq(t, 9, s.jobs["e"].version)
	s.startJobs([]*fleet.Member{m}, "a", 10, 1)
	test.Eq(t, 10, s.jobs["e"].version)
}

func singleMember(t *testing.T, e *fleet.Endpoint) *fleet.Member {
	t.Helper()
	f := fleet.New(zerolog.Nop())
	f.Update(e, time.Now())
	must.Len(t, 1, f.All())
	return f.All()[0]
}
