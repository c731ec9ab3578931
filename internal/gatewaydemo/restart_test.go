package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// runsSinceStart returns the prompts that a server ran since its last start.
func runsSinceStart(m *modelserver.Server) []modelserver.Run {
	startedAt := m.StartedMs()
	return slices.DeleteFunc(m.Runs(), func(r modelserver.Run) bool { return r.StartedMs != startedAt })
}

// promptsSent numbers the prompts of all tests. A number that was used twice would let a prompt that
// was refused be taken for an earlier one that ran.
var promptsSent atomic.Int64

// sendUntilTrue sends prompts until a condition holds.
func sendUntilTrue(t *testing.T, s *site.Site, m *gatewaydemo.Member, condition string, ok func() bool) {
	t.Helper()
	waitUntil(t, condition, func() bool {
		n := promptsSent.Add(1)
		retryUntilServed(t, s, m, site.PathQuery, fmt.Sprint("prompt-", n), fmt.Sprint("5e55", n))
		return ok()
	})
}

// TestRefusedPromptDidNotRun verifies that a prompt that all servers reject is refused, that no
// server runs it, and that it is served once they accept requests again.
func TestRefusedPromptDidNotRun(t *testing.T) {
	s, members := startSite(t, 1)
	served := func() bool { return true }
	sendUntilTrue(t, s, members[0], "a prompt is served", served)
	setFaults(s, modelserver.Faults{RejectRequests: true})
	go func() {
		for t.Context().Err() == nil && rejections(s) == 0 {
			time.Sleep(time.Millisecond)
		}
		setFaults(s, modelserver.Faults{})
	}()
	sendUntilTrue(t, s, members[0], "a rejected prompt is served", served)
	test.Positive(t, rejections(s))
}

func setFaults(s *site.Site, f modelserver.Faults) {
	for _, m := range s.Models {
		m.SetFaults(f)
	}
}

// rejections returns the number of requests that the model servers rejected.
func rejections(s *site.Site) int {
	count := 0
	for _, m := range s.Models {
		for _, a := range m.Arrivals() {
			if a.Refused {
				count++
			}
		}
	}
	return count
}

// checkVersions verifies that each prompt was sent with the expected version of the weights, and
// with a cache salt for it, and that this was the version of the server that ran it.
func checkVersions(t *testing.T, s *site.Site) {
	t.Helper()
	for _, r := range runs(s) {
		version := fmt.Sprint(r.Version)
		test.Eq(t, version, r.Header.Get("X-Expect-Version"))
		test.StrHasPrefix(t, version+"/", r.Header.Get("X-Cache-Salt"))
	}
}

func versionsOf(s *site.Site) []int64 {
	var list []int64
	for _, m := range s.Models {
		list = append(list, m.Version())
	}
	return list
}

// TestRestartedServer verifies that a model server that restarts under its ID, at the same or
// another address, receives prompts again and is updated to new weights.
func TestRestartedServer(t *testing.T) {
	for name, moves := range map[string]bool{"at its address": false, "at another address": true} {
		t.Run(name, func(t *testing.T) {
			s, members := startSite(t, 1)
			restarted := s.Models[1]
			sendUntilTrue(t, s, members[0], "the server has run a prompt", func() bool { return len(runsSinceStart(restarted)) > 0 })
			s.SetTargetVersion(2)
			sendUntilTrue(t, s, members[0], "all have version 2", func() bool { return slices.Equal(versionsOf(s), []int64{2, 2, 2}) })
			must.NoError(t, s.Restart(1, moves))
			sendUntilTrue(t, s, members[0], "the restarted server serves", func() bool { return len(runsSinceStart(restarted)) > 0 })
			s.SetTargetVersion(3)
			sendUntilTrue(t, s, members[0], "all have version 3", func() bool { return slices.Equal(versionsOf(s), []int64{3, 3, 3}) })
			checkVersions(t, s)
		})
	}
}

// TestDelayedOrderAfterRestart verifies recovery from a delayed order to load weights that is
// carried out only after the server has restarted. The server had newer weights, and its order
// counter was reset by the restart. It must be updated to the newest version again and serve requests.
func TestDelayedOrderAfterRestart(t *testing.T) {
	s, members := startSite(t, 2)
	server := s.Models[1]
	server.SetFaults(modelserver.Faults{HoldOrders: true})
	s.SetTargetVersion(2)
	sendUntilTrue(t, s, members[0], "an order is in progress", func() bool { return server.HeldOrders() > 0 })
	server.SetFaults(modelserver.Faults{})
	s.SetTargetVersion(3)
	newest := func() bool { return slices.Equal(versionsOf(s), []int64{3, 3, 3}) }
	sendUntilTrue(t, s, members[0], "all have version 3", newest)
	must.NoError(t, s.Restart(1, false))
	sendUntilTrue(t, s, members[0], "the restarted server serves", func() bool { return len(runsSinceStart(server)) > 0 })
	must.Eq(t, http.StatusAccepted, server.ReleaseOrders())
	must.Eq(t, 2, server.Version())
	before := len(server.Runs())
	sendUntilTrue(t, s, members[0], "all have version 3 again", newest)
	sendUntilTrue(t, s, members[0], "the server serves", func() bool {
		return slices.ContainsFunc(server.Runs()[before:], func(r modelserver.Run) bool { return strings.HasPrefix(r.Header.Get("X-Cache-Salt"), "3/") })
	})
	checkVersions(t, s)
}
