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
		status, body := sendRequest(t, members[sent%2], site.PathSummary, key, fmt.Sprint("release-", n), fmt.Sprint("5e55", n))
		if status != http.StatusOK && f == (modelserver.Faults{}) {
			t.Log("node ", sent%2, ", prompt ", sent, ": ", body)
		}
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

const (
	// enoughPrompts is the number of prompts after which an order must succeed: a tenth of them is more than twice
	// what proves a release to be good.
	enoughPrompts = 400
	// maxPrompts is the number of prompts within which each order must end.
	maxPrompts = 20_000
	// maxReleaseTime is the longest time that operators give an order.
	maxReleaseTime = 8 * releaseTime
)

// endOrder sends prompts until the order of release v2 has ended, and returns its final state and the number of
// prompts.
func endOrder(t *testing.T, s *site.Site, send func() int) (state string, prompts int) {
	t.Helper()
	var states []string
	oldBefore, newBefore := releaseRuns(s)
	for state != "succeeded" && (state != "rolled_back" || len(states) == 0) {
		must.Less(t, maxPrompts, prompts)
		must.Eq(t, http.StatusOK, send())
		prompts++
		var release string
		state, release = s.ReleaseState()
		if state == "running" || len(states) > 0 {
			test.Eq(t, "v2", release)
			states = append(states, state)
		}
		if old, released := releaseRuns(s); len(states) == 0 {
			test.LessEq(t, (old-oldBefore)/10+1, released-newBefore, test.Sprint("before the trial can have ended, after prompts: ", prompts))
		}
	}
	test.Eq(t, []string{"running", state}, slices.Compact(states))
	return state, prompts
}

// TestGoodReleaseGetsAllRequests verifies that a release whose answers are good gets a tenth of the
// prompts, then all of them, and that operators are told so. An order that ends before enough prompts
// were answered to prove the release is repeated with twice the time.
func TestGoodReleaseGetsAllRequests(t *testing.T) {
	s, send := startRelease(t, modelserver.Faults{})
	state, prompts := endOrder(t, s, send)
	for within := 2 * releaseTime; state != "succeeded"; within *= 2 {
		must.Less(t, enoughPrompts, prompts, must.Sprint("rolled back although the release was proved good"))
		must.LessEq(t, maxReleaseTime, within)
		s.OrderRelease("v2", within)
		state, prompts = endOrder(t, s, send)
	}
	t.Log("prompts: ", prompts)
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
