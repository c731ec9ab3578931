package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// crashPath is the suffix of the path of requests that crash the servers that run them.
const crashPath = "ends"

// crashingRuns returns the number of runs of requests whose path ends in crashPath.
func crashingRuns(s *site.Site) (count int) {
	for _, r := range runs(s) {
		if strings.HasSuffix(r.Target, crashPath) {
			count++
		}
	}
	return count
}

// TestCrashingRequestIsQuarantined verifies that a request that has crashed three servers, sent by
// two nodes, is refused by all nodes once the servers are back, including a node that starts later.
// Neither of the two nodes saw all three crashes, so nodes must report crashes to each other: six
// nodes that consider only their own attempts can send such a request to 33 servers in turn.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s, members := startSite(t, 3)
	waitUntil(t, "the nodes have discovered each other", func() bool {
		return !slices.ContainsFunc(members, func(m *gatewaydemo.Member) bool { return m.Nodes() != len(members) })
	})
	for _, m := range s.Models {
		m.SetFaults(modelserver.Faults{CrashOnSuffix: crashPath})
	}
	count := 0
	sendCrashing := func(m *gatewaydemo.Member) (status int) {
		count++
		status, _ = sendRequest(t, m, site.PathQuery+crashPath, key, fmt.Sprint("guilty-", count), "5e55")
		return status
	}
	must.Eq(t, http.StatusBadGateway, sendCrashing(members[0]))
	must.Eq(t, 2, crashingRuns(s))
	waitUntil(t, "a third server crashes", func() bool { sendCrashing(members[1]); return crashingRuns(s) == 3 })
	waitUntil(t, "all nodes have received the report of three crashes", func() bool {
		return !slices.ContainsFunc(members, func(m *gatewaydemo.Member) bool { return len(m.Holds()) == 0 })
	})
	for i := range s.Models {
		must.False(t, s.IsRunning(i))
		must.NoError(t, s.Restart(i, false))
	}
	for i, m := range members {
		retryUntilServed(t, s, m, site.PathQuery+"innocent", fmt.Sprint("innocent-", i), "5e55")
	}
	late, err := gatewaydemo.StartNode(s, "late", zerolog.Nop())
	must.NoError(t, err)
	defer func() { test.NoError(t, late.Stop()) }()
	must.NoError(t, late.WaitReady(t.Context()))
	waitUntil(t, "the node has discovered the others", func() bool { return late.Nodes() == len(members)+1 })
	for range 3 {
		for _, m := range append(members, late) {
			test.Eq(t, http.StatusServiceUnavailable, sendCrashing(m))
		}
	}
	test.Eq(t, 3, crashingRuns(s))
	for i, m := range append(members, late) {
		retryUntilServed(t, s, m, site.PathQuery+"innocent", fmt.Sprint("innocent-after-", i), "5e55")
	}
}
