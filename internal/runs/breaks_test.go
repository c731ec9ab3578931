package runs

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
)

// TestMain fixes the seed of the properties unless a flag asks for another.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "21"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

const wholeText = "abcdef"

// broken is what becomes of one stream of an engine.
type broken struct {
	refused error // in place of a stream
	whole   bool
	frames  int // whole frames that come of it
	bytes   int // that come of the next frame
	tail    string
}

// of returns what comes of a stream.
func (b broken) of(stream, run string) string {
	if b.whole {
		return stream
	}
	lines := strings.SplitAfter(stream, "\n\n")
	n := min(b.frames, len(lines)-1)
	return strings.Join(lines[:n], "") + lines[n][:min(b.bytes, len(lines[n]))] + strings.ReplaceAll(b.tail, "RUN", run)
}

// breaking is an engine whose answer is wholeText, a letter a token, and whose streams break as
// they are told; those behind are whole.
type breaking struct {
	fake
	streams []broken
	bases   map[string]int // tokens before a run
	salts   map[string]string
	starts  int
}

func (b *breaking) Place(context.Context, *Request, []string) (Grant, error) { return b, nil }

func (b *breaking) Start(_ context.Context, _ string, req *enginewire.RunRequest) (*engine.Stream, error) {
	b.starts++
	b.bases[req.Run], b.salts[req.Run] = len(req.Continue), req.CacheSalt
	return b.stream(req.Run, 0)
}

func (b *breaking) Resume(_ context.Context, _, run string, offset int) (*engine.Stream, error) {
	return b.stream(run, offset)
}

func (b *breaking) stream(run string, from int) (*engine.Stream, error) {
	now := broken{whole: true}
	if len(b.streams) > 0 {
		now, b.streams = b.streams[0], b.streams[1:]
	}
	if now.refused != nil {
		return nil, now.refused
	}
	text := now.of(b.frames(run, from), run)
	return engine.NewStream(io.NopCloser(iotest.OneByteReader(strings.NewReader(text)))), nil
}

func (b *breaking) frames(run string, from int) string {
	var text strings.Builder
	add := func(f enginewire.Frame) {
		f.Run, f.Incarnation = run, "i"
		data, _ := json.Marshal(f) // frames always encode
		text.WriteString("data: " + string(data) + "\n\n")
	}
	own := wholeText[b.bases[run]:]
	add(enginewire.Frame{Kind: enginewire.FrameStart, CacheSalt: b.salts[run]})
	for i := from; i < len(own); i++ {
		add(enginewire.Frame{Kind: enginewire.FrameTokens, Offset: i, Tokens: 1, Text: own[i : i+1]})
	}
	add(enginewire.Frame{Kind: enginewire.FrameEnd, OutputTokens: len(own), Finish: "stop"})
	return text.String()
}

// run answers a request of so many tokens at most, and returns what the caller got.
func (b *breaking) run(t must.T, maxTokens int, once bool) (string, error) {
	b.bases, b.salts = make(map[string]int), make(map[string]string)
	salter, err := kvcache.NewSalter(key)
	must.NoError(t, err)
	d := &Dispatcher{Key: key, Salter: salter, Engines: b, Placer: b, Budget: b}
	sink := &text{}
	_, err = d.Run(context.Background(), &Request{Account: "a", Prompt: "p", MaxTokens: maxTokens, Deadline: time.Now().Add(time.Minute), Once: once}, sink)
	return sink.got, err
}

// The tails of broken streams, with RUN in place of the run's id. None is what the run itself could
// say next, which nothing could tell from its answer.
var tails = []string{
	"",
	"\n<html>502 Bad Gateway</html>\n",
	"\ndata: {\"run\":\"RUN\"",
	"\ndata: {\"run\":\"other\",\"incarnation\":\"i\",\"kind\":\"tokens\",\"offset\":0,\"tokens\":9,\"text\":\"X\"}\n",
	"\ndata: {\"run\":\"RUN\",\"incarnation\":\"i\",\"kind\":\"tokens\",\"offset\":7,\"tokens\":1,\"text\":\"f\"}\n",
	"\ndata: {\"run\":\"RUN\",\"incarnation\":\"i\",\"kind\":\"end\",\"output_tokens\":6}\n",
	"\ndata: {\"run\":\"RUN\",\"incarnation\":\"i\",\"kind\":\"end\",\"output_tokens\":7}\n",
	"\ndata: {\"run\":\"RUN\",\"incarnation\":\"i\",\"kind\":\"error\",\"error\":{\"code\":\"internal\"}}\n",
	"\ndata: {\"run\":\"RUN\",\"incarnation\":\"j\",\"kind\":\"end\",\"output_tokens\":6}\n",
}

func drawBroken(t *rapid.T) broken {
	refusals := []error{nil, nil, nil, result.New(result.EndpointRefused), result.New(result.EndpointBrokeOff), result.New(result.EndpointUnreachable)}
	return broken{
		refused: rapid.SampledFrom(refusals).Draw(t, "refused"),
		whole:   rapid.IntRange(0, 9).Draw(t, "whole") == 0,
		frames:  rapid.IntRange(0, 8).Draw(t, "frames"),
		bytes:   rapid.SampledFrom([]int{0, 0, 1, 40, 80, 1000}).Draw(t, "bytes"),
		tail:    rapid.SampledFrom(tails).Draw(t, "tail"),
	}
}

// TestCallerGetsAPrefix: wherever the streams of an answer break, and whatever comes in their
// place, a caller gets the beginning of the true answer, and a success only with all of it.
func TestCallerGetsAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &breaking{streams: rapid.SliceOfN(rapid.Custom(drawBroken), 0, 12).Draw(t, "streams")}
		got, err := b.run(t, rapid.IntRange(len(wholeText), 9).Draw(t, "max"), false)
		must.StrHasPrefix(t, got, wholeText)
		if err == nil {
			must.Eq(t, wholeText, got)
		}
	})
}

// TestOnceIsNotBegunAgainBehindTokens: an engine that has sent tokens has run the request,
// whatever it says then.
func TestOnceIsNotBegunAgainBehindTokens(t *testing.T) {
	const notRun = "\ndata: {\"run\":\"RUN\",\"incarnation\":\"i\",\"kind\":\"error\",\"error\":{\"code\":\"leaving\",\"not_run\":true}}\n"
	b := &breaking{streams: []broken{{frames: 3, tail: notRun}}}
	got, err := b.run(t, len(wholeText), true)
	must.Eq(t, "ab", got)
	must.Eq(t, result.MayHaveRun, result.From(err).RunState)
	must.Eq(t, 1, b.starts)
}
