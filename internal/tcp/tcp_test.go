package tcp

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestUnresponsivePeerDetection verifies the socket options by which the kernel detects an
// unresponsive peer: a timeout for unacknowledged bytes and keep-alive probes.
func TestUnresponsivePeerDetection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	dialer := Dialer(time.Second)
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	option := func(level, name int) (value int) {
		must.NoError(t, raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }))
		must.NoError(t, err)
		return value
	}
	test.Eq(t, 2000, option(syscall.IPPROTO_TCP, optionUserTimeout))
	test.Eq(t, 1, option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
	test.Eq(t, 1, option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE))
	test.Eq(t, 1, option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL))
	test.Eq(t, 2, option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT))
}
