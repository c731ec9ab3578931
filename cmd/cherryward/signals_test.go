package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/site"
)

// step is one action of a sequence that ends with the end of the node.
type step func(n *node)

func kill(s syscall.Signal) step { return func(n *node) { n.signal(s) } }

func logged(fields ...string) step { return func(n *node) { n.awaitLog(fields...) } }

func bootFile(contents string) step {
	return func(n *node) {
		must.NoError(n.t, os.WriteFile(n.bootFile, []byte(contents), 0o600))
	}
}

func removeBootFile(n *node) { must.NoError(n.t, os.Remove(n.bootFile)) }

var (
	terminate = kill(syscall.SIGTERM)
	hangUp    = kill(syscall.SIGHUP)
	stopping  = logged("event=stopping", "server=callers")
)

// TestRequestsSurviveSignalsWhileStopping guards against signals that end a node before its requests are complete.
func TestRequestsSurviveSignalsWhileStopping(t *testing.T) {
	tests := map[string][]step{
		"hangup while stopping":         {terminate, stopping, hangUp, logged("event=hangup")},
		"several hangups":               {terminate, stopping, hangUp, hangUp, logged("event=hangup"), hangUp, hangUp},
		"hangup right after":            {terminate, hangUp},
		"hangup right before":           {hangUp, terminate},
		"terminated twice":              {terminate, stopping, terminate, terminate, hangUp, logged("event=hangup")},
		"user signals":                  {terminate, stopping, kill(syscall.SIGUSR1), kill(syscall.SIGUSR2), hangUp, logged("event=hangup")},
		"invalid boot file":             {terminate, stopping, bootFile("ip = "), hangUp, logged("event=reload_failed")},
		"empty boot file":               {terminate, stopping, bootFile(""), hangUp, logged("event=reload_failed")},
		"missing boot file":             {terminate, stopping, removeBootFile, hangUp, logged("event=reload_failed")},
		"invalid boot file, not signal": {bootFile("ip = "), logged("event=reload_failed"), terminate, stopping, hangUp},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t)
			n := startNode(t, s)
			load := startLoad(n)
			for _, do := range steps {
				do(n)
			}
			load.complete()
			n.awaitExit()
		})
	}
}

// TestAllNodesHangUpWhileStopping guards against a change of settings that reaches all nodes while they stop.
func TestAllNodesHangUpWhileStopping(t *testing.T) {
	s := startSite(t)
	var nodes []*node
	var loads []*load
	for range 3 {
		n := startNode(t, s)
		nodes, loads = append(nodes, n), append(loads, startLoad(n))
	}
	for _, do := range []step{terminate, hangUp, stopping, hangUp} {
		for _, n := range nodes {
			do(n)
		}
	}
	for i, n := range nodes {
		loads[i].complete()
		n.awaitExit()
	}
}

// TestStartSurvivesHangup guards against a change of settings that ends a node which reads its boot file.
func TestStartSurvivesHangup(t *testing.T) {
	s := startSite(t)
	fifo := filepath.Join(t.TempDir(), "boot.toml")
	must.NoError(t, syscall.Mkfifo(fifo, 0o600))
	n := newNode(t, s, fifo)
	writer, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns once the node reads
	must.NoError(t, err)
	n.signal(syscall.SIGHUP)
	must.NoError(t, os.Remove(fifo))
	must.NoError(t, os.WriteFile(fifo, []byte(s.BootFile("n")), 0o600))
	_, err = io.WriteString(writer, s.BootFile("n"))
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	n.awaitServing()
	n.awaitLog("event=hangup")
	n.signal(syscall.SIGTERM)
	n.awaitExit()
}

// TestRequestsSurviveLossOfLogReader guards against a node that ends when it writes to a closed pipe.
func TestRequestsSurviveLossOfLogReader(t *testing.T) {
	n := startNode(t, startSite(t))
	l := startLoad(n)
	must.NoError(t, n.logRead.Close())
	for i := range 5 { // each leaves a line in the log
		test.Eq(t, http.StatusOK, n.send(http.MethodGet, site.PathLookup, fmt.Sprint("unlogged-", i), 0, nil).status)
	}
	n.signal(syscall.SIGHUP)
	n.signal(syscall.SIGTERM)
	l.complete()
	n.awaitExit()
}

const (
	streams        = 6 // half of them resumed
	receivedEvents = 2 // events that the callers of resumed streams have received before
	uploadedBefore = "a pour log, first half, "
	uploadedAfter  = "second half"
)

// load is what a node does when signals arrive: it streams, and it reads an upload that is sent in two parts.
type load struct {
	node    *node
	wg      sync.WaitGroup
	streams [streams]answer
	upload  answer
	rest    *io.PipeWriter // of the upload
}

// startLoad returns once all streams are in progress and a part of the upload has been sent.
func startLoad(n *node) *load {
	n.t.Helper()
	l := &load{node: n}
	prefix := fmt.Sprintf("stream-%p-", n)
	for i := range streams {
		path, last := site.PathSummary, 0
		if i%2 == 1 {
			path, last = site.PathQuery, receivedEvents
		}
		l.wg.Go(func() { l.streams[i] = n.sendUntilTaken(path, prefix+fmt.Sprint(i), last) })
	}
	var body *io.PipeReader
	body, l.rest = io.Pipe()
	l.wg.Go(func() { l.upload = n.send(http.MethodPost, site.PathUpload, fmt.Sprintf("upload-%p", n), 0, body) })
	_, err := io.WriteString(l.rest, uploadedBefore)
	must.NoError(n.t, err)
	n.awaitRuns(prefix, streams)
	return l
}

// complete sends the rest of the upload and checks that all answers are complete.
func (l *load) complete() {
	t := l.node.t
	t.Helper()
	_, err := io.WriteString(l.rest, uploadedAfter)
	test.NoError(t, err)
	must.NoError(t, l.rest.Close())
	l.wg.Wait()
	for i, a := range l.streams {
		test.NoError(t, a.err)
		test.Eq(t, http.StatusOK, a.status)
		test.Eq(t, site.StreamEvents-i%2*receivedEvents, strings.Count(a.body, "id:"))
	}
	test.NoError(t, l.upload.err)
	test.Eq(t, http.StatusOK, l.upload.status)
}
