package gatewaydemo_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	streams = 24
	// cutAfter is the number of events after which streams are broken off.
	cutAfter = 3
)

// startTwoReleases starts a site with three model servers of each of two releases, all known to all
// nodes.
func startTwoReleases(t *testing.T, nodes int) (*site.Site, []*gatewaydemo.Member) {
	t.Helper()
	s, members := startSite(t, nodes)
	for range 3 {
		_, err := s.AddModel("v2")
		must.NoError(t, err)
	}
	for i, m := range members {
		waitUntil(t, "a node knows the others", func() bool { return m.Nodes() == nodes })
		waitUntil(t, "a node sends prompts to both releases", func() bool {
			n := promptsSent.Add(1)
			sendRequest(t, m, site.PathSummary, key, fmt.Sprintf("both-%d-%d", i, n), fmt.Sprint("5e55", n))
			old, released := releaseRuns(s)
			return old > 0 && released > 0
		})
	}
	return s, members
}

// serverOf returns the model server that ran a request, or nil if none did.
func serverOf(s *site.Site, id string) *modelserver.Server {
	if i := slices.IndexFunc(s.Models, ran(id)); i >= 0 {
		return s.Models[i]
	}
	return nil
}

// ran returns a function that reports whether a server ran a request.
func ran(id string) func(m *modelserver.Server) bool {
	return func(m *modelserver.Server) bool {
		return slices.ContainsFunc(m.Runs(), func(r modelserver.Run) bool { return r.Request == id })
	}
}

// releaseOf returns the release at which a request ran, or "" if it didn't.
func releaseOf(s *site.Site, id string) string {
	switch i := slices.Index(s.Models, serverOf(s, id)); {
	case i < 0:
		return ""
	case i < 3:
		return "v1"
	}
	return "v2"
}

// readEvents requests a stream, breaks it off after the given number of events, and returns the number
// of events read.
func readEvents(t *testing.T, m *gatewaydemo.Member, id, session string, events int) int {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := site.Request(ctx, m.CallersAddr(), http.MethodGet, site.PathQuery, key, id, session)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	lines, read := bufio.NewScanner(resp.Body), 0
	for read < events && lines.Scan() {
		if lines.Text() == "" {
			read++
		}
	}
	return read
}

// resume requests the rest of a stream that the request with the id first began, and returns the status
// and body of the response.
func resume(t *testing.T, m *gatewaydemo.Member, id, first, session string, after int) (int, string) {
	t.Helper()
	req, err := site.Request(t.Context(), m.CallersAddr(), http.MethodGet, site.PathQuery, key, id, session)
	must.NoError(t, err)
	req.Header.Set("Last-Event-Id", fmt.Sprint(after))
	if first != "" {
		req.Header.Set("Resumes", first)
	}
	return receive(t, req)
}

func TestStreamOfTwoReleasesInOneAnswer(t *testing.T) {
	s, members := startTwoReleases(t, 1)
	s.Models[0].SetFaults(modelserver.Faults{CutAfter: cutAfter})
	s.Drain(1)
	s.Drain(2)
	cut := 0
	for i := 0; cut < streams/3 && i < 10*streams; i++ {
		id := fmt.Sprint("one-", i)
		events := readEvents(t, members[0], id, fmt.Sprint("5e55a", i), site.StreamEvents)
		if serverOf(s, id) != s.Models[0] {
			continue
		}
		if events == cutAfter {
			cut++
		}
		test.False(t, slices.ContainsFunc(s.Models[3:], ran(id)), test.Sprintf("%s began at v1 and continued at v2", id))
	}
	must.Positive(t, cut)
}

func TestStreamOfTwoReleasesOverTries(t *testing.T) {
	s, members := startTwoReleases(t, 3)
	for i := range streams {
		first, second, session := fmt.Sprint("first-", i), fmt.Sprint("second-", i), fmt.Sprint("5e55b", i)
		must.Eq(t, cutAfter, readEvents(t, members[i%3], first, session, cutAfter))
		// The parts of another session lead to other servers than those that hold the stream's KV cache.
		status, body := resume(t, members[(i+1)%3], second, first, "0"+session, cutAfter)
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
		must.True(t, strings.HasPrefix(body, "id: 4\n"))
		test.Eq(t, releaseOf(s, first), releaseOf(s, second), test.Sprint(second))
	}
}

func TestStreamsAreResumedAfterTheLossOfAllNodes(t *testing.T) {
	const nodes = 3
	s, _ := startSite(t, 0)
	started := startNodes(t, s, nodes)
	waitUntil(t, "the release is recorded", func() bool { return s.Store.HasKey(platform.TopicNodes, "release/") })
	for i, m := range started {
		must.Eq(t, cutAfter, readEvents(t, m, fmt.Sprint("first-", i), fmt.Sprint("5e55c", i), cutAfter))
	}
	stopAll(started)
	for i, m := range startNodes(t, s, nodes) {
		waitUntil(t, "a node knows the others", func() bool { return m.Nodes() == nodes })
		status, body := resume(t, m, fmt.Sprint("second-", i), fmt.Sprint("first-", i), fmt.Sprint("5e55c", i), cutAfter)
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
		test.True(t, strings.HasPrefix(body, "id: 4\n"))
	}
}
