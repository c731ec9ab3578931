package callerconn

import (
	"errors"
	"net"
	"syscall"
)

const (
	// wideBytes is the size of each socket buffer of a connection that carries much, and windowBytes what both take of
	// the pool.
	wideBytes   = 64 << 10
	windowBytes = 4 * wideBytes
	// A body or a write of more than these sizes makes a connection wide.
	largeBody  = 16 << 10
	largeWrite = 16 << 10
	// optionWindowClamp is the Linux socket option TCP_WINDOW_CLAMP, which the standard library doesn't define.
	optionWindowClamp = 10
)

// widen gives the connection large socket buffers, if there is room for them. Without, the transfer takes longer.
func (c *Conn) widen() {
	if c.wide || !c.guard.pools.Windows.Reserve(windowBytes) {
		return
	}
	c.wide = true
	c.setBuffers(wideBytes, wideBytes)
}

// narrow gives the connection back its ordinary socket buffers.
func (c *Conn) narrow() {
	if !c.wide {
		return
	}
	c.wide = false
	c.setBuffers(c.guard.limits.ReceiveBuffer, c.guard.limits.SendBuffer)
	c.guard.pools.Windows.Release(windowBytes)
}

// setBuffers sets the sizes of the socket buffers, and of the window that the caller is offered.
func (c *Conn) setBuffers(receive, send int) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionWindowClamp, receive),
		)
	})
	if err == nil && optionErr != nil {
		c.guard.log.Warn().Str("event", "socket_buffers").Err(optionErr).Send()
	}
}
