package scenarios

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// nodesHost is the address at which nodes with a relay listen. The relay occupies the same port at
// 127.0.0.1, so no other node can use it.
const nodesHost = "127.0.0.2"

// relay is a TCP proxy for the peer listener of one node, at the address that is published to the
// other nodes. While it is cut, all its connections are reset, including new ones: the other nodes
// can't reach the node, which can still reach them.
type relay struct {
	listener net.Listener

	target string
	wg     sync.WaitGroup

	mu   sync.Mutex
	cut  bool
	open map[*net.TCPConn]struct{}
}

func newRelay() (*relay, error) {
	l, err := net.Listen("tcp", freePort)
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: net.JoinHostPort(nodesHost, port), open: make(map[*net.TCPConn]struct{})}
	r.wg.Go(r.serve)
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		r.wg.Go(func() { r.forward(conn.(*net.TCPConn)) })
	}
}

// forward copies data in both directions until one side closes.
func (r *relay) forward(from *net.TCPConn) {
	defer r.drop(from)
	conn, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	to := conn.(*net.TCPConn)
	defer r.drop(to)
	if !r.track(from, to) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(to, from) })
	wg.Go(func() { r.copy(from, to) })
	wg.Wait()
}

// copy copies until one connection ends, and then closes both.
func (r *relay) copy(to, from *net.TCPConn) {
	_, _ = io.Copy(to, from) // errors end the copy as well
	_ = to.Close()
	_ = from.Close()
}

// track records open connections. It returns false if the relay is cut.
func (r *relay) track(conns ...*net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	for _, c := range conns {
		r.open[c] = struct{}{}
	}
	return true
}

// drop resets a connection and stops tracking it.
func (r *relay) drop(c *net.TCPConn) {
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
	reset(c)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails if it is closed already
	_ = c.Close()
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for c := range r.open {
		reset(c)
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setCut(true)
	r.wg.Wait()
}

// cut makes nodes unreachable from the other nodes. heal undoes it.
func (w *world) cut(a *args) error { return w.setCut(a, true) }

func (w *world) heal(a *args) error { return w.setCut(a, false) }

func (w *world) setCut(a *args, cut bool) error {
	for _, id := range a.words {
		n, err := w.find(id)
		if err != nil {
			return err
		}
		if n.relay == nil {
			return fmt.Errorf("%s has no relay", id)
		}
		n.relay.setCut(cut)
	}
	return nil
}
