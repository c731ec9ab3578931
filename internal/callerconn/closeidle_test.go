package callerconn_test

import (
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"

// TestCloseIdleServesNoRequestWithoutCaller guards against requests that cross the closing of their connection and are
// served all the same, so that nobody gets their answers.
func TestCloseIdleServesNoRequestWithoutCaller(t *testing.T) {
	const runs = 500
	for _, text := range []string{ordinary, post} {
		served, answered := int64(0), int64(0)
		for run := range runs {
			var count atomic.Int64
			s := startServer(t, defaultLimits(), ample, func(_ http.ResponseWriter, r *http.Request) {
				if _, err := r.Body.Read(make([]byte, 2)); err == nil || strings.Contains(err.Error(), "EOF") {
					count.Add(1)
				}
			})
			c := s.dial().send(ordinary)
			must.Eq(t, http.StatusOK, c.status())
			sent := make(chan struct{})
			go func() {
				c.send(text)
				close(sent)
			}()
			for range run % 50 { // the request comes before, at the same time, and after
				runtime.Gosched()
			}
			s.guard.CloseIdle()
			<-sent
			if c.status() == http.StatusOK {
				answered++
			}
			await(t, func() bool { return s.guard.Open() == 0 })
			served += count.Load() - 1
		}
		test.Eq(t, answered, served, test.Sprint(text))
	}
}

// TestCloseIdleClosesAfterAnswer guards against idle connections that stay, and requests in progress that are broken off.
func TestCloseIdleClosesAfterAnswer(t *testing.T) {
	begun, release := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, defaultLimits(), ample, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			begun <- struct{}{}
			<-release
		}
	})
	idle, unused, busy := s.dial().send(ordinary), s.dial(), s.dial().send(post)
	must.Eq(t, http.StatusOK, idle.status())
	await(t, func() bool { return s.guard.Open() == 3 })
	<-begun
	s.guard.CloseIdle()
	must.Eq(t, 0, idle.status())
	must.Eq(t, http.StatusOK, unused.send(ordinary).status())
	must.Eq(t, 0, unused.status())
	close(release)
	must.Eq(t, http.StatusOK, busy.status())
	must.Eq(t, 0, busy.status())
	await(t, func() bool { return s.guard.Open() == 0 })
}
