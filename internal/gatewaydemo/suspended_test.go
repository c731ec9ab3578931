package gatewaydemo_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/site"
)

// TestSuspendedNodeRefusesKeys: a node wakes after longer than the revocation bound, and the store
// does not answer it yet. It can't know whether a key was revoked meanwhile: it is not ready and
// refuses the key, until the store has told it. Its steady clock says that its configuration is a
// second old.
func TestSuspendedNodeRefusesKeys(t *testing.T) {
	s, members := start(t, 0)
	must.SliceEmpty(t, members)
	host := clocktest.New()
	m, err := gatewaydemo.StartNodeOn(host.Clock, s, "n", zerolog.Nop())
	must.NoError(t, err)
	defer func() { test.NoError(t, m.Stop()) }()
	must.NoError(t, m.WaitReady(t.Context()))
	status, _ := ask(t, m, site.PathUpload, key, "r1", "")
	must.Eq(t, http.StatusOK, status)
	s.Store.SetFaults(metastore.Faults{Down: true})
	host.Suspend(6 * time.Second)
	test.False(t, m.Ready())
	status, _ = ask(t, m, site.PathUpload, key, "r2", "")
	test.Eq(t, http.StatusServiceUnavailable, status)
	test.Len(t, 1, s.Plain.Runs())
	s.Store.SetFaults(metastore.Faults{})
	until(t, "the node serves again", func() bool {
		status, _ := ask(t, m, site.PathUpload, key, "r3", "")
		return status == http.StatusOK
	})
	test.True(t, m.Ready())
}
