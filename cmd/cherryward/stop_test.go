package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// rawCall is a request on a connection of its own, whose bytes are sent when the test says.
type rawCall struct {
	t    *testing.T
	id   string
	conn net.Conn
}

func (n *node) openCall(id string) *rawCall {
	conn, err := net.Dial("tcp", n.addr())
	must.NoError(n.t, err)
	n.t.Cleanup(func() { _ = conn.Close() })
	return &rawCall{t: n.t, id: id, conn: conn}
}

func (c *rawCall) write(text string) {
	_, err := io.WriteString(c.conn, text)
	must.NoError(c.t, err)
}

// uploadHead is the head of an upload of two bytes.
func uploadHead(id string) string {
	return fmt.Sprintf("POST %sa HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\n",
		site.PathUpload, site.Host, key, id)
}

// status reads the answer to its end and returns its status; 0 if it is not complete.
func (c *rawCall) status() int {
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitNoListener waits until the node accepts no new connections.
func (n *node) awaitNoListener() {
	addr := n.addr()
	n.await("new connections are refused", func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
}

// TestStoppingNodeAnswersAllRequests guards against requests that come late in the grace period, on connections that were
// opened before, and get no answer, and against those that are passed on and cut without one at its end.
func TestStoppingNodeAnswersAllRequests(t *testing.T) {
	s := startSite(t)
	n := startNode(t, s)
	s.Plain.SetFaults(modelserver.Faults{Hang: true})
	whole, head, body := n.openCall("late-whole"), n.openCall("late-head"), n.openCall("late-body")
	before := n.openCall("before")
	before.write(uploadHead(before.id) + "xx")
	headText := uploadHead(head.id)
	head.write(headText[:len(headText)/2])
	body.write(uploadHead(body.id) + "x")
	n.await("the upload runs", func() bool { return len(runsOf(s.Plain, before.id)) == 1 })
	n.signal(syscall.SIGTERM)
	n.awaitLog("event=stopping", "server=callers")
	n.awaitNoListener()
	whole.write(uploadHead(whole.id) + "xx")
	head.write(headText[len(headText)/2:] + "xx")
	body.write("x")
	for _, late := range []*rawCall{whole, head} {
		test.Eq(t, http.StatusServiceUnavailable, late.status(), test.Sprint(late.id))
	}
	for _, running := range []*rawCall{before, body} {
		test.Eq(t, http.StatusBadGateway, running.status(), test.Sprint(running.id))
		test.SliceLen(t, 1, runsOf(s.Plain, running.id), test.Sprint(running.id))
	}
	n.awaitExit()
	for _, late := range []*rawCall{whole, head} {
		test.SliceEmpty(t, runsOf(s.Plain, late.id), test.Sprint(late.id))
	}
}

// runsOf returns the runs of a request at a server.
func runsOf(server *modelserver.Server, id string) []modelserver.Run {
	return slices.DeleteFunc(server.Runs(), func(r modelserver.Run) bool { return !strings.HasPrefix(r.Request, id) })
}
