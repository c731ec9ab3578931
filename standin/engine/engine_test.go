package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

func request(id, prompt string, tokens int) enginewire.RunRequest {
	return enginewire.RunRequest{
		Run: id, Model: "m", Version: "v1", CacheSalt: "salt", Prompt: prompt, MaxTokens: tokens,
	}
}

func newEngine(t *testing.T, cfg Config) *Engine {
	t.Helper()
	cfg.Loaded = append(cfg.Loaded, enginewire.Loaded{Model: "m", Version: "v1"})
	e := New(cfg)
	t.Cleanup(e.Close)
	return e
}

// sink records a response and the time of each frame.
type sink struct {
	*httptest.ResponseRecorder
	mu      sync.Mutex
	began   time.Time
	at      []time.Duration
	dropped bool
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = append(s.at, time.Since(s.began))
	return s.ResponseRecorder.Write(p)
}

func (s *sink) frames(t *testing.T) []enginewire.Frame {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	return parse(t, bytes.NewReader(s.Body.Bytes()))
}

func (s *sink) error(t *testing.T) (out enginewire.Error) {
	t.Helper()
	must.NoError(t, json.Unmarshal(s.Body.Bytes(), &out))
	return out
}

// call serves a request in memory until the response is complete or ctx is cancelled.
func call[T any](ctx context.Context, e *Engine, method, path string, body T) *sink {
	s := newSink()
	serveSink(ctx, e, s, method, path, marshal(body))
	return s
}

func newSink() *sink { return &sink{ResponseRecorder: httptest.NewRecorder(), began: time.Now()} }

func marshal[T any](v T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func serveSink(ctx context.Context, e *Engine, s *sink, method, path string, body []byte) {
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			s.dropped = true
		} else if p != nil {
			panic(p)
		}
	}()
	req := httptest.NewRequest(method, path, bytes.NewReader(body)).WithContext(ctx)
	e.Handler().ServeHTTP(s, req)
}

func start(e *Engine, req enginewire.RunRequest) *sink {
	return call(context.Background(), e, http.MethodPost, enginewire.PathRuns, req)
}

func get[T any](t *testing.T, e *Engine, path string) (out T) {
	t.Helper()
	s := call(context.Background(), e, http.MethodGet, path, "")
	must.Eq(t, http.StatusOK, s.Code)
	must.NoError(t, json.Unmarshal(s.Body.Bytes(), &out))
	return out
}

func parse(t *testing.T, body io.Reader) (out []enginewire.Frame) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			must.Eq(t, "", lines.Text())
			continue
		}
		var f enginewire.Frame
		must.NoError(t, json.Unmarshal([]byte(data), &f))
		out = append(out, f)
	}
	return out
}

func text(fs []enginewire.Frame) string {
	var out strings.Builder
	for _, f := range fs {
		out.WriteString(f.Text)
	}
	return out.String()
}

func TestRun_CachedOnReturn(t *testing.T) {
	e := newEngine(t, Config{BlockTokens: 16})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	run := func(req enginewire.RunRequest) []enginewire.Frame {
		body, err := json.Marshal(req)
		must.NoError(t, err)
		resp, err := http.Post(srv.URL+enginewire.PathRuns, "application/json", bytes.NewReader(body))
		must.NoError(t, err)
		defer resp.Body.Close()
		must.Eq(t, "text/event-stream", resp.Header.Get("Content-Type"))
		return parse(t, resp.Body)
	}
	prompt := strings.Repeat("heat 4711 charge ", 20) // 340 bytes, 85 tokens
	first := run(request("a", prompt, 30))
	must.Len(t, 32, first)
	for i, f := range first {
		must.Eq(t, i, f.Seq)
		must.Eq(t, "a", f.Run)
		must.Eq(t, e.Incarnation(), f.Incarnation)
		must.Eq(t, max(i-1, 0), f.Offset)
	}
	head, end := first[0], first[31]
	must.Eq(t, []string{"v1", "salt"}, []string{head.Version, head.CacheSalt})
	must.Eq(t, []int{85, 0}, []int{head.PromptTokens, head.CachedTokens})
	must.Eq(t, "length", end.Finish)
	must.Eq(t, 30, end.OutputTokens)
	must.Len(t, 7, end.Blocks) // 115 tokens
	must.Eq(t, 112, end.Blocks[6].EndToken)
	must.Eq(t, 16*DefaultBytesPerToken, end.Blocks[6].Bytes)

	must.Eq(t, 112, run(request("b", prompt+text(first)+"and then?", 4))[0].CachedTokens)
	other := request("c", prompt, 4)
	other.CacheSalt = "other account"
	must.Eq(t, 0, run(other)[0].CachedTokens)
	must.Eq(t, text(first), text(run(request("d", prompt, 30))))
	must.NotEq(t, first[1].Text+first[1].Text, first[1].Text+first[2].Text)
	seeded := request("g", prompt, 30)
	seeded.Seed = 1
	must.NotEq(t, text(first), text(run(seeded)))

	rest := request("e", prompt, 20)
	rest.Continue = text(first[:11])
	continued := run(rest)
	must.Eq(t, text(first[11:]), text(continued))
	must.Eq(t, 95, continued[0].PromptTokens)

	ids := request("f", "", 0)
	ids.PromptIDs = []int{1, 2, 3, 1 << 31, 5}
	byID := run(ids)
	must.Eq(t, 5, byID[0].PromptTokens)
	must.Eq(t, "stop", byID[len(byID)-1].Finish)
}

func TestRun_Refusals(t *testing.T) {
	e := newEngine(t, Config{MaxContext: 100})
	must.Eq(t, http.StatusOK, start(e, request("used", "x", 1)).Code)
	change := func(edit func(*enginewire.RunRequest)) enginewire.RunRequest {
		req := request("new", "prompt", 4)
		edit(&req)
		return req
	}
	cases := map[string]struct {
		req    enginewire.RunRequest
		faults Faults
		status int
		code   enginewire.ErrorCode
		ran    bool // not_run is false
	}{
		"version":  {req: change(func(r *enginewire.RunRequest) { r.Version = "v2" }), status: 409, code: enginewire.ErrNotLoaded},
		"adapter":  {req: change(func(r *enginewire.RunRequest) { r.Adapter = "a" }), status: 409, code: enginewire.ErrNotLoaded},
		"used id":  {req: change(func(r *enginewire.RunRequest) { r.Run = "used" }), status: 409, code: enginewire.ErrRunExists},
		"too long": {req: change(func(r *enginewire.RunRequest) { r.MaxTokens = 99 }), status: 400, code: enginewire.ErrTooLong},
		"empty":    {req: change(func(r *enginewire.RunRequest) { r.Prompt = "" }), status: 400, code: enginewire.ErrBadRequest},
		"token id": {req: change(func(r *enginewire.RunRequest) { r.PromptIDs = []int{-1} }), status: 400, code: enginewire.ErrBadRequest},
		"refused":  {req: request("new", "p", 1), faults: Faults{RefuseOverloaded: true}, status: 429, code: enginewire.ErrOverloaded},
		"failed":   {req: request("new", "p", 1), faults: Faults{FailEvery: 1}, status: 500, code: enginewire.ErrInternal, ran: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e.Faults.Set(c.faults)
			s := start(e, c.req)
			got := s.error(t)
			must.Eq(t, c.status, s.Code)
			must.Eq(t, c.code, got.Code)
			must.Eq(t, !c.ran, got.NotRun)
		})
	}
	e.Faults.Set(Faults{FailEvery: 2})
	codes := []int{start(e, request("x", "p", 1)).Code, start(e, request("y", "p", 1)).Code}
	must.SliceContainsAll(t, []int{200, 500}, codes)
}

func TestFrames_Allocations(t *testing.T) {
	const more = 1000
	e := newEngine(t, Config{})
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	cost := func(tokens int) float64 {
		r, err := e.newRun(new(request("a", "prompt", tokens)))
		must.Nil(t, err)
		must.Nil(t, e.submit(r))
		defer delete(e.runs, "a")
		return testing.AllocsPerRun(5, func() { e.follow(discard{}, req, r, 0) })
	}
	perToken := (cost(2*more) - cost(more)) / more
	must.LessEq(t, maxAllocations, perToken)
}

// discard is a ResponseWriter that discards the response.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}

func jsonDecode[T any](s *sink, out *T) error { return json.Unmarshal(s.Body.Bytes(), out) }
