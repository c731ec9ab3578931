package gatewaydemo_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// startTwoRegions starts a site whose third model server is in another region than the node and all
// other servers.
func startTwoRegions(t *testing.T) (*site.Site, *gatewaydemo.Member) {
	t.Helper()
	s, members := startSiteWith(t, site.Config{SecondRegion: true}, 1)
	s.SetTargetVersion(1)
	return s, members[0]
}

// configureRegions writes a configuration version with the given regions of the prompts' routes and of
// the account, waits until it is in force, and returns its only API key.
func configureRegions(t *testing.T, s *site.Site, m *gatewaydemo.Member, version int64, routes, account []string) string {
	t.Helper()
	newKey := fmt.Sprint("key-", version)
	s.ConfigureRegions(version, routes, account, newKey)
	waitUntil(t, "the configuration is in force", func() bool {
		status, _ := sendRequest(t, m, site.PathLookup, newKey, fmt.Sprint("lookup-", promptsSent.Add(1)), "")
		return status != http.StatusUnauthorized
	})
	return newKey
}

// outside reports whether a run took place outside a region.
func outside(m *modelserver.Server, region string) bool {
	return (m.ID() == "model-3") != (region == site.OtherRegion)
}

// TestConfinedPrompts verifies that prompts of a confined account run only in its region, while the
// list of regions changes, that parts are stored there only, and that the parts of a list that is no
// longer in force are freed.
func TestConfinedPrompts(t *testing.T) {
	s, m := startTwoRegions(t)
	for i, region := range []string{site.OtherRegion, site.Region, site.OtherRegion} {
		newKey := configureRegions(t, s, m, int64(i+2), nil, []string{region})
		before, sent := runCounts(s), 0
		waitUntil(t, "prompts were served, and their parts stored if a store is in the region", func() bool {
			sent++
			retryWithKey(t, s, m, newKey, site.PathQuery, fmt.Sprintf("confined-%d-%d", i, sent), fmt.Sprint("5e55", sent))
			return sent >= 20 && (region != site.Region || saves(s, before) > 0)
		})
		for j, server := range s.Models {
			for _, r := range server.Runs()[before[j]:] {
				test.False(t, outside(server, region), test.Sprint(region, " ", server.ID()))
				test.StrHasSuffix(t, "/"+region, r.Header.Get("X-Cache-Salt"))
			}
		}
		test.Eq(t, region == site.Region, saves(s, before) > 0, test.Sprint("the only store is in ", site.Region))
	}
}

// TestConfinedPartsAreFreed verifies that parts of a list of regions that is no longer in force are
// freed at the store, and others are not.
func TestConfinedPartsAreFreed(t *testing.T) {
	s, m := startTwoRegions(t)
	configureRegions(t, s, m, 2, nil, []string{site.Region})
	s.KVStore.StorePart("1/reader//"+site.Region, "c0ffee", 400)
	s.KVStore.StorePart("1/reader/", "c0ffee", 400)
	configureRegions(t, s, m, 3, nil, nil)
	waitUntil(t, "the part of the confined prompts is freed", func() bool { return s.KVStore.CachedParts() == 1 })
}

// TestNoEndpointInAllowedRegions verifies that a request that may be served nowhere is refused at
// once, truly, with when to come back.
func TestNoEndpointInAllowedRegions(t *testing.T) {
	s, m := startTwoRegions(t)
	for i, regions := range [][2][]string{
		{{"nowhere"}, nil},
		{nil, {"nowhere"}},
		{{site.Region}, {site.OtherRegion}},
	} {
		newKey := configureRegions(t, s, m, int64(i+2), regions[0], regions[1])
		id := fmt.Sprint("nowhere-", i)
		req, err := site.Request(t.Context(), m.CallersAddr(), http.MethodGet, site.PathQuery, newKey, id, "5e55")
		must.NoError(t, err)
		sent := time.Now()
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		must.NoError(t, err)
		test.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		test.StrContains(t, string(body), result.NoEndpointInRegion.String())
		test.NotEq(t, "", resp.Header.Get("Retry-After"))
		checkNotRun(t, s, id, sent)
	}
}

// saves returns the number of runs, of those that followed the given number at each model server, that
// sent parts to a store.
func saves(s *site.Site, before []int) int {
	count := 0
	for i, m := range s.Models {
		for _, r := range m.Runs()[before[i]:] {
			if strings.Trim(r.Header.Get("X-Kv-Target"), "-,") != "" {
				count++
			}
		}
	}
	return count
}

// runCounts returns the number of runs of each model server.
func runCounts(s *site.Site) []int {
	var counts []int
	for _, m := range s.Models {
		counts = append(counts, len(m.Runs()))
	}
	return counts
}
