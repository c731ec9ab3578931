package callerconn

import (
	"errors"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// Listener accepts the connections that a Guard bounds.
type Listener struct {
	net.Listener
	guard *Guard
}

// Listen opens a listener at addr, IP:PORT.
func (g *Guard) Listen(addr string) (*Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", addr)
	}
	if err := setBacklog(listener, g.limits.Connections); err != nil {
		listener.Close()
		return nil, eris.Wrapf(err, "set the backlog at %s", addr)
	}
	return &Listener{listener, g}, nil
}

// setBacklog sets the length of the queue of connections that were not accepted yet.
func setBacklog(listener net.Listener, length int) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) })
	return errors.Join(err, listenErr)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.admit(raw); conn != nil {
			return conn, nil
		}
		_ = raw.Close() // nothing was read
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.guard.close()
	return l.Listener.Close()
}
