package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/scenarios/processtest"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// A crowd has crowdClients clients, which send for crowdTime. It comes crowdPause after the one before.
	crowdClients = 120
	crowdTime    = 1500 * time.Millisecond
	crowdPause   = 2 * time.Second
	// crowdStream is the stream of random numbers for crowds. They don't draw from those of the other faults.
	crowdStream = 77
	// bootMemoryMB is the memory of a node's host, as its boot file states it.
	bootMemoryMB = 256
)

// crowdClient writes to a connection until that fails. No node may send anything of it to a server.
type crowdClient func(c net.Conn) error

var crowdKinds = map[string]crowdClient{
	"silent": func(c net.Conn) error { return awaitClose(c) },
	"head without end": func(c net.Conn) error {
		return writeForever(c, "GET /lookup/ HTTP/1.1\r\n", processtest.ShortFields(4<<10))
	},
	"empty lines":   func(c net.Conn) error { return writeForever(c, "", strings.Repeat("\r\n", 4<<10)) },
	"one long line": func(c net.Conn) error { return writeForever(c, "GET /", strings.Repeat("x", 16<<10)) },
	"pipelined without a key": func(c net.Conn) error {
		return writeForever(c, "", "GET /lookup/ HTTP/1.1\r\nHost: "+site.Host+"\r\n\r\n")
	},
	"body that stops": func(c net.Conn) error {
		if _, err := io.WriteString(c, "POST /upload/ HTTP/1.1\r\nHost: "+site.Host+"\r\nContent-Length: 100000\r\n\r\nx"); err != nil {
			return err
		}
		return awaitClose(c)
	},
	"idle after a refusal": func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET /unknown/ HTTP/1.1\r\nHost: "+site.Host+"\r\n\r\n"); err != nil {
			return err
		}
		return awaitClose(c)
	},
}

// awaitClose waits until the connection has ended.
func awaitClose(c net.Conn) error {
	_, err := io.Copy(io.Discard, c)
	return err
}

// writeForever writes a text, and then another one again and again.
func writeForever(c net.Conn, start, text string) error {
	if _, err := io.WriteString(c, start); err != nil {
		return err
	}
	return processtest.WriteForever(c, text)
}

// sendCrowds sends crowds of clients that don't behave to one node after the other until fault injection ends.
func (w *world) sendCrowds() {
	random := rand.New(rand.NewPCG(uint64(w.seed), crowdStream))
	for {
		w.pause(crowdPause)
		select {
		case <-w.faultsEnded:
			return
		default:
			w.sendCrowd(w.nodes[random.IntN(len(w.nodes))])
		}
	}
}

// sendCrowd sends a crowd of clients of all kinds to a node, and checks that it stays within its host's memory.
func (w *world) sendCrowd(p *process) {
	addr, node := p.addr.Load(), p.listening.Load()
	if addr == nil || node == nil {
		return
	}
	var clients sync.WaitGroup
	until := time.Now().Add(crowdTime)
	for _, kind := range crowdKinds {
		for range crowdClients / len(crowdKinds) {
			clients.Go(func() {
				conn, err := net.DialTimeout("tcp", *addr, time.Until(until))
				if err != nil {
					return // the node has ended, or is suspended
				}
				defer conn.Close()
				_ = conn.SetDeadline(until) // fails on a closed connection only
				_ = kind(conn)              // ends as the node, or the deadline, ends it
			})
		}
	}
	clients.Wait()
	if peak, running := processtest.PeakMB(node.Pid); running {
		test.LessEq(w.t, bootMemoryMB, peak, test.Sprint("MB of a node after a crowd"))
	}
}
