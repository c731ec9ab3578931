package operator

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/config/configtest"
)

// pipeListener accepts in-memory connections, whose deadlines follow the virtual
// time of synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestUnauthenticatedCallerWithoutBodyIsDisconnected guards against a caller without
// the credential that keeps a connection open by never sending the request body.
func TestUnauthenticatedCallerWithoutBodyIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(configtest.New(), nil)
		ln := pipeListener{make(chan net.Conn), make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx, ln) }()
		caller, served := net.Pipe()
		ln.conns <- served
		started := time.Now()
		_, err := fmt.Fprint(caller, "POST /cherryward.v1.ConfigService/Apply HTTP/1.1\r\nHost: n1\r\n"+
			"Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n")
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, caller) // until the server closes the connection
		must.NoError(t, err)
		must.Between(t, rejectedBodyTimeout, time.Since(started), 2*rejectedBodyTimeout)
		cancel()
		must.NoError(t, <-done)
	})
}

// TestWatcherThatDoesNotReadIsDisconnected checks that a watcher is disconnected once a
// change was pending for sendTimeout, and not while there is nothing to send.
func TestWatcherThatDoesNotReadIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := configtest.New()
		s := newServer(log, nil)
		ln := pipeListener{make(chan net.Conn), make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx, ln) }()
		watcher, served := net.Pipe()
		ln.conns <- served
		const body = "\x00\x00\x00\x00\x02{}" // one enveloped message
		_, err := fmt.Fprintf(watcher, "POST /cherryward.v1.ConfigService/Watch HTTP/1.1\r\nHost: n1\r\n"+
			"Authorization: Bearer %s\r\nContent-Type: application/connect+json\r\nContent-Length: %d\r\n\r\n%s", credential, len(body), body)
		must.NoError(t, err)
		synctest.Wait()
		time.Sleep(10 * sendTimeout) // an idle watch is not disconnected
		must.Eq(t, 1, s.watchers.Load())

		_, err = log.Propose(ctx, config.Change{ID: "c", Kind: config.KindAccount, Name: "a", Value: []byte(`{"name":"a"}`)})
		must.NoError(t, err)
		time.Sleep(sendTimeout - time.Millisecond)
		synctest.Wait()
		must.Eq(t, 1, s.watchers.Load())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, 0, s.watchers.Load())
		cancel()
		must.NoError(t, <-done)
	})
}
