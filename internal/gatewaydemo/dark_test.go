package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/site"
)

// oldServers and newServers are the servers of the two releases.
var oldServers, newServers = []int{0, 1, 2}, []int{3, 4, 5}

// darkNodes is the number of nodes that are lost.
const darkNodes = 3

// TestNoStreamGoesOnAtAnotherReleaseAfterAllNodesWereLostAroundARelease guards against nodes that start, know nothing, and
// take the releases which they find for all that began streams.
func TestNoStreamGoesOnAtAnotherReleaseAfterAllNodesWereLostAroundARelease(t *testing.T) {
	for _, c := range []struct {
		name     string
		recorded bool          // the new release has its record when the nodes are lost
		after    time.Duration // from the first entry of the new release, or its record, until the nodes are lost
		leave    []int         // servers that have left when they are back
	}{
		{"as the release registers", false, 0, oldServers},
		{"before its record, old release left", false, 300 * time.Millisecond, oldServers},
		{"before its record, both there", false, 300 * time.Millisecond, nil},
		{"before its record, new release left", false, 300 * time.Millisecond, newServers},
		{"with its record, old release left", true, 0, oldServers},
		{"after its record, old release left", true, 200 * time.Millisecond, oldServers},
		{"after its record, both there", true, 200 * time.Millisecond, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, _ := startSite(t, 0)
			members := startNodes(t, s, darkNodes)
			waitUntil(t, "the releases are recorded", func() bool { return s.Store.CountKeys(platform.TopicNodes, releaseRecords) == siteServices })
			for i, m := range members {
				waitUntil(t, "a stream begins", func() bool { return beginsStream(t, m, fmt.Sprint("5e55c", i)) })
			}
			s.Store.SetFaults(metastore.Faults{RefuseWrites: !c.recorded})
			for range 3 {
				_, err := s.AddModel("v2")
				must.NoError(t, err)
			}
			if c.recorded {
				waitUntil(t, "the new release is recorded", func() bool { return s.Store.CountKeys(platform.TopicNodes, releaseRecords) == siteServices+1 })
			}
			first := beginStreams(t, members, c.after)
			killAll(s, members)
			for _, i := range c.leave {
				s.Remove(i)
			}
			members = startNodes(t, s, darkNodes)
			if slices.Equal(c.leave, newServers) {
				waitUntil(t, "a stream goes on at the only release", func() bool {
					status, _ := resume(t, members[0], fmt.Sprint("only-", promptsSent.Add(1)), first[0], "5e55d", cutAfter)
					return status == http.StatusOK
				})
			}
			for i, id := range first {
				began := releaseOf(s, id)
				must.True(t, c.recorded || began == "v1", must.Sprint(began))
				for _, named := range []string{id, ""} {
					second := fmt.Sprint("second-", id, len(named))
					status, body := resume(t, members[(i+1)%darkNodes], second, named, "0"+sessionOf(id), cutAfter)
					test.True(t, status == http.StatusOK && releaseOf(s, second) == began || status != http.StatusOK && neverRan(s, second),
						test.Sprintf("a stream of %s was answered %d by %s: %s", began, status, releaseOf(s, second), body))
				}
			}
		})
	}
}

// releaseRecords is the prefix of the keys of the records of releases.
const releaseRecords = "release/"

// siteServices is the number of services of the site, whose first releases have a record each.
const siteServices = 2

// beginsStream reports whether a node begins a stream that may be resumed.
func beginsStream(t *testing.T, m *gatewaydemo.Member, session string) bool {
	t.Helper()
	status, _ := sendRequest(t, m, site.PathQuery, key, fmt.Sprint("begun-", promptsSent.Add(1)), session)
	return status == http.StatusOK
}

// sessionOf returns the session of a stream.
func sessionOf(id string) string { return "5e55d" + strings.TrimPrefix(id, "dark-") }

// beginStreams begins streams at all nodes for a time, one at each at least, breaks them off, and returns their ids.
func beginStreams(t *testing.T, members []*gatewaydemo.Member, d time.Duration) (ids []string) {
	t.Helper()
	for began := time.Now(); len(ids) < len(members) || time.Since(began) < d; {
		id := fmt.Sprint("dark-", len(ids))
		must.Eq(t, cutAfter, readEvents(t, members[len(ids)%len(members)], id, sessionOf(id), cutAfter))
		ids = append(ids, id)
	}
	return ids
}

// killAll ends nodes, which write nothing to the store from then on.
func killAll(s *site.Site, members []*gatewaydemo.Member) {
	s.Store.SetFaults(metastore.Faults{Down: true})
	stopAll(members)
	s.Store.SetFaults(metastore.Faults{})
}

// TestStreamsWaitForTheRecordOfTheirRelease checks that nodes which can't record a release refuse the streams that may be
// resumed, with a time to come back, that they serve all else, and that the streams begin once the record is written.
func TestStreamsWaitForTheRecordOfTheirRelease(t *testing.T) {
	t.Parallel()
	s, members := startSite(t, 1)
	waitUntil(t, "the releases are recorded", func() bool { return s.Store.CountKeys(platform.TopicNodes, releaseRecords) == siteServices })
	s.Store.SetFaults(metastore.Faults{RefuseWrites: true})
	for range 3 {
		_, err := s.AddModel("v2")
		must.NoError(t, err)
	}
	waitUntil(t, "the new release serves", func() bool {
		n := promptsSent.Add(1)
		sendRequest(t, members[0], site.PathSummary, key, fmt.Sprint("new-", n), fmt.Sprint("5e55", n))
		_, released := releaseRuns(s)
		return released > 0
	})
	for _, i := range oldServers {
		s.Remove(i)
	}
	refused := 0
	waitUntil(t, "streams are refused", func() bool {
		id := fmt.Sprint("refused-", promptsSent.Add(1))
		req, err := site.Request(t.Context(), members[0].CallersAddr(), http.MethodGet, site.PathQuery, key, id, "5e55e")
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		if resp.StatusCode == http.StatusOK {
			must.Eq(t, "v1", releaseOf(s, id))
			return false
		}
		refused++
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		must.True(t, neverRan(s, id))
		return refused == 5
	})
	for _, path := range []string{site.PathSummary, site.PathLookup, site.PathUpload} {
		status, body := sendRequest(t, members[0], path, key, "other-"+path[1:len(path)-1], "5e55f")
		test.Eq(t, http.StatusOK, status, test.Sprint(path, body))
	}
	s.Store.SetFaults(metastore.Faults{})
	waitUntil(t, "streams begin", func() bool { return beginsStream(t, members[0], "5e55e") })
}

// TestStreamsBeginWhileTheStoreIsAway checks that streams begin at a release whose record was read before.
func TestStreamsBeginWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	const away = 2 * time.Second
	s, members := startSite(t, 1)
	waitUntil(t, "a stream begins", func() bool { return beginsStream(t, members[0], "5e55e") })
	s.Store.SetFaults(metastore.Faults{Down: true})
	for began, i := time.Now(), 0; time.Since(began) < away; i++ {
		status, body := sendRequest(t, members[0], site.PathQuery, key, fmt.Sprint("away-", i), fmt.Sprint("5e55e", i))
		must.Eq(t, http.StatusOK, status, must.Sprint(body, " after ", time.Since(began)))
	}
}
