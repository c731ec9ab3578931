package gatewaydemo_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	key         = "k1"
	waitTimeout = time.Minute
)

func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)), must.Sprint(condition))
}

func startSite(t *testing.T, nodes int) (*site.Site, []*gatewaydemo.Member) {
	t.Helper()
	return startSiteWith(t, site.Config{}, nodes)
}

// startSiteWith starts a site with the given configuration, whose intervals it sets.
func startSiteWith(t *testing.T, c site.Config, nodes int) (*site.Site, []*gatewaydemo.Member) {
	t.Helper()
	c.HeartbeatInterval, c.EventInterval = 50*time.Millisecond, time.Millisecond
	s, err := site.Start(c)
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.Configure(1, key)
	return s, startNodes(t, s, nodes)
}

// startNodes starts nodes of a site, which are stopped at the end of the test.
func startNodes(t *testing.T, s *site.Site, nodes int) []*gatewaydemo.Member {
	t.Helper()
	var members []*gatewaydemo.Member
	for i := range nodes {
		m, err := gatewaydemo.StartNode(s, fmt.Sprint("n", i), zerolog.Nop())
		must.NoError(t, err)
		members = append(members, m)
	}
	t.Cleanup(func() { stopAll(members) })
	for _, m := range members {
		must.NoError(t, m.WaitReady(t.Context()))
	}
	return members
}

// stopAll stops nodes concurrently, since each waits for its callers.
func stopAll(members []*gatewaydemo.Member) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { _ = m.Stop() })
	}
	wg.Wait()
}

// sendRequest returns the status and body of the response to a request.
func sendRequest(t *testing.T, m *gatewaydemo.Member, path, key, id, session string) (int, string) {
	t.Helper()
	req, err := site.Request(t.Context(), m.CallersAddr(), http.MethodGet, path, key, id, session)
	must.NoError(t, err)
	return receive(t, req)
}

// receive sends a request and returns the status and body of the response.
func receive(t *testing.T, req *http.Request) (int, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(body)
}

// neverRan reports whether no server has run a request with the given id.
func neverRan(s *site.Site, id string) bool {
	return !slices.ContainsFunc(runs(s), func(r modelserver.Run) bool { return r.Request == id })
}

// checkNotRun verifies that a refused prompt was run by no server. sent is when it was sent.
func checkNotRun(t *testing.T, s *site.Site, id string, sent time.Time) {
	t.Helper()
	for _, r := range runs(s) {
		test.NotEq(t, id, r.Request, test.Sprintf("the prompt was refused but ran: sent %s, answered %s, run %s, server started %s",
			sent.Format(time.StampMicro), time.Now().Format(time.StampMicro), r.At.Format(time.StampMicro), time.UnixMilli(r.StartedMs).Format(time.StampMicro)))
	}
}

// retryUntilServed retries a prompt until it is served, and returns the body of the response. While
// servers load new weights, a node that finds no server with the version it expects refuses the
// prompt. A refused prompt must not have run, and callers retry it.
func retryUntilServed(t *testing.T, s *site.Site, m *gatewaydemo.Member, path, id, session string) (body string) {
	t.Helper()
	return retryWithKey(t, s, m, key, path, id, session)
}

// retryWithKey is retryUntilServed with the given API key.
func retryWithKey(t *testing.T, s *site.Site, m *gatewaydemo.Member, key, path, id, session string) (body string) {
	t.Helper()
	try := 0
	waitUntil(t, "a prompt is served", func() bool {
		try++
		var status int
		tryID := fmt.Sprintf("%s.%d", id, try)
		must.True(t, neverRan(s, tryID), must.Sprint("the id was used before: ", tryID))
		sent := time.Now()
		status, body = sendRequest(t, m, path, key, tryID, session)
		if status == http.StatusServiceUnavailable {
			checkNotRun(t, s, tryID, sent)
			return false
		}
		must.Eq(t, http.StatusOK, status, must.Sprint(path))
		return true
	})
	return body
}

func TestDemo(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, gatewaydemo.Run(t.Context(), &out, zerolog.Nop(), false))
	test.StrContains(t, out.String(), "session 3, turn 3")
	test.Eq(t, 10, strings.Count(out.String(), "  200  "))
}

// TestConfiguration verifies that nodes apply configuration changes, and that a revoked key is
// refused.
func TestConfiguration(t *testing.T) {
	s, members := startSite(t, 1)
	status, _ := sendRequest(t, members[0], site.PathLookup, key, "r1", "")
	test.Eq(t, http.StatusOK, status)
	s.Configure(5, "k2")
	waitUntil(t, "the new key works", func() bool {
		status, _ := sendRequest(t, members[0], site.PathLookup, "k2", "r2", "")
		return status == http.StatusOK
	})
	status, _ = sendRequest(t, members[0], site.PathLookup, key, "r3", "")
	test.Eq(t, http.StatusUnauthorized, status)
	s.Configure(4, key) // an older version, written later
	s.Store.Put("keyed.op", "config", []byte("{"))
	s.Configure(6, "k2", "k3")
	waitUntil(t, "the node applies a newer version after one that can't be decoded", func() bool {
		status, _ := sendRequest(t, members[0], site.PathLookup, "k3", "r4", "")
		return status == http.StatusOK
	})
	status, _ = sendRequest(t, members[0], site.PathLookup, key, "r5", "")
	test.Eq(t, http.StatusUnauthorized, status)
}

// TestStoreOutage verifies that a node refuses keys when its configuration was last confirmed too
// long ago, and that it serves requests again when the store is available again with its change
// history deleted.
func TestStoreOutage(t *testing.T) {
	s, members := startSite(t, 1)
	s.Store.SetFaults(metastore.Faults{Down: true})
	waitUntil(t, "the node is not ready", func() bool { return !members[0].Ready() })
	waitUntil(t, "keys are refused", func() bool {
		status, _ := sendRequest(t, members[0], site.PathLookup, key, "r1", "")
		return status == http.StatusServiceUnavailable
	})
	runs := len(s.Plain.Runs())
	status, _ := sendRequest(t, members[0], site.PathUpload, key, "r2", "")
	test.Eq(t, http.StatusServiceUnavailable, status)
	test.Len(t, runs, s.Plain.Runs())
	s.Store.Compact("keyed.op")
	s.Store.Compact("keyed.servers")
	s.Store.SetFaults(metastore.Faults{})
	waitUntil(t, "the node serves again", func() bool {
		status, _ := sendRequest(t, members[0], site.PathUpload, key, "r3", "")
		return status == http.StatusOK
	})
}

// TestLeavingServer verifies that draining and removed servers receive no new requests.
func TestLeavingServer(t *testing.T) {
	s, members := startSite(t, 1)
	s.Drain(0)
	s.Remove(1)
	waitUntil(t, "requests are sent to the third server", func() bool {
		before := len(s.Models[2].Runs())
		for i := range 6 {
			status, _ := sendRequest(t, members[0], site.PathSummary, key, fmt.Sprint("r", i), fmt.Sprint("5e55", i))
			must.Eq(t, http.StatusOK, status)
		}
		return len(s.Models[2].Runs()) == before+6
	})
}

// TestWeights verifies that all servers are updated to a named version of the weights when two nodes
// may both order the update.
func TestWeights(t *testing.T) {
	s, members := startSite(t, 2)
	status, _ := sendRequest(t, members[0], site.PathQuery, key, "r1", "5e551")
	test.Eq(t, http.StatusOK, status)
	s.SetTargetVersion(2)
	waitUntil(t, "all servers have the version", func() bool {
		for _, m := range s.Models {
			if m.Version() != 2 {
				return false
			}
		}
		return true
	})
	body := retryUntilServed(t, s, members[1], site.PathQuery, "r2", "5e551")
	test.StrContains(t, body, "id: 8\n")
}

// TestImportFromStore verifies that cached prompt context is imported from a store.
func TestImportFromStore(t *testing.T) {
	s, members := startSite(t, 1)
	const sessions = 500
	for i := range sessions {
		s.KVStore.StorePart("1/reader/", fmt.Sprint("5e55", i), 2000)
	}
	attempt := 0
	waitUntil(t, "a prompt's context is imported from the store", func() bool {
		attempt++
		must.Less(t, sessions, attempt)
		status, _ := sendRequest(t, members[0], site.PathQuery, key, fmt.Sprint("r", attempt), fmt.Sprint("5e55", attempt))
		must.Eq(t, http.StatusOK, status)
		for _, r := range runs(s) {
			if strings.Contains(r.Header.Get("X-Kv-Source"), ":") && r.Header.Get("X-Kv-Until") != "" {
				return true
			}
		}
		return false
	})
}

func runs(s *site.Site) []modelserver.Run {
	var all []modelserver.Run
	for _, m := range s.Models {
		all = append(all, m.Runs()...)
	}
	return all
}
