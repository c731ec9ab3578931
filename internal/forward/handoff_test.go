package forward_test

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/reach"
	"github.com/cherryward/cherryward/internal/tcp/tcptest"
	"github.com/cherryward/cherryward/standin/modelserver"
)

// pathState is a forward.Paths with a fixed state for all services.
type pathState reach.State

func (s pathState) State(string) reach.State { return reach.State(s) }

func (s pathState) Ended(m *fleet.Member) bool { return m.Ended() }

// newPartitioned returns a handler that reaches no endpoint, and passes requests to the nodes at the given
// addresses, in that order.
func newPartitioned(t *testing.T, helpers ...string) *testHandler {
	t.Helper()
	return newPartitionedAmong(t, false, helpers...)
}

// newPartitionedAmong is newPartitioned with nodes that honor the release of a stream or don't.
func newPartitionedAmong(t *testing.T, bindReleases bool, helpers ...string) *testHandler {
	t.Helper()
	h := newTestHandler(t, "")
	h.handler.Paths = pathState(reach.Unreachable)
	h.handler.Helpers = &handoff.Table{Name: "cut", Now: time.Now, Random: rand.IntN}
	var nodes []handoff.Node
	for i, addr := range helpers {
		nodes = append(nodes, handoff.Node{Name: "helper-" + strconv.Itoa(i), Addr: addr, Local: true, BindsReleases: bindReleases})
	}
	h.handler.Helpers.SetNodes(nodes)
	return h
}

// serveHelper serves the requests that other nodes pass to a handler and returns its address.
func serveHelper(t *testing.T, h *testHandler) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(h.handler.ServePassed))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// serveHandler serves a handler in place of a node.
func serveHandler(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// closeAfterRequest reads a request and closes its connection, as a node that is killed does.
func closeAfterRequest(t *testing.T, received *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				received.Add(1)
			}
			conn.Close()
		}
	}()
	return l.Addr().String()
}

func runsOf(h *testHandler) (count int) {
	for _, s := range h.servers {
		count += len(s.Runs())
	}
	return count
}

func TestPassedRequestsRunOnceAsTheCallerSentThem(t *testing.T) {
	for _, c := range []struct{ model, method, path, body string }{
		{"m", http.MethodGet, streamPath, ""},
		{"m", http.MethodGet, resumePath, ""},
		{"", http.MethodGet, recordPath, ""},
		{"", http.MethodPost, uploadPath, "content"},
	} {
		t.Run(c.path, func(t *testing.T) {
			helper := newTestHandler(t, c.model)
			h := newPartitioned(t, serveHelper(t, helper))
			direct := helper.do(t, c.method, c.path, c.body, nil)
			passed := h.do(t, c.method, c.path, c.body, func(r *http.Request) { r.Header.Set("X-Attempt-Id", "r2") })
			must.NoError(t, passed.err)
			must.Eq(t, http.StatusOK, passed.status)
			test.Eq(t, strings.ReplaceAll(direct.body, "r1", "r2"), passed.body)
			test.Eq(t, 0, runsOf(h))
			runs := helper.servers[0].Runs()
			must.Len(t, 2, runs)
			run := runs[1]
			test.Eq(t, "r2", run.Request)
			test.Eq(t, c.body, run.Body)
			test.Eq(t, c.path, run.Target)
			test.Eq(t, "yard", run.Header.Get("X-Tenant"))
			for name := range run.Header {
				test.False(t, strings.HasPrefix(name, "Cherryward"), test.Sprint(name))
			}
			left, err := strconv.Atoi(run.Header.Get("X-Deadline-Ms"))
			must.NoError(t, err)
			test.LessEq(t, 4000, left)
			test.Less(t, 0, -left)
		})
	}
}

func TestRequestIsPassedOnOnce(t *testing.T) {
	third := newTestHandler(t, "")
	first, second := newPartitioned(t, serveHelper(t, third)), newPartitioned(t, serveHelper(t, third))
	h := newPartitioned(t, serveHelper(t, first), serveHelper(t, second))
	got := h.do(t, http.MethodPost, uploadPath, "content", nil)
	test.Eq(t, http.StatusServiceUnavailable, got.status)
	test.StrContains(t, got.body, "path_lost")
	test.NotEq(t, "", got.header.Get("Retry-After"))
	test.Eq(t, 0, runsOf(h)+runsOf(first)+runsOf(second)+runsOf(third))
}

func TestNextHelperIsAskedIfOneCertainlySentNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(t *testing.T) string
	}{
		{"not reachable", func(t *testing.T) string { return tcptest.RefusingAddr(t) }},
		{"partitioned", func(t *testing.T) string { return serveHelper(t, newPartitioned(t)) }},
		{"shutting down", func(t *testing.T) string {
			h := newTestHandler(t, "")
			h.handler.ShuttingDown = func() bool { return true }
			return serveHelper(t, h)
		}},
		{"older configuration", func(t *testing.T) string {
			h := newTestHandler(t, "")
			h.state.config.Version--
			return serveHelper(t, h)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			helper := newTestHandler(t, "")
			h := newPartitioned(t, c.first(t), serveHelper(t, helper))
			for range 8 { // whichever is asked first
				got := h.do(t, http.MethodPost, uploadPath, "content", nil)
				must.Eq(t, http.StatusOK, got.status)
			}
			test.Eq(t, 8, runsOf(helper))
		})
	}
}

func TestLostAnswerOfHelperMayHaveRun(t *testing.T) {
	for _, path := range []string{uploadPath, recordPath, streamPath} {
		var received atomic.Int64
		h := newPartitioned(t, closeAfterRequest(t, &received), closeAfterRequest(t, &received))
		got := h.do(t, http.MethodGet, path, "", nil)
		test.Eq(t, http.StatusBadGateway, got.status, test.Sprint(path))
		test.Eq(t, 1, received.Load(), test.Sprint(path))
	}
}

func TestStreamThatHelperBreaksOffIsNotComplete(t *testing.T) {
	helper := newTestHandler(t, "m")
	helper.servers[0].SetFaults(modelserver.Faults{CutAfter: 2})
	h := newPartitioned(t, serveHelper(t, helper))
	got := h.do(t, http.MethodGet, streamPath, "", nil)
	test.Error(t, got.err)
	test.Eq(t, 1, runsOf(helper))
}

func TestErrorOfEndpointIsPassedBackUnchanged(t *testing.T) {
	helper := newTestHandler(t, "", "")
	for _, s := range helper.servers {
		s.SetFaults(modelserver.Faults{Status: http.StatusInternalServerError})
	}
	h := newPartitioned(t, serveHelper(t, helper))
	got := h.do(t, http.MethodGet, recordPath, "", nil)
	test.Eq(t, http.StatusInternalServerError, got.status)
	test.NotEq(t, "", got.header.Get("X-Server-Seal"))
	test.Eq(t, 2, runsOf(helper), test.Sprint("as many endpoints as the route allows"))
}

func TestRefusalsOfHelperReachTheCaller(t *testing.T) {
	helper := newTestHandler(t, "")
	helper.servers[0].SetFaults(modelserver.Faults{RejectRequests: true})
	h := newPartitioned(t, serveHelper(t, helper))
	got := h.do(t, http.MethodPost, uploadPath, "content", nil)
	test.Eq(t, http.StatusServiceUnavailable, got.status)
	test.StrContains(t, got.body, "no_endpoint")
	for name := range got.header {
		test.False(t, strings.HasPrefix(name, "Cherryward"), test.Sprint(name))
	}
}

func TestEndpointIsToldThatCallerOfPassedRequestLeft(t *testing.T) {
	helper := newTestHandler(t, "m")
	helper.servers[0].SetFaults(modelserver.Faults{Hang: true})
	h := newPartitioned(t, serveHelper(t, helper))
	left := make(chan struct{})
	go func() {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return runsOf(helper) == 1 }), wait.Gap(time.Millisecond)))
		close(left)
	}()
	h.doUntil(t, left, streamPath)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return helper.servers[0].AbandonedRequests() == 1 }),
		wait.Timeout(500*time.Millisecond), wait.Gap(time.Millisecond)))
}

func TestPassedRequestIsCountedInOneRetryBudget(t *testing.T) {
	const attempts = 5
	helper := newTestHandler(t, "", "")
	helper.bounds.RetryRatio = 1
	helper.handler.Budgets = forward.NewBudgets(helper.bounds, func() int { return 1 })
	h := newPartitioned(t, serveHelper(t, helper))
	budget, passed := h.handler.Budgets.ForService("servers"), helper.handler.Budgets.ForService("servers")
	for budget.WithdrawRetry(time.Now()) || passed.WithdrawRetry(time.Now()) {
	}
	for range attempts {
		h.do(t, http.MethodGet, recordPath, "", nil)
	}
	retries := 0
	for budget.WithdrawRetry(time.Now()) || passed.WithdrawRetry(time.Now()) {
		retries++
	}
	test.LessEq(t, attempts, retries)
	test.Positive(t, retries)
}

func TestInvalidEnvelopeIsRejected(t *testing.T) {
	helper := newTestHandler(t, "")
	addr := serveHelper(t, helper)
	for _, envelope := range []string{"", "x", `{"from":"n","attempts":0}`, `{"from":"n","attempts":1,"left_ms":-1}`, `{"attempts":1}`} {
		req := helper.request(t, http.MethodGet, recordPath, "", func(r *http.Request) { r.Header.Set("Cherryward-Handoff", envelope) })
		req.URL.Host = addr
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		resp.Body.Close()
		test.Eq(t, http.StatusBadRequest, resp.StatusCode, test.Sprint(envelope))
	}
	test.Eq(t, 0, runsOf(helper))
}

// TestHeadersOfHandoffAreStripped checks that neither a caller nor an endpoint can state what only nodes
// state to one another.
func TestHeadersOfHandoffAreStripped(t *testing.T) {
	var received http.Header
	addr := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set("X-Attempt-Id", "r1")
		w.Header().Set("X-Server-Seal", "seal")
		w.Header().Set("Cherryward-Handoff-Refusal", `{"code":3013,"run_state":"not_run"}`)
		w.WriteHeader(http.StatusOK)
	})
	h := &testHandler{}
	h.start(t, []string{addr})
	got := h.do(t, http.MethodGet, recordPath, "", func(r *http.Request) { r.Header.Set("Cherryward-Handoff", `{"from":"n","attempts":1}`) })
	test.Eq(t, http.StatusOK, got.status)
	test.Eq(t, "", got.header.Get("Cherryward-Handoff-Refusal"))
	test.Eq(t, "", received.Get("Cherryward-Handoff"))
}
