package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/scenarios/processtest"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	smallHostMB  = 134
	endlessCalls = 24 // at the same time, half of them prompts
)

// peakMB returns the largest amount of memory that the process had in use, in MB.
func (n *node) peakMB() int {
	mb, running := processtest.PeakMB(n.cmd.Process.Pid)
	must.True(n.t, running)
	return mb
}

// startSmallNode starts a node on a small host and waits until it serves requests.
func startSmallNode(t *testing.T, s *site.Site) *node {
	return startNodeWith(t, s, smallHostMB, siteFiles)
}

// TestSmallHostSurvivesLargeBodies guards against callers whose bodies together take the memory of a small host.
func TestSmallHostSurvivesLargeBodies(t *testing.T) {
	const callers, bodyBytes = 200, 1 << 20
	s := startSite(t)
	n := startSmallNode(t, s)
	rest := make(chan struct{})
	var calls sync.WaitGroup
	var refused atomic.Int64
	for i := range callers {
		calls.Go(func() {
			body, writer := io.Pipe()
			go func() {
				_, _ = io.CopyN(writer, zeros{}, bodyBytes-1) // fails if the request is refused
				<-rest
				_, _ = writer.Write([]byte{0})
				writer.Close()
			}()
			if n.send(http.MethodPost, site.PathUpload, fmt.Sprint("large-", i), 0, body).status != http.StatusOK {
				refused.Add(1)
			}
			body.Close()
		})
	}
	n.await("some are refused", func() bool { return refused.Load() > callers/2 })
	close(rest)
	calls.Wait()
	test.Less(t, smallHostMB, n.peakMB())
	test.Len(t, callers-int(refused.Load()), s.Plain.Runs()[1:])
}

// zeros is an endless reader of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestSmallHostSurvivesEndlessAnswers guards against endpoints whose bytes without end take the memory of a small host.
func TestSmallHostSurvivesEndlessAnswers(t *testing.T) {
	s := startSite(t)
	n := startSmallNode(t, s)
	servers := append([]*modelserver.Server{s.Plain}, s.Models...)
	for _, form := range modelserver.EndlessForms() {
		for _, server := range servers {
			server.SetFaults(modelserver.Faults{Endless: form})
		}
		var calls sync.WaitGroup
		for i := range endlessCalls {
			path := []string{site.PathLookup, site.PathQuery}[i%2]
			calls.Go(func() { n.send(http.MethodPost, path, fmt.Sprintf("%d-%d", form, i), 0, nil) })
		}
		calls.Wait()
		t.Log(form, n.peakMB(), "MB")
	}
	for _, server := range servers {
		server.SetFaults(modelserver.Faults{})
	}
	n.awaitServing()
	test.Less(t, smallHostMB, n.peakMB())
}

// TestSmallHostSurvivesLargeHeads guards against endpoints whose heads, each within its bound, together take the memory
// of a small host while the rest of the answers doesn't come.
func TestSmallHostSurvivesLargeHeads(t *testing.T) {
	const calls, headBytes = 300, 63 << 10
	lines := func(n, valueBytes int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "%x:%s\r\n", i, strings.Repeat("v", valueBytes))
		}
		return b.String()[:headBytes]
	}
	heads := map[string]string{
		"short fields": "HTTP/1.1 200 OK\r\n" + lines(headBytes/4, 0),
		"long fields":  "HTTP/1.1 200 OK\r\n" + lines(100, 1<<10),
		"one field":    "HTTP/1.1 200 OK\r\nX-Field: " + strings.Repeat("v", headBytes),
	}
	for name, text := range heads {
		t.Run(name, func(t *testing.T) {
			s := startSite(t)
			n := startSmallNode(t, s)
			servers := append([]*modelserver.Server{s.Plain}, s.Models...)
			for _, server := range servers {
				server.SetFaults(modelserver.Faults{Raw: text})
			}
			var answers sync.WaitGroup
			for i := range calls {
				path := []string{site.PathLookup, site.PathQuery}[i%2]
				answers.Go(func() { n.send(http.MethodPost, path, fmt.Sprint("head-", i), 0, nil) })
			}
			answers.Wait()
			for _, server := range servers {
				server.SetFaults(modelserver.Faults{})
			}
			n.awaitServing()
			t.Log(n.peakMB(), "MB")
			test.Less(t, smallHostMB, n.peakMB())
		})
	}
}
