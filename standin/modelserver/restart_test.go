package modelserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// send sends an order and reports whether the server responded.
func send(s *Server, body string) (answered bool) {
	defer func() { answered = recover() == nil }()
	s.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/-/order", strings.NewReader(body)))
	return true
}

const (
	firstOrder  = `{"version":2,"holder":"n0","fencing-token":5,"expected":0}`
	secondOrder = `{"version":3,"holder":"n0","fencing-token":4,"expected":0}`
)

func TestRestart(t *testing.T) {
	s := New(Config{ID: "model-1", Model: "reader"})
	startedMs := s.startedMs
	test.True(t, send(s, firstOrder))
	s.StorePart("salt", "part", 100)
	s.Restart()
	test.Greater(t, startedMs, s.startedMs)
	test.Eq(t, 2, s.Version()) // the weights survive a restart
	test.Eq(t, 0, s.CachedParts())
	test.True(t, send(s, secondOrder)) // accepted: the restart reset the fencing token and the order count
	test.Eq(t, 3, s.Version())
}

func TestLateOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{ID: "model-1", Model: "reader"})
		s.SetFaults(Faults{LateOrders: 3 * time.Second})
		test.False(t, send(s, firstOrder))
		time.Sleep(2 * time.Second)
		test.Eq(t, 1, s.Version())
		time.Sleep(2 * time.Second)
		test.Eq(t, 2, s.Version())
	})
}
