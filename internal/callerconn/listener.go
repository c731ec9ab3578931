package callerconn

import (
	"context"
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

// Listen opens a listener at addr, IP:PORT, whose connections have the socket buffers of the guard's limits.
func (g *Guard) Listen(addr string) (*Listener, error) {
	config := net.ListenConfig{Control: g.setBuffers}
	listener, err := config.Listen(context.Background(), "tcp", addr)
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

// setBuffers sets the sizes of the listener's socket buffers, which its connections inherit.
func (g *Guard) setBuffers(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.limits.ReceiveBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, g.limits.SendBuffer),
		)
	})
	return errors.Join(err, optionErr)
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
