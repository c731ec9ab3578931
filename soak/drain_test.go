package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/site"
)

const (
	drainNodes   = 2
	drainStreams = 5
	// drainPause is the time from SIGTERM after which the node's other services would have stopped.
	drainPause  = 300 * time.Millisecond
	readyWithin = 20 * time.Second
)

// TestStreamsBegunAtDrainingNodeAreResumed guards against nodes that tell the others nothing while they drain.
func TestStreamsBegunAtDrainingNodeAreResumed(t *testing.T) {
	w := newWorld(t, 1, small.withNodes(drainNodes), changeNever)
	defer w.stop()
	c := w.client(0, 1)
	for i := range w.nodes {
		must.Eq(t, http.StatusOK, c.awaitStream(t, w, i))
	}
	time.Sleep(w.bounds.StableWindow) // until the nodes know one another
	w.nodes[0].signal(syscall.SIGTERM)
	time.Sleep(drainPause)
	for i := range drainStreams {
		id := fmt.Sprint("drain-", i)
		must.Eq(t, http.StatusOK, c.stream(t, w, 0, id))
		test.Eq(t, http.StatusOK, c.stream(t, w, 1, id+"-2", "Resumes", id, "Last-Event-Id", strconv.Itoa(breakAfter)))
	}
}

// awaitStream sends streams to a node until it serves one, and returns the status of the last response.
func (c *client) awaitStream(t *testing.T, w *world, node int) (status int) {
	for began := time.Now(); status != http.StatusOK && time.Since(began) < readyWithin; time.Sleep(heartbeatInterval) {
		status = c.stream(t, w, node, fmt.Sprintf("first-%x", rand.Uint32()))
	}
	return status
}

// stream sends a stream to a node, reads its first events and returns its status.
func (c *client) stream(t *testing.T, w *world, node int, id string, header ...string) int {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	c.addr = *w.nodes[node].addr.Load()
	sent := sentRequest{key: w.key(), method: http.MethodPost, target: site.PathQuery + id, body: "body of " + id, at: time.Now(), node: node}
	resp, err := c.do(ctx, id, fmt.Sprintf("5e55%x", c.random.Uint32()), &sent, header...)
	must.NoError(t, err)
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		test.Eq(t, breakAfter, readSome(resp))
	}
	return resp.StatusCode
}
