package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

// trouble is what a proxy does to the connections through it.
type trouble int

const (
	none    trouble = iota
	delayed         // each read is passed on late
	reset           // connections are reset, new ones too
	silent          // bytes are swallowed both ways
	oneWay          // only answers are swallowed
	troubles
)

const proxyDelay = 40 * time.Millisecond

// proxy passes connections on to one stand-in, and does them harm when told to.
type proxy struct {
	at     string // IP:PORT
	target string
	harmed spans

	mu       sync.Mutex
	listener net.Listener
	state    trouble
	conns    map[net.Conn]bool
}

// newProxy returns a proxy at the IP of its target.
func newProxy(target string) (*proxy, error) {
	ip, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, at: l.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	go p.accept(l)
	return p, nil
}

func (p *proxy) addr() string { return p.at }

func (p *proxy) close() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.set(reset)
}

// end refuses connections, as the host of a server that ended does.
func (p *proxy) end() {
	p.close()
	p.set(none)
}

// reopen ends end. The system may have given the port away meanwhile.
func (p *proxy) reopen() error {
	l, err := site.ListenAgain(p.at)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// set changes the trouble. Connections that were harmed are reset at its end, as
// bytes are missing from them.
func (p *proxy) set(t trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.state
	p.state = t
	if t != reset && before != silent && before != oneWay {
		return
	}
	for c := range p.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(p.conns)
}

func (p *proxy) now() trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) accept(l net.Listener) {
	for {
		front, err := l.Accept()
		if err != nil {
			return
		}
		back, err := net.Dial("tcp", p.target)
		if err != nil || p.now() == reset {
			front.(*net.TCPConn).SetLinger(0)
			front.Close()
			if back != nil {
				back.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns[front], p.conns[back] = true, true
		p.mu.Unlock()
		go p.pass(back, front, false)
		go p.pass(front, back, true)
	}
}

// pass copies one direction until either side ends.
func (p *proxy) pass(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil && err != io.EOF {
			return
		}
		switch t := p.now(); {
		case t == silent, t == oneWay && answers:
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
