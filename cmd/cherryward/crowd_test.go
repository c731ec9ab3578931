//go:build crowd

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// crowdTime is how long the clients of a crowd send, and crowdDials how often each of them opens a connection.
	crowdTime  = 4 * time.Second
	crowdDials = 20
	// filesReserved is the part of the descriptors that sockets must leave free.
	filesReserved = 200
	// sampleInterval is the time between two looks at what the process uses.
	sampleInterval = 20 * time.Millisecond
	// ordinaryTimeout ends the wait for one answer to an ordinary request, which is then sent again.
	ordinaryTimeout = 5 * time.Second
)

// crowd is a number of clients on loopback that all do the same, and the host of the node that they call.
type crowd struct {
	clients  int
	memoryMB int
	files    int // descriptors of the process
	// client writes to a connection until it fails or the client is done. The connection stays open until the
	// crowd leaves.
	client func(c net.Conn, i int) error
}

// run lets a crowd loose at a node and checks what must hold whatever callers do.
func (c *crowd) run(t *testing.T) {
	s := startSite(t)
	s.Plain.SetFaults(modelserver.Faults{LongOnSuffix: longSuffix})
	n := c.startNode(t, s)
	stop := make(chan struct{})
	seen := make(chan usage)
	go func() { seen <- n.observe(stop) }()
	leave := c.enter(n)
	n.awaitOrdinary("beside the crowd")
	leave()
	n.awaitOrdinary("after the crowd")
	close(stop)
	use := <-seen
	t.Logf("peak %d MB, unread %d MB, %d sockets", use.peakMB, use.unreadMB, use.sockets)
	test.LessEq(t, c.memoryMB, use.peakMB+use.unreadMB, test.Sprint("memory in MB, with unread bytes"))
	test.LessEq(t, c.files-filesReserved, use.sockets, test.Sprint("sockets"))
}

// startNode starts a node on a host of the crowd's size.
func (c *crowd) startNode(t *testing.T, s *site.Site) *node {
	n := startNodeWith(t, s, c.memoryMB, c.files)
	limit := unix.Rlimit{Cur: uint64(c.files), Max: uint64(c.files)}
	must.NoError(t, unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	return n
}

// enter starts the clients and returns when all have done what they do. leave closes their connections.
func (c *crowd) enter(n *node) (leave func()) {
	var clients sync.WaitGroup
	conns := make([]net.Conn, c.clients)
	addr, until := n.addr(), time.Now().Add(crowdTime)
	for i := range c.clients {
		clients.Go(func() {
			for range crowdDials {
				conn, err := net.DialTimeout("tcp", addr, time.Until(until))
				if err != nil {
					return
				}
				_ = conn.SetDeadline(until) // fails on a closed connection only
				if err = c.client(conn, i); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					conns[i] = conn
					return
				}
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// awaitOrdinary waits until one request of an ordinary caller is answered.
func (n *node) awaitOrdinary(when string) {
	n.t.Helper()
	tries := 0
	n.await("an ordinary request is answered "+when, func() bool {
		tries++
		ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
		defer cancel()
		req, err := site.Request(ctx, n.addr(), http.MethodGet, site.PathLookup, key, fmt.Sprint(when, "-", tries), "")
		must.NoError(n.t, err)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	})
}

const (
	crowdClients  = 600
	crowdMemoryMB = smallHostMB
	tightClients  = 1000
	tightMemoryMB = 80
	crowdFiles    = 4100
)

// memoryCrowd is a crowd at a small host that has descriptors for all of it.
func memoryCrowd(client func(c net.Conn, i int) error) *crowd {
	return &crowd{clients: crowdClients, memoryMB: crowdMemoryMB, files: crowdFiles, client: client}
}

// tightCrowd is a crowd at a host that has less memory than any that the users run, so that what each client of a small
// crowd takes shows.
func tightCrowd(client func(c net.Conn, i int) error) *crowd {
	return &crowd{clients: tightClients, memoryMB: tightMemoryMB, files: crowdFiles, client: client}
}

// filesCrowd is a crowd at a host that has fewer descriptors than the crowd has connections.
func filesCrowd(client func(c net.Conn, i int) error) *crowd {
	return &crowd{clients: 500, memoryMB: 256, files: 400, client: client}
}

// head returns the start of a head of an ordinary request without its end.
func head(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 8000\r\nX-Attempt-Id: %s\r\n",
		method, path, site.Host, key, id)
}

// crowdIDs numbers the requests of crowds.
var crowdIDs atomic.Int64

func crowdID() string { return fmt.Sprint("crowd-", crowdIDs.Add(1)) }

// send writes texts one after the other.
func send(c net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
	return nil
}

// askForever sends requests, each once the one before was answered.
func askForever(c net.Conn, request func() string) error {
	for answers := bufio.NewReader(c); ; {
		if err := send(c, request()); err != nil {
			return err
		}
		if err := readAnswer(answers); err != nil {
			return err
		}
	}
}

// pipelineLookups sends requests without end and reads no answer.
func pipelineLookups(c net.Conn, _ int) error {
	for {
		if err := send(c, head(http.MethodGet, site.PathLookup, crowdID()), "\r\n"); err != nil {
			return err
		}
	}
}

// awaitByte waits until the node sends a byte or closes the connection.
func awaitByte(c net.Conn) error {
	_, err := c.Read(make([]byte, 1))
	return err
}

// readAnswer reads the answer to a request.
func readAnswer(r *bufio.Reader) error {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// longSuffix ends the paths of requests that get a long answer.
const longSuffix = "long"
