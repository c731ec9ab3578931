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
	key   = "k1"
	limit = time.Minute
)

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(limit), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

func start(t *testing.T, nodes int) (*site.Site, []*gatewaydemo.Member) {
	t.Helper()
	s, err := site.Start(site.Config{Beat: 50 * time.Millisecond, Gap: time.Millisecond})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.Configure(1, key)
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
	return s, members
}

// stopAll stops nodes beside one another, each of which gives its callers time.
func stopAll(members []*gatewaydemo.Member) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { _ = m.Stop() })
	}
	wg.Wait()
}

// ask returns the status and body of a request.
func ask(t *testing.T, m *gatewaydemo.Member, path, key, id, session string) (int, string) {
	t.Helper()
	req, err := site.Request(t.Context(), m.CallersAddr(), http.MethodGet, path, key, id, session)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(body)
}

// served sends a prompt until it is served, and returns the answer's body. While servers take new
// weights a node may know of none that takes a prompt, as all that it asks refuse the version that
// it expects. Such a refusal must be true, and callers come back.
func served(t *testing.T, s *site.Site, m *gatewaydemo.Member, path, id, session string) (body string) {
	t.Helper()
	try := 0
	until(t, "a prompt is served", func() bool {
		try++
		var status int
		tryID := fmt.Sprintf("%s.%d", id, try)
		status, body = ask(t, m, path, key, tryID, session)
		if status == http.StatusServiceUnavailable {
			test.False(t, slices.ContainsFunc(runs(s), func(r modelserver.Run) bool { return r.Request == tryID }), test.Sprint("refused, and ran"))
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

// TestConfiguration follows changes, and a revoked key stops working.
func TestConfiguration(t *testing.T) {
	s, members := start(t, 1)
	status, _ := ask(t, members[0], site.PathLookup, key, "r1", "")
	test.Eq(t, http.StatusOK, status)
	s.Configure(5, "k2")
	until(t, "the new key works", func() bool {
		status, _ := ask(t, members[0], site.PathLookup, "k2", "r2", "")
		return status == http.StatusOK
	})
	status, _ = ask(t, members[0], site.PathLookup, key, "r3", "")
	test.Eq(t, http.StatusUnauthorized, status)
	s.Configure(4, key) // older, and written later
	s.Store.Put("keyed.op", "config", []byte("{"))
	s.Configure(6, "k2", "k3")
	until(t, "a newer version is in force after one that can't be decoded", func() bool {
		status, _ := ask(t, members[0], site.PathLookup, "k3", "r4", "")
		return status == http.StatusOK
	})
	status, _ = ask(t, members[0], site.PathLookup, key, "r5", "")
	test.Eq(t, http.StatusUnauthorized, status)
}

// TestStoreAway refuses keys once the configuration was confirmed too long ago, and serves
// again when the store is back with its history gone.
func TestStoreAway(t *testing.T) {
	s, members := start(t, 1)
	s.Store.SetFaults(metastore.Faults{Down: true})
	until(t, "the node is not ready", func() bool { return !members[0].Ready() })
	until(t, "keys are refused", func() bool {
		status, _ := ask(t, members[0], site.PathLookup, key, "r1", "")
		return status == http.StatusServiceUnavailable
	})
	runs := len(s.Plain.Runs())
	status, _ := ask(t, members[0], site.PathUpload, key, "r2", "")
	test.Eq(t, http.StatusServiceUnavailable, status)
	test.Len(t, runs, s.Plain.Runs())
	s.Store.Forget("keyed.op")
	s.Store.Forget("keyed.servers")
	s.Store.SetFaults(metastore.Faults{})
	until(t, "the node serves again", func() bool {
		status, _ := ask(t, members[0], site.PathUpload, key, "r3", "")
		return status == http.StatusOK
	})
}

// TestLeavingServer gets no new requests.
func TestLeavingServer(t *testing.T) {
	s, members := start(t, 1)
	s.Drain(0)
	s.Remove(1)
	until(t, "requests go elsewhere", func() bool {
		before := len(s.Models[2].Runs())
		for i := range 6 {
			status, _ := ask(t, members[0], site.PathSummary, key, fmt.Sprint("r", i), fmt.Sprint("5e55", i))
			must.Eq(t, http.StatusOK, status)
		}
		return len(s.Models[2].Runs()) == before+6
	})
}

// TestWeights brings all servers to a named version, with two nodes that both could.
func TestWeights(t *testing.T) {
	s, members := start(t, 2)
	status, _ := ask(t, members[0], site.PathQuery, key, "r1", "5e551")
	test.Eq(t, http.StatusOK, status)
	s.NameVersion(2)
	until(t, "all servers have the version", func() bool {
		for _, m := range s.Models {
			if m.Version() != 2 {
				return false
			}
		}
		return true
	})
	body := served(t, s, members[1], site.PathQuery, "r2", "5e551")
	test.StrContains(t, body, "id: 8\n")
}

// TestKeptParts fetches what a store has.
func TestKeptParts(t *testing.T) {
	s, members := start(t, 1)
	const sessions = 500
	for i := range sessions {
		s.Keep.Keep("1/reader/", fmt.Sprint("5e55", i), 2000)
	}
	asked := 0
	until(t, "parts are fetched from the store", func() bool {
		asked++
		must.Less(t, sessions, asked)
		status, _ := ask(t, members[0], site.PathQuery, key, fmt.Sprint("r", asked), fmt.Sprint("5e55", asked))
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
