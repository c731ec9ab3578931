package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/rollout"
	"github.com/cherryward/cherryward/internal/runs"
	"github.com/cherryward/cherryward/internal/settings"
	enginestandin "github.com/cherryward/cherryward/standin/engine"
)

var key = []byte("0123456789abcdef0123456789abcdef")

// staticDirectory is a Directory and VersionSelector with a constant configuration.
type staticDirectory struct{ view *config.View }

func (f staticDirectory) View() *config.View { return f.view }

func (f staticDirectory) Serving(_ context.Context, view *config.View, model string, draw float64) (string, bool) {
	return rollout.ServingVersion(view, model, nil, draw)
}

type fakeGrant struct{ endpoint *pb.Endpoint }

func (g fakeGrant) Endpoint() *pb.Endpoint           { return g.endpoint }
func (g fakeGrant) ImportedContext() (int, int64)    { return 0, 0 }
func (g fakeGrant) FirstToken(runs.RunReport)        {}
func (g fakeGrant) FirstFrameTimeout() time.Duration { return time.Minute }
func (g fakeGrant) Done(runs.RunReport)              {}

// fakePlacer selects the first engine of the model that was not tried yet.
type fakePlacer struct{ staticDirectory }

func (p fakePlacer) Place(_ context.Context, req *runs.Request, tried []string) (runs.Grant, error) {
	engines := p.view.Engines(req.Model)
	if len(tried) >= len(engines) {
		return nil, result.New(result.NoEndpoint)
	}
	return fakeGrant{engines[len(tried)]}, nil
}

// noopServices accepts every request, records nothing, and is always ready.
type noopServices struct{}

func (noopServices) Succeeded()             {}
func (noopServices) Retry() bool            { return true }
func (noopServices) Request(RequestMetrics) {}
func (noopServices) Admit(context.Context, *pb.ClientAccount, int) (func(int), error) {
	return func(int) {}, nil
}
func (noopServices) ready() *result.Error                           { return nil }
func (noopServices) metrics(w http.ResponseWriter, _ *http.Request) {}

// serve starts a simulated engine for each config and a Server that uses them.
func serve(t *testing.T, configs ...enginestandin.Config) (string, []*enginestandin.Engine) {
	t.Helper()
	view := config.NewView()
	add := func(kind config.Kind, v config.Value) {
		view = view.With(config.Entry{Revision: view.Applied() + 1, Kind: kind, Name: v.GetName(), Value: v})
	}
	for _, account := range []string{"mill", "yard"} {
		add(config.KindAccount, &pb.ClientAccount{Name: account, KeyHashes: []string{config.HashKey("key-" + account)}})
	}
	add(config.KindModel, &pb.Model{Name: "melt", Version: "v1"})
	add(config.KindVersion, &pb.ModelVersion{Name: "melt@v1", Model: "melt", Version: "v1"})
	var engines []*enginestandin.Engine
	for i, c := range configs {
		c.Loaded = []enginewire.Loaded{{Model: "melt", Version: "v1"}}
		e := enginestandin.New(c)
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		engines = append(engines, e)
		add(config.KindEndpoint, &pb.Endpoint{Name: "engine-" + string(rune('a'+i)), Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE, Url: server.URL, Models: []string{"melt"}})
	}
	salter, err := kvcache.NewSalter(key)
	must.NoError(t, err)
	directory := staticDirectory{view}
	s := &Server{
		Limits:          settings.Default().Requests,
		Directory:       directory,
		VersionSelector: directory,
		Runner:          &runs.Dispatcher{Key: key, Salter: salter, Engines: engine.NewClient(), Placer: fakePlacer{directory}, Budget: noopServices{}, Directory: directory},
		Ready:           noopServices{}.ready,
		Recorder:        noopServices{},
		Admission:       noopServices{},
		Metrics:         noopServices{}.metrics,
		Key:             key,
		Log:             zerolog.Nop(),
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return server.URL, engines
}

func post(t *testing.T, url, bearer, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+bearer)
	for i := 0; i < len(headers) && headers[i] != ""; i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(data)
}

func TestLongerPromptReusesCachedPrefix(t *testing.T) {
	url, _ := serve(t, enginestandin.Config{BlockTokens: 64, TimeScale: 0})
	history := strings.Repeat("Heat 4711 poured at 09:12. ", 100)
	complete := func(prompt string) completion {
		body, err := json.Marshal(map[string]any{"model": "melt", "prompt": prompt, "max_tokens": 8})
		must.NoError(t, err)
		resp, text := post(t, url+"/v1/completions", "key-mill", string(body))
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(text))
		var out completion
		must.NoError(t, json.Unmarshal([]byte(text), &out))
		must.Eq(t, 8, out.Usage.CompletionTokens)
		return out
	}
	must.Eq(t, 0, complete(history).Usage.PromptTokensDetails.CachedTokens)
	second := complete(history + "And the next heat? ")
	must.GreaterEq(t, 600, second.Usage.PromptTokensDetails.CachedTokens)
}

func TestStreamCarriesEventIDsAndIsResumable(t *testing.T) {
	url, _ := serve(t, enginestandin.Config{TimeScale: 0})
	body := `{"model":"melt","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"pass or hold?"}]}`
	_, text := post(t, url+"/v1/chat/completions", "key-mill", body)
	must.StrContains(t, text, "data: [DONE]")
	fullText := contents(t, text)
	id := eventID(text, 3)
	resp, rest := post(t, url+"/v1/chat/completions", "key-mill", "", "Last-Event-ID", id)
	must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(rest))
	must.StrHasSuffix(t, contents(t, rest), fullText)
	must.StrNotContains(t, rest, `"role"`, must.Sprint("a resumed stream must not repeat the role"))
	must.StrContains(t, rest, `"model":"melt"`)
	must.StrNotContains(t, rest, `"model":""`)
	must.StrContains(t, rest, "data: [DONE]")
	resp, other := post(t, url+"/v1/chat/completions", "key-yard", "", "Last-Event-ID", id)
	must.Eq(t, http.StatusNotFound, resp.StatusCode)
	must.StrContains(t, other, `"number":1012`)
}

// contents returns the concatenated text of a stream's chunks.
func contents(t *testing.T, stream string) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var c chunk
		must.NoError(t, json.Unmarshal([]byte("{"+data), &c))
		if len(c.Choices) > 0 && c.Choices[0].Delta != nil {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// eventID returns the nth event id of a stream.
func eventID(stream string, n int) string {
	for line := range strings.Lines(stream) {
		id, ok := strings.CutPrefix(line, "id: ")
		if !ok {
			continue
		}
		if n == 0 {
			return strings.TrimSpace(id)
		}
		n--
	}
	return ""
}

func TestBadRequestsReturnCodeAndField(t *testing.T) {
	url, _ := serve(t, enginestandin.Config{TimeScale: 0})
	chat := func(extra string) string {
		return `{"model":"melt","messages":[{"role":"user","content":"x"}]` + extra + `}`
	}
	cases := []struct {
		name, bearer, body, header, value string
		status                            int
		code                              result.Code
		field                             string
	}{
		{"unknown key", "nobody", chat(""), "", "", 401, result.UnknownKey, "Authorization"},
		{"malformed body", "key-mill", `{"model"`, "", "", 400, result.MalformedBody, ""},
		{"two bodies", "key-mill", chat("") + chat(""), "", "", 400, result.MalformedBody, ""},
		{"unknown field", "key-mill", chat(`,"tools":[]`), "", "", 400, result.UnknownField, "tools"},
		{"wrong type", "key-mill", chat(`,"max_tokens":"x"`), "", "", 400, result.InvalidValue, "max_tokens"},
		{"too many answers", "key-mill", chat(`,"n":2`), "", "", 400, result.InvalidValue, "n"},
		{"unknown model", "key-mill", strings.Replace(chat(""), "melt", "none", 1), "", "", 404, result.UnknownModel, "model"},
		{"unknown adapter", "key-mill", strings.Replace(chat(""), "melt", "melt:x", 1), "", "", 404, result.UnknownAdapter, "model"},
		{"bad role", "key-mill", strings.Replace(chat(""), "user", "robot", 1), "", "", 400, result.InvalidValue, "messages.role"},
		{"bad priority", "key-mill", chat(""), headerPriority, "urgent", 400, result.BadPriority, headerPriority},
		{"bad timeout", "key-mill", chat(""), headerTimeout, "soon", 400, result.BadTimeout, headerTimeout},
		{"bad event id", "key-mill", chat(""), headerLastEventID, "x", 400, result.BadEventID, headerLastEventID},
		{"oversized body", "key-mill", chat(`,"user":"` + strings.Repeat("x", 9<<20) + `"`), "", "", 413, result.BodyTooLarge, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, text := post(t, url+"/v1/chat/completions", c.bearer, c.body, c.header, c.value)
			var body result.Body
			must.NoError(t, json.Unmarshal([]byte(text), &body), must.Sprint(text))
			must.Eq(t, c.code, body.Error.Number, must.Sprint(text))
			must.Eq(t, c.status, resp.StatusCode)
			must.Eq(t, result.NotRun, body.Error.RunState)
			must.Eq(t, resp.Header.Get(headerRequestID), body.Error.RequestID)
			if c.field != "" {
				must.Eq(t, c.field, *body.Error.Param)
			}
		})
	}
}

func TestDeadlineEndsWaitingRequest(t *testing.T) {
	url, _ := serve(t, enginestandin.Config{TimeScale: 1, PrefillSpeed: 1})
	body := `{"model":"melt","prompt":"a prompt that takes seconds to compute","max_tokens":4}`
	started := time.Now()
	resp, text := post(t, url+"/v1/completions", "key-mill", body, headerTimeout, "100ms")
	must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode, must.Sprint(text))
	must.Less(t, 5*time.Second, time.Since(started))
}

// TestReadDeadlineIsRemovedAfterBody checks that a read deadline applies while the body
// is received, and that it is removed afterwards so that it can't end a long answer.
func TestReadDeadlineIsRemovedAfterBody(t *testing.T) {
	var deadlines []time.Time
	recorder := deadlineRecorder{httptest.NewRecorder(), &deadlines}
	account := &pb.ClientAccount{Name: "mill", KeyHashes: []string{config.HashKey("key-mill")}}
	view := config.NewView().With(config.Entry{Revision: 1, Kind: config.KindAccount, Name: "mill", Value: account})
	s := &Server{Log: zerolog.Nop(), Recorder: noopServices{}, Directory: staticDirectory{view}, Ready: noopServices{}.ready, Metrics: noopServices{}.metrics, Limits: settings.Default().Requests}
	req := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"none","prompt":"x"}`))
	req.Header.Set("Authorization", "Bearer key-mill")
	s.Handler().ServeHTTP(recorder, req)
	must.Eq(t, http.StatusNotFound, recorder.Code)
	must.Len(t, 2, deadlines)
	must.False(t, deadlines[0].IsZero())
	must.True(t, deadlines[1].IsZero())
}

type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines *[]time.Time
}

func (r deadlineRecorder) SetReadDeadline(at time.Time) error {
	*r.deadlines = append(*r.deadlines, at)
	return nil
}
