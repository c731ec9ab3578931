package gatewaydemo_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gateway"
	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/site"
)

// engineCut refuses connections to the first engine that a node connects to.
type engineCut struct {
	mu     sync.Mutex
	engine string // address of the engine
}

// Connect opens a connection, as net.Dialer.DialContext does.
func (c *engineCut) Connect(ctx context.Context, network, addr string) (net.Conn, error) {
	c.mu.Lock()
	if c.engine == "" && isEngine(ctx, addr) {
		c.engine = addr
	}
	refused := c.engine == addr
	c.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, addr)
}

// isEngine reports whether an engine listens at an address.
func isEngine(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/-/report", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(body), fmt.Sprintf(`"name":%q`, site.Model))
}

// TestEngineThatOneNodeReachesStaysOld verifies that all engines get a version that is named, although two of three
// nodes are partitioned from one of them.
func TestEngineThatOneNodeReachesStaysOld(t *testing.T) {
	s, _ := startSite(t, 0)
	cut := &engineCut{}
	var members []*gatewaydemo.Member
	for i := range 3 {
		host := gateway.SystemHost()
		if i > 0 {
			host.Connect = cut.Connect
		}
		m, err := gatewaydemo.StartNodeOn(host, s, fmt.Sprint("n", i), zerolog.Nop())
		must.NoError(t, err)
		members = append(members, m)
	}
	t.Cleanup(func() { stopAll(members) })
	for _, m := range members {
		must.NoError(t, m.WaitReady(t.Context()))
	}
	named := time.Now()
	s.SetTargetVersion(2)
	waitUntil(t, "all engines have the version", func() bool {
		for _, m := range s.Models {
			if m.Version() != 2 {
				return false
			}
		}
		return true
	})
	cut.mu.Lock()
	defer cut.mu.Unlock()
	must.NotEq(t, "", cut.engine)
	test.Less(t, versionLimit, time.Since(named))
	t.Log("all engines updated after", time.Since(named))
}
