package soak

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// proxyAttempts is the number of attempts to end a connection, as the order of its two sides varies.
const proxyAttempts = 100

// TestResetConnectionsDontEndRegularly guards against a proxy after whose fault bytes without a length look complete.
func TestResetConnectionsDontEndRegularly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, neverEnds{}) // until the connection is reset
			}()
		}
	}()
	p, err := newProxy(l.Addr().String())
	must.NoError(t, err)
	defer p.close()
	for range proxyAttempts {
		conn, err := net.Dial("tcp", p.addr())
		must.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 1<<10))
		must.NoError(t, err)
		p.set(reset)
		_, err = io.Copy(io.Discard, conn)
		test.Error(t, err)
		conn.Close()
		p.set(none)
	}
}

// neverEnds is a reader without an end.
type neverEnds struct{}

func (neverEnds) Read(p []byte) (int, error) { return len(p), nil }
