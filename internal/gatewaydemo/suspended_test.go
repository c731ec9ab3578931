package gatewaydemo_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
	"github.com/cherryward/cherryward/internal/gateway"
	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// TestSuspendedNodeRefusesKeys verifies that a node that resumes after a suspension longer than the
// revocation bound is not ready and refuses keys until it has reached the store, since a key may
// have been revoked in the meantime. Its monotonic clock does not count the suspension and indicates
// that the configuration is one second old.
func TestSuspendedNodeRefusesKeys(t *testing.T) {
	s, members := startSite(t, 0)
	must.SliceEmpty(t, members)
	host := clocktest.New()
	system := gateway.SystemHost()
	system.Clock = host.Clock
	m, err := gatewaydemo.StartNodeOn(system, s, "n", zerolog.Nop())
	must.NoError(t, err)
	defer func() { test.NoError(t, m.Stop()) }()
	must.NoError(t, m.WaitReady(t.Context()))
	status, _ := sendRequest(t, m, site.PathUpload, key, "r1", "")
	must.Eq(t, http.StatusOK, status)
	s.Store.SetFaults(metastore.Faults{Down: true})
	host.Suspend(6 * time.Second)
	test.False(t, m.Ready())
	status, _ = sendRequest(t, m, site.PathUpload, key, "r2", "")
	test.Eq(t, http.StatusServiceUnavailable, status)
	test.Len(t, 1, s.Plain.Runs())
	s.Store.SetFaults(metastore.Faults{})
	waitUntil(t, "the node serves again", func() bool {
		status, _ := sendRequest(t, m, site.PathUpload, key, "r3", "")
		return status == http.StatusOK
	})
	test.True(t, m.Ready())
}

// eventLog collects the log of a node, in JSON.
type eventLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *eventLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *eventLog) has(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), `"event":"`+event+`"`)
}

// TestNodeObservesWhileItsRequestsEnd guards against tasks that stop before the requests that depend on them.
func TestNodeObservesWhileItsRequestsEnd(t *testing.T) {
	s, _ := startSite(t, 0)
	host := clocktest.New()
	system := gateway.SystemHost()
	system.Clock = host.Clock
	log := &eventLog{}
	m, err := gatewaydemo.StartNodeOn(system, s, "n", zerolog.New(log))
	must.NoError(t, err)
	must.NoError(t, m.WaitReady(t.Context()))
	s.Plain.SetFaults(modelserver.Faults{Hang: true})
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	req, err := site.Request(ctx, m.CallersAddr(), http.MethodGet, site.PathLookup, key, "slow", "")
	must.NoError(t, err)
	go func() { _, _ = http.DefaultClient.Do(req) }() // is cancelled by leave
	waitUntil(t, "the request runs", func() bool { return len(s.Plain.Runs()) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- m.Stop() }()
	waitUntil(t, "the node stops", func() bool { return log.has("stopping") })
	host.Suspend(2 * time.Second)
	waitUntil(t, "the suspension is observed", func() bool { return log.has("suspended") })
	leave()
	must.NoError(t, <-stopped)
}
