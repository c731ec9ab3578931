package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// releaseTime is the time of the orders in these tests: the trial lasts half of it.
const releaseTime = 14 * time.Second

// startRelease starts a site with two nodes, orders release v2 of the model servers and starts two
// servers of it.
func startRelease(t *testing.T, f modelserver.Faults) (*site.Site, func() int) {
	t.Helper()
	s, members := startSite(t, 2)
	s.OrderRelease("v2", releaseTime)
	for range 2 {
		m, err := s.AddModel("v2")
		must.NoError(t, err)
		m.SetFaults(f)
	}
	sent := 0
	return s, func() int {
		sent++
		n := promptsSent.Add(1)
		status, _ := sendRequest(t, members[sent%2], site.PathSummary, key, fmt.Sprint("release-", n), fmt.Sprint("5e55", n))
		return status
	}
}

// releaseRuns returns the number of prompts that servers of the old and of the new release ran.
func releaseRuns(s *site.Site) (old, released int) {
	for i, m := range s.Models {
		if i < 3 {
			old += len(m.Runs())
		} else {
			released += len(m.Runs())
		}
	}
	return old, released
}

// TestGoodReleaseGetsAllRequests verifies that a release whose answers are good gets a tenth of the
// prompts, then all of them, and that operators are told so.
func TestGoodReleaseGetsAllRequests(t *testing.T) {
	s, send := startRelease(t, modelserver.Faults{})
	var states []string
	waitUntil(t, "the release has succeeded", func() bool {
		test.Eq(t, http.StatusOK, send())
		state, release := s.ReleaseState()
		if state != "" {
			test.Eq(t, "v2", release)
			states = append(states, state)
		}
		if old, released := releaseRuns(s); len(states) == 0 {
			test.LessEq(t, old/10+1, released, test.Sprint("before the trial can have ended"))
		}
		return state == "succeeded"
	})
	test.Eq(t, []string{"running", "succeeded"}, slices.Compact(states))
	oldBefore, newBefore := releaseRuns(s)
	for range 20 {
		test.Eq(t, http.StatusOK, send())
	}
	old, released := releaseRuns(s)
	test.Eq(t, oldBefore, old, test.Sprint("the old servers may stop"))
	test.Eq(t, newBefore+20, released)
}

// TestBadReleaseIsRolledBack verifies that a release that fails gets a tenth of the prompts until it is
// rolled back, and none after it.
func TestBadReleaseIsRolledBack(t *testing.T) {
	s, send := startRelease(t, modelserver.Faults{Status: http.StatusInternalServerError})
	waitUntil(t, "the release is rolled back", func() bool {
		send()
		state, _ := s.ReleaseState()
		return state == "rolled_back"
	})
	old, before := releaseRuns(s)
	test.Positive(t, before)
	test.LessEq(t, (old+before)/10+1, before)
	for range 20 {
		test.Eq(t, http.StatusOK, send())
	}
	_, after := releaseRuns(s)
	test.Eq(t, before, after)
}
