// Package tcptest provides TCP addresses with a known behaviour for tests.
package tcptest

import (
	"net/netip"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// RefusingAddr returns a loopback address, as IP:PORT, that refuses connections until the test ends.
//
// A socket that never listens is bound to the address. The port of a closed listener would be free for
// the next listener of any process, and is often assigned again at once when connections in TIME-WAIT
// occupy most ports. The socket doesn't set SO_REUSEADDR, since the kernel would then let listeners that
// set it, as those of package net do, bind to the same address.
func RefusingAddr(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, syscall.Close(fd)) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	local := name.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(local.Addr), uint16(local.Port)).String()
}
