package callerconn_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const ample = 16 << 20 // room for heads

// headOf returns a request whose head has the given size in bytes.
func headOf(size, value int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
	return start + fields(size-len(start)-len(end), value) + end
}

// TestLargestHeadIsServed guards against bounds that refuse a head inside the limit, whatever its lines are like.
func TestLargestHeadIsServed(t *testing.T) {
	s := startServer(t, defaultLimits(), ample, answerOK)
	for _, value := range []int{0, 10, 1000} {
		request := headOf(headLimit, value)
		must.Eq(t, headLimit, len(request))
		test.Eq(t, http.StatusOK, s.dial().send(request).status(), test.Sprint("values of ", value, " bytes"))
	}
}

// TestLargestHeadOnKeptConnection guards against heads that are counted together with those before on their connection.
func TestLargestHeadOnKeptConnection(t *testing.T) {
	s := startServer(t, defaultLimits(), ample, answerOK)
	c := s.dial()
	for range 10 {
		must.Eq(t, http.StatusOK, c.send(headOf(headLimit, 0)).status())
	}
}

// TestHeadOverLimitIsRefused guards against heads over the limit that are parsed before they are refused.
func TestHeadOverLimitIsRefused(t *testing.T) {
	served := false
	s := startServer(t, defaultLimits(), ample, func(http.ResponseWriter, *http.Request) { served = true })
	c := s.dial()
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, c.send(headOf(2*headLimit, 0)).status())
	must.Eq(t, 0, c.status()) // the connection is closed
	must.Eq(t, 1, s.guard.Counts().TooLarge)
	must.False(t, served)
	await(t, func() bool { return s.pools.Heads.Used() == 0 })
}

// TestLimitInForceApplies guards against a limit that stays as it was when the node started.
func TestLimitInForceApplies(t *testing.T) {
	limits, limit := defaultLimits(), headLimit
	limits.HeadBytes = func() int { return limit }
	s := startServer(t, limits, ample, answerOK)
	must.Eq(t, http.StatusOK, s.dial().send(headOf(headLimit, 100)).status())
	limit = 1 << 10
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, s.dial().send(headOf(headLimit, 100)).status())
}

// TestHeadsTogetherAreBounded guards against heads inside the limit that take a host's memory together.
func TestHeadsTogetherAreBounded(t *testing.T) {
	const room = 1 << 20
	s := startServer(t, defaultLimits(), room, answerOK)
	unfinished := strings.TrimSuffix(headOf(headLimit, 0), "\r\n")
	first := s.dial().send(unfinished)
	await(t, func() bool { return s.pools.Heads.Used() > room/2 })
	must.Eq(t, http.StatusServiceUnavailable, s.dial().send(unfinished).status())
	must.Eq(t, http.StatusOK, s.dial().send(ordinary).status()) // needs nothing of the pool
	must.Eq(t, http.StatusOK, first.send("\r\n").status())
	await(t, func() bool { return s.pools.Heads.Used() == 0 })
	must.Eq(t, http.StatusOK, s.dial().send(headOf(headLimit, 0)).status())
}

// TestListsInFieldsCount guards against fields that hold as many entries as a head has bytes, each of which is decoded.
func TestListsInFieldsCount(t *testing.T) {
	s := startServer(t, defaultLimits(), 1<<20, answerOK)
	list := "X-List: " + strings.Repeat(",", headLimit-100) + "\r\n\r\n"
	must.Eq(t, http.StatusServiceUnavailable, s.dial().send("GET / HTTP/1.1\r\nHost: h\r\n"+list).status())
}

// TestPipelinedHeadCounts guards against lines that the HTTP server has read with the request before.
func TestPipelinedHeadCounts(t *testing.T) {
	s := startServer(t, defaultLimits(), ample, answerOK)
	unfinished := "GET / HTTP/1.1\r\nHost: h\r\n" + fields(3<<10, 0)
	must.Eq(t, http.StatusOK, s.dial().send(ordinary+unfinished).status())
	await(t, func() bool { return s.pools.Heads.Used() > 0 })
}
