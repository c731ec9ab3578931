package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gateway"
	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/internal/tcp/tcptest"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	stableWindow   = 3 * time.Second // of the stand-in site
	partitionNodes = 4
	partitioned    = 2 // nodes that are partitioned from all endpoints
	firstTries     = 40
)

// startLinked starts a site and nodes with a link each.
func startLinked(t *testing.T, nodes int) (*site.Site, []*gatewaydemo.Member, []*tcptest.Link) {
	t.Helper()
	s, _ := startSite(t, 0)
	var members []*gatewaydemo.Member
	var links []*tcptest.Link
	for i := range nodes {
		link := &tcptest.Link{}
		host := gateway.SystemHost()
		host.Connect = link.Connect
		m, err := gatewaydemo.StartNodeOn(host, s, fmt.Sprint("n", i), zerolog.Nop())
		must.NoError(t, err)
		members, links = append(members, m), append(links, link)
	}
	t.Cleanup(func() { stopAll(members) })
	for _, m := range members {
		must.NoError(t, m.WaitReady(t.Context()))
	}
	waitUntil(t, "the nodes have discovered each other", func() bool {
		for _, m := range members {
			if m.Nodes() != nodes {
				return false
			}
		}
		return true
	})
	return s, members, links
}

// paths are the kinds of requests that are sent in turn.
var paths = []string{site.PathQuery, site.PathSummary, site.PathLookup, site.PathUpload}

// sendFirstTries sends each node requests of all kinds, which are not retried, until done returns true,
// and returns how many of each node's requests were sent and served.
func sendFirstTries(t *testing.T, members []*gatewaydemo.Member, name string, done func(sent int) bool) (sent, served []int) {
	t.Helper()
	sent, served = make([]int, len(members)), make([]int, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			for ; !done(sent[i]); sent[i]++ {
				path, session := paths[sent[i]%len(paths)], ""
				if path == site.PathQuery || path == site.PathSummary {
					session = fmt.Sprint("5e55", sent[i]%7)
				}
				if status, _ := sendRequest(t, m, path, key, fmt.Sprintf("%s-%d-%d", name, i, sent[i]), session); status == http.StatusOK {
					served[i]++
				}
			}
		})
	}
	wg.Wait()
	return sent, served
}

// TestNodesPartitionedFromAllEndpointsServeTheirCallers verifies that callers' first tries at nodes which
// have lost the path to all endpoints are served two thirds as often as at other nodes, from a stable
// window after the partition began.
func TestNodesPartitionedFromAllEndpointsServeTheirCallers(t *testing.T) {
	for _, form := range []tcptest.Partition{tcptest.Hangs, tcptest.Resets, tcptest.RefusesNew} {
		t.Run(form.String(), func(t *testing.T) {
			t.Parallel()
			_, members, links := startLinked(t, partitionNodes)
			sendFirstTries(t, members, "before", func(sent int) bool { return sent == len(paths) })
			for _, link := range links[:partitioned] {
				link.Set(form)
			}
			until := time.Now().Add(stableWindow)
			sendFirstTries(t, members, "early", func(int) bool { return time.Now().After(until) })
			sent, served := sendFirstTries(t, members, "late", func(sent int) bool { return sent == firstTries })
			for i := range members {
				test.GreaterEq(t, 2*sent[i]/3, served[i], test.Sprintf("node %d of %d, of which %d are partitioned", i, partitionNodes, partitioned))
			}
			for _, link := range links[:partitioned] {
				link.Set(tcptest.Connected)
			}
			waitUntil(t, "all nodes reach the endpoints again", func() bool {
				_, served := sendFirstTries(t, members, fmt.Sprint("after", time.Now().UnixNano()), func(sent int) bool { return sent == len(paths) })
				for _, n := range served {
					if n != len(paths) {
						return false
					}
				}
				return true
			})
		})
	}
}
