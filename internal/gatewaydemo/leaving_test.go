package gatewaydemo_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// askAnew has a node serve so many prompts, each of a session that no server keeps anything of.
func askAnew(t *testing.T, s *site.Site, m *gatewaydemo.Member, name string, prompts int) {
	t.Helper()
	for i := range prompts {
		id := fmt.Sprintf("%s-%d", name, i)
		served(t, s, m, site.PathQuery, id, "5e"+id)
	}
}

// TestLeavingEndpointGetsNothingMore has a server say in its answers that it leaves, while its entry says that
// it is ready, and then while the store is away: each node sends nothing more there after its first such answer.
func TestLeavingEndpointGetsNothingMore(t *testing.T) {
	const prompts, promptsAway = 30, 16 // keys are refused once the store has been away for some seconds
	s, members := start(t, 2)
	leaving := s.Models[0]
	leaving.SetFaults(modelserver.Faults{Leaving: "1"})
	for i, m := range members {
		before := len(leaving.Runs())
		askAnew(t, s, m, fmt.Sprint("n", i), prompts)
		must.Eq(t, before+1, len(leaving.Runs()))
	}
	s.Store.SetFaults(metastore.Faults{Down: true})
	leaving = s.Models[1]
	leaving.SetFaults(modelserver.Faults{Leaving: "1"})
	for i, m := range members {
		before := len(leaving.Runs())
		askAnew(t, s, m, fmt.Sprint("away-n", i), promptsAway)
		test.Eq(t, before+1, len(leaving.Runs()))
	}
}
