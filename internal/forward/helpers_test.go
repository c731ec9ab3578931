package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	host        = "office.example"
	key         = "the-key"
	streamPath  = "/stream/a"
	resumePath  = "/resume/a"
	recordPath  = "/record/a"
	uploadPath  = "/upload/a"
	maxHeader   = 4 << 10
	maxBody     = 1 << 10
	streamSize  = 4 // events
	longTimeout = 5 * time.Second
)

func config() *routing.Config {
	route := func(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Timeout: longTimeout, Objective: time.Second, Upstreams: []routing.Upstream{{Service: "servers", Weight: 1}},
		}
	}
	c := &routing.Config{
		Version: 3,
		Routes: []routing.Route{
			route("stream", routing.Stream, 1, false),
			route("resume", routing.Stream, 2, true),
			route("record", routing.Idempotent, 2, false),
			route("upload", routing.NonIdempotent, 1, false),
		},
		Services: []routing.Service{{Name: "servers"}},
		Accounts: []routing.Account{{Name: "yard", Keys: []string{key}}},
		Limits:   routing.Limits{HeaderBytes: maxHeader, BodyBytes: maxBody},
	}
	return c.Index()
}

// fixedConfig is a forward.ConfigSource with a fixed configuration and age.
type fixedConfig struct {
	config *routing.Config
	age    time.Duration
}

func (s *fixedConfig) Config() (*routing.Config, time.Duration) { return s.config, s.age }

// orderedPlacer is a placer that selects the first endpoint not yet tried.
type orderedPlacer struct {
	members []*fleet.Member
	// beginWithin is the time within which the first endpoint must begin; 0 means no limit.
	beginWithin time.Duration
}

func (o *orderedPlacer) Place(q *forward.Query) (forward.Placement, bool) {
	for i, m := range o.members {
		if !slices.Contains(q.Tried, m.ID) && (q.Release == "" || q.Release == m.Endpoint().Release) {
			p := forward.Placement{Member: m, Attempt: forward.Attempt{Instance: m.ID, Account: "yard"}, Reason: "in_order"}
			if o.beginWithin > 0 && i == 0 {
				p.BeginBy = time.Now().Add(o.beginWithin)
			}
			return p, true
		}
	}
	return forward.Placement{}, false
}

// resumeTime is the longest time until a stream is resumed.
const resumeTime = time.Minute

// knownOrigins is a forward.Origins. Streams that no request of the test began are of the given origin, or
// not found if it is empty.
type knownOrigins struct {
	other    origin.Origin
	records  map[origin.Key]origin.Origin
	starting bool // the other nodes are not known yet
}

func newKnownOrigins() *knownOrigins {
	return &knownOrigins{other: origin.Origin{Service: "servers", Release: "v1"}, records: make(map[origin.Key]origin.Origin)}
}

func (k *knownOrigins) Record(key origin.Key, o origin.Origin) { k.records[key] = o }

func (k *knownOrigins) Find(_ context.Context, key origin.Key, _ string) origin.Result {
	if o, known := k.records[key]; known {
		return origin.Result{Origin: o, Source: origin.OwnRecord}
	}
	if k.other == (origin.Origin{}) {
		return origin.Result{Settled: !k.starting}
	}
	return origin.Result{Origin: k.other, Source: origin.SoleRelease}
}

type recordedOutcomes struct {
	mu   sync.Mutex
	list []forward.Outcome
}

func (o *recordedOutcomes) Forwarded(outcome *forward.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, *outcome)
}

// testHandler is a handler in front of stub model servers.
type testHandler struct {
	state   *fixedConfig
	bounds  bootstrap.Bounds
	servers []*modelserver.Server
	placer  *orderedPlacer
	origins *knownOrigins
	handler *forward.Handler
	server  *httptest.Server
	client  *http.Client
	memory  *memoryNetwork // in place of sockets; nil for loopback
}

// newTestHandler starts one server for each model, with the ids s0, s1 and so on, and a handler in
// front of them.
func newTestHandler(t *testing.T, models ...string) *testHandler {
	t.Helper()
	h := &testHandler{}
	h.startWithServers(t, models)
	return h
}

// newMemoryHandler is newTestHandler on a network in memory, for tests in virtual time.
func newMemoryHandler(t *testing.T, models ...string) *testHandler {
	t.Helper()
	h := &testHandler{memory: &memoryNetwork{}}
	h.startWithServers(t, models)
	return h
}

// startWithServers starts one server for each model and the handler in front of them.
func (h *testHandler) startWithServers(t *testing.T, models []string) {
	t.Helper()
	var addrs []string
	for i, model := range models {
		server := modelserver.New(modelserver.Config{ID: serverID(i), Service: "servers", Model: model, StreamEvents: streamSize})
		backend := h.serve(t, server.Handler(), maxEndpointBytes)
		h.servers = append(h.servers, server)
		addrs = append(addrs, strings.TrimPrefix(backend.URL, "http://"))
	}
	h.start(t, addrs)
}

// serve starts a server, which is closed at the end of the test. In memory it may write limit bytes on a connection.
func (h *testHandler) serve(t testing.TB, handler http.Handler, limit int64) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	if h.memory != nil {
		must.NoError(t, server.Listener.Close())
		server.Listener = h.memory.listen(limit)
	}
	server.Config.DisableGeneralOptionsHandler = true
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// connect sets how the fleet and the callers connect to servers.
func (h *testHandler) connect(t testing.TB, f *fleet.Fleet) {
	t.Helper()
	h.client = http.DefaultClient
	if h.memory == nil {
		return
	}
	f.Connections.Connect = h.memory.dial
	h.client = &http.Client{Transport: &http.Transport{DialContext: h.memory.dial}}
	t.Cleanup(func() {
		h.client.CloseIdleConnections()
		for _, m := range h.placer.members {
			m.Pool.CloseIdle()
		}
	})
}

func serverID(i int) string { return "s" + string(rune('0'+i)) }

// start starts the handler in front of endpoints at the given addresses, which it tries in that
// order.
func (h *testHandler) start(t testing.TB, addrs []string) {
	t.Helper()
	h.origins = newKnownOrigins()
	h.state = &fixedConfig{config: config()}
	f := fleet.New(zerolog.Nop())
	h.connect(t, f)
	for i, addr := range addrs {
		f.Update(&fleet.Endpoint{ID: serverID(i), Service: "servers", Addr: addr, Release: "v1"}, time.Now())
	}
	members := f.Members("servers")
	slices.SortFunc(members, func(a, b *fleet.Member) int { return strings.Compare(a.ID, b.ID) })
	h.placer = &orderedPlacer{members: members}
	h.bounds = bootstrap.Bounds{RevokeLimit: 5 * time.Second, ConfigApplyLimit: 2 * time.Second, RetryRatio: 10, RetrySlack: 1000}
	h.handler = &forward.Handler{
		Dialect: platform.Dialect{}, ConfigSource: h.state, Placer: h.placer, Budgets: forward.NewBudgets(h.bounds, func() int { return 1 }), AgeEstimator: &forward.AgeEstimator{},
		Quarantine: quarantine.NewTable(time.Now), Origins: h.origins, ResumeTime: func() time.Duration { return resumeTime }, Fleet: f,
		Bounds: func() bootstrap.Bounds { return h.bounds }, Recorder: &recordedOutcomes{}, Log: zerolog.Nop(),
	}
	h.server = h.serve(t, h.handler, maxHandlerBytes)
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
}

func (h *testHandler) request(t *testing.T, method, path, body string, change func(*http.Request)) *http.Request {
	t.Helper()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(t.Context(), method, h.server.URL+path, content)
	must.NoError(t, err)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Attempt-Id", "r1")
	req.Header.Set("X-Deadline-Ms", "4000")
	if change != nil {
		change(req)
	}
	return req
}

func (h *testHandler) do(t *testing.T, method, path, body string, change func(*http.Request)) response {
	t.Helper()
	resp, err := h.client.Do(h.request(t, method, path, body, change))
	must.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// doUntil sends a request and cancels it when callerLeft is closed.
func (h *testHandler) doUntil(t *testing.T, callerLeft <-chan struct{}, path string) {
	t.Helper()
	req := h.request(t, http.MethodGet, path, "", nil)
	ctx, cancel := context.WithCancel(req.Context())
	go func() {
		<-callerLeft
		cancel()
	}()
	if resp, err := h.client.Do(req.WithContext(ctx)); err == nil {
		resp.Body.Close()
	}
}
