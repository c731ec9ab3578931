package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

// linkFault is a fault that a proxy injects into its connections.
type linkFault int

const (
	none          linkFault = iota
	delayed                 // data is forwarded with a delay
	reset                   // connections are reset, including new ones
	dropAll                 // data is dropped in both directions
	dropResponses           // only responses are dropped
	linkFaultCount
)

const proxyDelay = 40 * time.Millisecond

// proxy is a TCP proxy for one stand-in that can inject faults.
type proxy struct {
	listenAddr   string // IP:PORT
	target       string
	disturbances spans

	mu       sync.Mutex
	listener net.Listener
	fault    linkFault
	conns    map[net.Conn]bool
}

// newProxy starts a proxy at the IP of its target.
func newProxy(target string) (*proxy, error) {
	ip, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, listenAddr: l.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	go p.accept(l)
	return p, nil
}

func (p *proxy) addr() string { return p.listenAddr }

func (p *proxy) close() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.set(reset)
}

// refuse closes the listener and all connections, like a server that crashed.
func (p *proxy) refuse() {
	p.close()
	p.set(none)
}

// reopen listens again after refuse. The port may be in use by another socket meanwhile.
func (p *proxy) reopen() error {
	l, err := site.ListenRetry(p.listenAddr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// set changes the fault. After a fault that dropped data, the connections are reset, as they are
// incomplete.
func (p *proxy) set(t linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.fault
	p.fault = t
	if t != reset && before != dropAll && before != dropResponses {
		return
	}
	// All sides first: forward closes the other side of a connection as soon as one is closed.
	for c := range p.conns {
		resetOnClose(c)
	}
	for c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

func (p *proxy) now() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept(l net.Listener) {
	for {
		front, err := l.Accept()
		if err != nil {
			return
		}
		back, err := net.Dial("tcp", p.target)
		if err != nil || p.now() == reset {
			resetOnClose(front)
			front.Close()
			if back != nil {
				back.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns[front], p.conns[back] = true, true
		p.mu.Unlock()
		go p.forward(back, front, false)
		go p.forward(front, back, true)
	}
}

// resetOnClose makes the end of a connection a reset.
func resetOnClose(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) } // fails if it is closed

// forward copies data in one direction until either side is closed. A reset of one side resets the other.
func (p *proxy) forward(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil && err != io.EOF {
			resetOnClose(to)
			return
		}
		switch t := p.now(); {
		case t == dropAll, t == dropResponses && answers:
			if err == io.EOF {
				return
			}
			continue
		case t == delayed:
			time.Sleep(proxyDelay)
		}
		if _, werr := to.Write(buffer[:n]); werr != nil || err == io.EOF {
			return
		}
	}
}
