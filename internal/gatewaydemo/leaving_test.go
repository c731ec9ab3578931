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

// sendNewSessions sends prompts to a node, each of a new session that no server has cached.
func sendNewSessions(t *testing.T, s *site.Site, m *gatewaydemo.Member, name string, prompts int) {
	t.Helper()
	for i := range prompts {
		id := fmt.Sprintf("%s-%d", name, i)
		retryUntilServed(t, s, m, site.PathQuery, id, "5e"+id)
	}
}

// TestNoRequestsAfterLeavingResponse verifies that a node sends no further requests to a server after
// the first response in which the server says that it is leaving: while the server's entry in the
// store still says that it is ready, and while the store is unavailable.
func TestNoRequestsAfterLeavingResponse(t *testing.T) {
	const prompts, promptsDuringOutage = 30, 16 // few, since keys are refused some seconds after the store becomes unavailable
	s, members := startSite(t, 2)
	leaving := s.Models[0]
	leaving.SetFaults(modelserver.Faults{Draining: "1"})
	for i, m := range members {
		before := len(leaving.Runs())
		sendNewSessions(t, s, m, fmt.Sprint("n", i), prompts)
		must.Eq(t, before+1, len(leaving.Runs()))
	}
	s.Store.SetFaults(metastore.Faults{Down: true})
	leaving = s.Models[1]
	leaving.SetFaults(modelserver.Faults{Draining: "1"})
	for i, m := range members {
		before := len(leaving.Runs())
		sendNewSessions(t, s, m, fmt.Sprint("away-n", i), promptsDuringOutage)
		test.Eq(t, before+1, len(leaving.Runs()))
	}
}
