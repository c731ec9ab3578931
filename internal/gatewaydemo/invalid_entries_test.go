package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/site"
)

// TestInvalidStoreEntries verifies that entries by another writer to the metadata store do not
// affect requests.
// The writer adds entries that describe no valid server, under its own keys and under those of
// running servers, and corrupts the operator's records. All requests are served, the servers are
// updated to the named version of the weights, and no request is sent to the writer. A node that
// starts afterwards serves requests as well.
func TestInvalidStoreEntries(t *testing.T) {
	s, members := startSite(t, 2)
	id, updating := 0, false
	sendAll := func(m *gatewaydemo.Member) {
		t.Helper()
		for _, path := range []string{site.PathLookup, site.PathUpload} {
			id++
			status, _ := sendRequest(t, m, path, key, fmt.Sprint("r", id), "")
			must.Eq(t, http.StatusOK, status, must.Sprint(path))
		}
		for _, path := range []string{site.PathQuery, site.PathSummary} {
			id++
			name, session := fmt.Sprint("r", id), fmt.Sprint("5e55", id)
			if updating {
				retryUntilServed(t, s, m, path, name, session)
				continue
			}
			status, _ := sendRequest(t, m, path, key, name, session)
			must.Eq(t, http.StatusOK, status, must.Sprint(path))
		}
	}
	for i := range 10 {
		s.OtherWriter.Write(i % 2) // entries of the third model server and of the plain server are not changed
		sendAll(members[i%2])
	}
	s.OtherWriter.Write(1)
	updating = true
	s.SetTargetVersion(2)
	waitUntil(t, "all servers have the version", func() bool {
		sendAll(members[id%2])
		for _, m := range s.Models {
			if m.Version() != 2 {
				return false
			}
		}
		return true
	})
	updating = false
	s.OtherWriter.Write(0)
	late, err := gatewaydemo.StartNode(s, "late", zerolog.Nop())
	must.NoError(t, err)
	defer func() { test.NoError(t, late.Stop()) }()
	s.Configure(2, key) // overwrites the corrupted records
	must.NoError(t, late.WaitReady(t.Context()))
	sendAll(late)
	test.Eq(t, 0, s.OtherWriter.Calls())
}
