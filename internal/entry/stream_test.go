package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/runs"
)

// recordedEngine answers each run with the same number of tokens from memory.
type recordedEngine struct {
	runs.Engines
	tokens int
	body   bytes.Reader
	frames []byte
	run    string
}

// tokenText returns the text of the ith token. Every eighth one needs JSON escapes, as
// newlines in code do.
func tokenText(i int) string {
	if i%8 == 0 {
		return "\n\t\"é"
	}
	return fmt.Sprint(" word", i%10)
}

// Start implements runs.Engines. The frames are encoded once; later runs replace the
// run id in them.
func (e *recordedEngine) Start(_ context.Context, _ string, req *enginewire.RunRequest) (*engine.Stream, error) {
	if e.frames == nil {
		e.record(req)
	}
	e.body.Reset(bytes.ReplaceAll(e.frames, []byte(e.run), []byte(req.Run)))
	return engine.NewStream(io.NopCloser(&e.body)), nil
}

func (e *recordedEngine) record(req *enginewire.RunRequest) {
	e.run = req.Run
	add := func(f enginewire.Frame) {
		f.Run, f.Incarnation = req.Run, "0123456789abcdef"
		data, _ := json.Marshal(f) // can't fail for a Frame
		e.frames = append(append(append(e.frames, "data: "...), data...), "\n\n"...)
	}
	add(enginewire.Frame{Kind: enginewire.FrameStart, Version: req.Version, CacheSalt: req.CacheSalt, PromptTokens: 9})
	for i := range e.tokens {
		add(enginewire.Frame{Seq: i + 1, Kind: enginewire.FrameTokens, Offset: i, Tokens: 1, Text: tokenText(i)})
	}
	add(enginewire.Frame{Seq: e.tokens + 1, Kind: enginewire.FrameEnd, OutputTokens: e.tokens, Finish: "stop"})
}

// Place implements runs.Placer.
func (e *recordedEngine) Place(context.Context, *runs.Request, []string) (runs.Grant, error) {
	return fakeGrant{&pb.Endpoint{Name: "engine-1"}}, nil
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header       { return d.header }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Flush()                      {}

// streamOnce streams one answer from the engine's frames to the caller's events.
func streamOnce(t testing.TB, e *recordedEngine, w http.ResponseWriter, object string) {
	salter, err := kvcache.NewSalter(key)
	must.NoError(t, err)
	d := &runs.Dispatcher{Key: key, Salter: salter, Engines: e, Placer: e, Budget: noopServices{}}
	c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), w)
	req := &runs.Request{Account: "mill", Model: "melt", Version: "v1", Prompt: "heat", MaxTokens: e.tokens, Deadline: time.Now().Add(time.Minute)}
	sink := newStreamSink(c, "melt", object, time.Now())
	sum, err := d.Run(t.Context(), req, sink)
	must.NoError(t, err)
	must.Eq(t, e.tokens, sum.OutputTokens)
	must.NoError(t, sink.finish(sum, true))
}

// TestStreamedEvents parses the events of a stream as a client does and checks their
// ids, text and usage.
func TestStreamedEvents(t *testing.T) {
	const tokens = 40
	for _, object := range []string{objectChatChunk, objectCompletion} {
		rec := httptest.NewRecorder()
		streamOnce(t, &recordedEngine{tokens: tokens}, rec, object)
		var text, want strings.Builder
		offset := -1
		events := strings.Split(strings.TrimSuffix(rec.Body.String(), "\n\n"), "\n\n")
		must.Eq(t, "data: [DONE]", events[len(events)-1])
		for _, event := range events[:len(events)-1] {
			id, data, _ := strings.Cut(event, "\ndata: ")
			var c chunk
			must.NoError(t, json.Unmarshal([]byte(data), &c))
			must.Eq(t, object, c.Object)
			must.Eq(t, "melt", c.Model)
			offsetText := id[strings.LastIndex(id, ":")+1:]
			must.Eq(t, fmt.Sprintf("id: %s:%s", c.ID, offsetText), id)
			if len(c.Choices) == 0 {
				must.Eq(t, tokens, c.Usage.CompletionTokens)
				continue
			}
			if object == objectCompletion {
				text.WriteString(*c.Choices[0].Text)
			} else {
				text.WriteString(c.Choices[0].Delta.Content)
			}
			_, err := fmt.Sscan(offsetText, &offset)
			must.NoError(t, err)
		}
		for i := range tokens {
			want.WriteString(tokenText(i))
		}
		must.Eq(t, want.String(), text.String())
		must.Eq(t, tokens, offset)
	}
}

// TestAllocationsPerToken bounds the allocations per token between the engine's
// stream and the caller's. The difference between a short and a long answer excludes
// the fixed cost of a request.
func TestAllocationsPerToken(t *testing.T) {
	const short, long = 100, 1100
	cost := func(tokens int) (allocs, size float64) {
		e := &recordedEngine{tokens: tokens}
		streamOnce(t, e, discardWriter{http.Header{}}, objectChatChunk)
		var before, after runtime.MemStats
		const runs = 20
		runtime.ReadMemStats(&before)
		for range runs {
			streamOnce(t, e, discardWriter{http.Header{}}, objectChatChunk)
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / runs, float64(after.TotalAlloc-before.TotalAlloc) / runs
	}
	shortAllocs, shortSize := cost(short)
	longAllocs, longSize := cost(long)
	// The text needs one allocation, and a second one if it has escapes, as every
	// eighth token does. The sizes include the frames, which recordedEngine copies.
	allocs, size := (longAllocs-shortAllocs)/(long-short), (longSize-shortSize)/(long-short)
	t.Logf("%.2f allocations and %.0f bytes a token", allocs, size)
	must.LessEq(t, maxAllocsPerToken, allocs)
	must.LessEq(t, maxBytesPerToken, size)
}

func BenchmarkToken(b *testing.B) {
	const tokens = 1000
	for _, object := range []string{objectChatChunk, objectCompletion} {
		b.Run(object, func(b *testing.B) {
			e := &recordedEngine{tokens: tokens}
			b.ReportAllocs()
			for b.Loop() {
				streamOnce(b, e, discardWriter{http.Header{}}, object)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
		})
	}
}
