package tcptest_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/tcp/tcptest"
)

// TestRefusingAddr checks that connections to the address are refused and that no listener can bind to
// it while the test runs. Otherwise tests that need an endpoint that has ended would reach another
// listener.
func TestRefusingAddr(t *testing.T) {
	addr := tcptest.RefusingAddr(t)
	_, err := net.Dial("tcp", addr)
	test.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, port, err := net.SplitHostPort(addr)
	must.NoError(t, err)
	for _, taken := range []string{addr, "0.0.0.0:" + port, ":" + port} {
		l, err := net.Listen("tcp", taken)
		test.ErrorIs(t, err, syscall.EADDRINUSE, test.Sprint(taken))
		if err == nil {
			test.NoError(t, l.Close())
		}
	}
}
