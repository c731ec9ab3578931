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

// TestMain sets a fixed seed for the property tests unless a flag sets another one.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "21"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

const completeText = "abcdef"

// streamFault describes how one stream of an engine breaks off.
type streamFault struct {
	refused  error // returned instead of a stream
	complete bool
	frames   int    // complete frames delivered
	bytes    int    // bytes delivered of the next frame
	tail     string // sent after the break
}

// apply returns the part of a stream that is delivered.
func (f streamFault) apply(stream, run string) string {
	if f.complete {
		return stream
	}
	lines := strings.SplitAfter(stream, "\n\n")
	n := min(f.frames, len(lines)-1)
	return strings.Join(lines[:n], "") + lines[n][:min(f.bytes, len(lines[n]))] + strings.ReplaceAll(f.tail, "RUN", run)
}

// faultyEngine is an engine that answers completeText, one letter per token. Its first streams
// break off as described by streams; the following ones are complete.
type faultyEngine struct {
	scriptedEngine
	streams []streamFault
	bases   map[string]int // by run id: tokens of the answer before the run
	salts   map[string]string
	starts  int
}

func (e *faultyEngine) Place(context.Context, *Request, []string) (Grant, error) { return e, nil }

func (e *faultyEngine) Start(_ context.Context, _ string, req *enginewire.RunRequest) (*engine.Stream, error) {
	e.starts++
	e.bases[req.Run], e.salts[req.Run] = len(req.Continue), req.CacheSalt
	return e.stream(req.Run, 0)
}

func (e *faultyEngine) Resume(_ context.Context, _, run string, offset int) (*engine.Stream, error) {
	return e.stream(run, offset)
}

func (e *faultyEngine) stream(run string, from int) (*engine.Stream, error) {
	fault := streamFault{complete: true}
	if len(e.streams) > 0 {
		fault, e.streams = e.streams[0], e.streams[1:]
	}
	if fault.refused != nil {
		return nil, fault.refused
	}
	text := fault.apply(e.frames(run, from), run)
	return engine.NewStream(io.NopCloser(iotest.OneByteReader(strings.NewReader(text)))), nil
}

// frames returns the complete stream of a run from a token offset on.
func (e *faultyEngine) frames(run string, from int) string {
	var text strings.Builder
	add := func(f enginewire.Frame) {
		f.Run, f.Incarnation = run, "i"
		data, _ := json.Marshal(f) // frames always encode
		text.WriteString("data: " + string(data) + "\n\n")
	}
	own := completeText[e.bases[run]:]
	add(enginewire.Frame{Kind: enginewire.FrameStart, CacheSalt: e.salts[run]})
	for i := from; i < len(own); i++ {
		add(enginewire.Frame{Kind: enginewire.FrameTokens, Offset: i, Tokens: 1, Text: own[i : i+1]})
	}
	add(enginewire.Frame{Kind: enginewire.FrameEnd, OutputTokens: len(own), Finish: "stop"})
	return text.String()
}

// run runs a request with the given token limit and returns the text that the caller received.
func (e *faultyEngine) run(t must.T, maxTokens int, once bool) (string, error) {
	e.bases, e.salts = make(map[string]int), make(map[string]string)
	salter, err := kvcache.NewSalter(key)
	must.NoError(t, err)
	d := &Dispatcher{Key: key, Salter: salter, Engines: e, Placer: e, Budget: e}
	sink := &textSink{}
	_, err = d.Run(context.Background(), &Request{Account: "a", Prompt: "p", MaxTokens: maxTokens, Deadline: time.Now().Add(time.Minute), Once: once}, sink)
	return sink.received, err
}

// garbage holds texts sent after a stream broke off, with RUN in place of the run's id. None of them
// is a frame that the run could send next, since that could not be distinguished from the correct
// answer.
var garbage = []string{
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

func drawStreamFault(t *rapid.T) streamFault {
	refusals := []error{nil, nil, nil, result.New(result.EndpointRejected), result.New(result.EndpointFailed), result.New(result.EndpointUnreachable)}
	return streamFault{
		refused:  rapid.SampledFrom(refusals).Draw(t, "refused"),
		complete: rapid.IntRange(0, 9).Draw(t, "whole") == 0,
		frames:   rapid.IntRange(0, 8).Draw(t, "frames"),
		bytes:    rapid.SampledFrom([]int{0, 0, 1, 40, 80, 1000}).Draw(t, "bytes"),
		tail:     rapid.SampledFrom(garbage).Draw(t, "tail"),
	}
}

// TestCallerGetsAPrefix checks that wherever the streams of an answer break off, and whatever
// follows the break, a caller receives a prefix of the correct answer, and success only with all of
// it.
func TestCallerGetsAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &faultyEngine{streams: rapid.SliceOfN(rapid.Custom(drawStreamFault), 0, 12).Draw(t, "streams")}
		got, err := e.run(t, rapid.IntRange(len(completeText), 9).Draw(t, "max"), false)
		must.StrHasPrefix(t, got, completeText)
		if err == nil {
			must.Eq(t, completeText, got)
		}
	})
}

// TestOnceNotRetriedAfterTokens checks that a request with Once is not started again after tokens
// were delivered, even if the engine then states that it did not run.
func TestOnceNotRetriedAfterTokens(t *testing.T) {
	const notRun = "\ndata: {\"run\":\"RUN\",\"incarnation\":\"i\",\"kind\":\"error\",\"error\":{\"code\":\"leaving\",\"not_run\":true}}\n"
	e := &faultyEngine{streams: []streamFault{{frames: 3, tail: notRun}}}
	got, err := e.run(t, len(completeText), true)
	must.Eq(t, "ab", got)
	must.Eq(t, result.MayHaveRun, result.From(err).RunState)
	must.Eq(t, 1, e.starts)
}
