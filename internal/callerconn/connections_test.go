package callerconn_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/callerconn"
)

const few = 3 // connections

func fewConnections() callerconn.Limits {
	limits := defaultLimits()
	limits.Connections = few
	return limits
}

// TestWaitingConnectionsYield guards against connections without a complete request that keep others out.
func TestWaitingConnectionsYield(t *testing.T) {
	for name, text := range map[string]string{
		"idle":        ordinary,
		"silent":      "",
		"slow head":   "GET / HT",
		"empty lines": "\r\n",
		"slow body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx",
		"slow chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, fewConnections(), ample, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // fails if the connection yields
			})
			for range 5 * few {
				s.dial().send(text)
			}
			must.Eq(t, http.StatusOK, s.dial().send(ordinary).status())
			must.LessEq(t, few, s.guard.Open())
		})
	}
}

// TestLongestWaitingYields guards against a new connection that takes the place of one that has just begun.
func TestLongestWaitingYields(t *testing.T) {
	s := startServer(t, fewConnections(), ample, answerOK)
	var callers []*caller
	for range few {
		c := s.dial().send(ordinary)
		must.Eq(t, http.StatusOK, c.status())
		callers = append(callers, c)
	}
	must.Eq(t, http.StatusOK, callers[0].send(ordinary).status())
	must.Eq(t, http.StatusOK, s.dial().send(ordinary).status())
	must.Eq(t, 0, callers[1].status()) // closed
	must.Eq(t, http.StatusOK, callers[0].send(ordinary).status())
	must.Eq(t, http.StatusOK, callers[2].send(ordinary).status())
}

// TestServedRequestsStay guards against new connections that break off requests that are being served.
func TestServedRequestsStay(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, fewConnections(), ample, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	})
	var callers []*caller
	for range few {
		callers = append(callers, s.dial().send(ordinary))
		<-begun
	}
	for range few {
		must.Eq(t, 0, s.dial().status()) // closed, nothing was read
	}
	must.Eq(t, few, s.guard.Counts().Denied)
	close(release)
	for _, c := range callers {
		must.Eq(t, http.StatusOK, c.status())
	}
}

// endless answers until the caller is gone.
func endless(w http.ResponseWriter, _ *http.Request) {
	for block := make([]byte, 4<<10); ; {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// TestStalledCallersYield guards against callers that take no answer and keep others out.
func TestStalledCallersYield(t *testing.T) {
	s := startServer(t, fewConnections(), ample, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			endless(w, r)
		}
	})
	for range few {
		s.dial().send(strings.Replace(ordinary, "GET", "POST", 1))
	}
	await(t, func() bool { return s.dial().send(ordinary).status() == http.StatusOK })
}

// TestAnswerToStalledCallerEnds guards against callers that hold what serves them by taking no answer.
func TestAnswerToStalledCallerEnds(t *testing.T) {
	limits := defaultLimits()
	limits.StallTime = 50 * time.Millisecond
	s := startServer(t, limits, ample, endless)
	s.dial().send(ordinary)
	await(t, func() bool { return s.guard.Open() > 0 })
	await(t, func() bool { return s.guard.Open() == 0 })
	await(t, func() bool { return s.pools.Windows.Used() == 0 })
}

// TestSlowReaderGetsAnswer guards against an answer that is broken off though its caller reads, if slowly.
func TestSlowReaderGetsAnswer(t *testing.T) {
	const size, step = 256 << 10, 4 << 10
	limits := defaultLimits()
	limits.StallTime = 500 * time.Millisecond
	s := startServer(t, limits, ample, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	c := s.dial().send(ordinary)
	resp, err := http.ReadResponse(c.answers, nil)
	must.NoError(t, err)
	got := 0
	for block := make([]byte, step); got < size; time.Sleep(time.Millisecond) {
		n, err := resp.Body.Read(block)
		got += n
		must.True(t, err == nil || err == io.EOF && got == size)
	}
}

// TestBodyInSmallChunks guards against bounds that break off a body that comes byte by byte.
func TestBodyInSmallChunks(t *testing.T) {
	const size = 5000
	s := startServer(t, defaultLimits(), ample, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		must.NoError(t, err)
		must.Eq(t, size, n)
	})
	c := s.dial().send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	must.Eq(t, http.StatusOK, c.send(strings.Repeat("1\r\nx\r\n", size)+"0\r\n\r\n").status())
}

// TestLargeBodyGetsLargeWindow guards against large bodies that take a round trip for each small window, and against
// windows that are not given back.
func TestLargeBodyGetsLargeWindow(t *testing.T) {
	const size = 1 << 20
	var used int64
	var s *server
	s = startServer(t, defaultLimits(), ample, func(_ http.ResponseWriter, r *http.Request) {
		used = s.pools.Windows.Used()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	c := s.dial().send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
	must.Eq(t, http.StatusOK, c.status())
	must.Positive(t, used)
	await(t, func() bool { return s.pools.Windows.Used() == 0 })
}

// TestConnectionsAreForgotten guards against connections that count after their end.
func TestConnectionsAreForgotten(t *testing.T) {
	s := startServer(t, fewConnections(), ample, answerOK)
	for range 10 * few {
		c := s.dial().send(ordinary)
		must.Eq(t, http.StatusOK, c.status())
		must.NoError(t, c.Close())
	}
	await(t, func() bool { return s.guard.Open() == 0 })
	must.Zero(t, s.guard.Counts().Denied)
}
