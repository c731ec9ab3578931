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

// TestForeignWriter has another writer put what names no server to use under keys of its own
// and of living servers, and spoil the operator's records: all requests are served, the servers
// come to the named version of weights, and no call goes to the writer. A node that starts then
// serves as well.
func TestForeignWriter(t *testing.T) {
	s, members := start(t, 2)
	id := 0
	serve := func(m *gatewaydemo.Member) {
		t.Helper()
		for _, path := range []string{site.PathLookup, site.PathUpload, site.PathQuery, site.PathSummary} {
			id++
			session := ""
			if path == site.PathQuery || path == site.PathSummary {
				session = fmt.Sprint("5e55", id)
			}
			status, _ := ask(t, m, path, key, fmt.Sprint("r", id), session)
			must.Eq(t, http.StatusOK, status, must.Sprint(path))
		}
	}
	for i := range 10 {
		s.Foreign.Write(i % 2) // the third model server stays, and the plain one
		serve(members[i%2])
	}
	s.Foreign.Write(1)
	s.NameVersion(2)
	until(t, "all servers have the version", func() bool {
		serve(members[id%2])
		for _, m := range s.Models {
			if m.Version() != 2 {
				return false
			}
		}
		return true
	})
	s.Foreign.Write(0)
	late, err := gatewaydemo.StartNode(s, "late", zerolog.Nop())
	must.NoError(t, err)
	defer func() { test.NoError(t, late.Stop()) }()
	s.Configure(2, key) // what was there is overwritten
	must.NoError(t, late.WaitReady(t.Context()))
	serve(late)
	test.Eq(t, 0, s.Foreign.Calls())
}
