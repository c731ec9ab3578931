package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	limitNodes    = 6
	limitWindow   = 4 * time.Second
	limitDuration = 6 * time.Second
	limitGap      = 30 * time.Millisecond  // time between the requests of a node's caller
	limitDelay    = 500 * time.Millisecond // time after a node's first run in which it may exceed the limit
	limitPerS     = 2.8                    // requests per second that the server reports as its limit
	limitAllowed  = 22                     // 1.5 times the limit for 4 s, plus 5
)

// sendUntil sends prompts to a node until a point in time, and returns how many were answered.
func sendUntil(t *testing.T, m *gatewaydemo.Member, name string, until time.Time) (answered int) {
	for i := 0; time.Now().Before(until); i++ {
		status, _ := sendRequest(t, m, site.PathQuery, key, fmt.Sprintf("%s-%d", name, i), fmt.Sprint("5e55", i%7))
		if status == http.StatusOK {
			answered++
		}
		time.Sleep(limitGap)
	}
	return answered
}

// runsAfterReport returns the times of the runs that reached the server more than limitDelay after
// the first run from the same node, whose response reported the server's limit.
func runsAfterReport(runs []modelserver.Run) (times []time.Time) {
	first := make(map[string]time.Time)
	for _, r := range runs {
		node, _, _ := strings.Cut(r.Request, "-")
		firstRun, seen := first[node]
		switch {
		case !seen:
			first[node] = r.At
		case r.At.Sub(firstRun) > limitDelay:
			times = append(times, r.At)
		}
	}
	return times
}

// maxInWindow returns the maximum number of times within a window.
func maxInWindow(times []time.Time, window time.Duration) (count int) {
	for i, from := range times {
		in := 0
		for _, at := range times[i:] {
			if at.Sub(from) <= window {
				in++
			}
		}
		count = max(count, in)
	}
	return count
}

// TestServerRequestLimit verifies that all nodes together stay within the request limit that a server
// reports, while the other servers handle the remaining requests, and that all nodes use the server
// again when it no longer reports a limit.
func TestServerRequestLimit(t *testing.T) {
	s, members := startSite(t, limitNodes)
	waitUntil(t, "the nodes have discovered each other", func() bool {
		for _, m := range members {
			if m.Nodes() != limitNodes {
				return false
			}
		}
		return true
	})
	limited := s.Models[0]
	limited.SetFaults(modelserver.Faults{Limit: fmt.Sprint(limitPerS)})
	end := time.Now().Add(limitDuration)
	var wg sync.WaitGroup
	answered := make([]int, limitNodes)
	for i, m := range members {
		wg.Go(func() { answered[i] = sendUntil(t, m, fmt.Sprint("n", i), end) })
	}
	wg.Wait()
	runs := limited.Runs()
	must.Positive(t, len(runsAfterReport(runs)))
	test.LessEq(t, limitAllowed, maxInWindow(runsAfterReport(runs), limitWindow))
	for i := range answered {
		test.Positive(t, answered[i])
	}
	limited.SetFaults(modelserver.Faults{})
	before := len(limited.Runs())
	turn := 0
	waitUntil(t, "all nodes use the server again", func() bool {
		turn++ // each prompt belongs to a new session that no server has cached
		for i, m := range members {
			retryUntilServed(t, s, m, site.PathQuery, fmt.Sprintf("n%d-again-%d", i, turn), fmt.Sprint("ae", turn*limitNodes+i))
		}
		senders := make(map[string]bool)
		for _, r := range limited.Runs()[before:] {
			node, _, _ := strings.Cut(r.Request, "-")
			senders[node] = true
		}
		return len(senders) == limitNodes
	})
}
