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

// send gives the server an order and reports whether it was answered.
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
	born := s.born
	test.True(t, send(s, firstOrder))
	s.Keep("salt", "part", 100)
	s.Restart()
	test.Greater(t, born, s.born)
	test.Eq(t, 2, s.Version()) // the weights stay
	test.Eq(t, 0, s.Kept())
	test.True(t, send(s, secondOrder)) // a lower token, and the count of a new start
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
