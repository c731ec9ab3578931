package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/result"
)

// seeds are streams that cover malformed, duplicated and unusual input.
var seeds = []string{
	"data: {\"run\":\"a\",\"incarnation\":\"i\",\"seq\":1,\"kind\":\"tokens\",\"offset\":3,\"tokens\":1,\"text\":\"\\n\\u00e9\"}\n\ndata:{\"run\":\"a\"}\r\n",
	"data: {\"kind\":\"end\",\"blocks\":[{\"id\":\"b\",\"end_token\":2000}],\"output_tokens\":4}\n",
	"data: {\"run\":\"a\",\"text\":\"x\",\"error\":{\"code\":\"internal\"}}\ndata: {}\n",
	"data: {\"RUN\":\"a\",\"run\":null,\"kind\":\"\\u0074okens\"}\ndata: {\"run\":\"b\"} \n",
	"data: {\"run\":5,\"run\":\"a\"}\n",
	"data: {\"run\":\"a\"}{\"run\":\"b\"}\ndata: {}\n",
	"data: {\"run\":\"a\"} x\n",
	"data: \ndata: {}\n",
	"data: {\"run\":\"a\ndata: \"}\n",
	"data: null\n: note\nevent: x\ndata: [1]\n",
	"data: {\"seq\":1e99}\n",
	"data: {\"blocks\":[" + strings.Repeat("{},", 500) + "{}]}\n",
	strings.Repeat("[", 20000),
	"data: " + strings.Repeat("[", 20000),
}

// checkStream reads data as a stream and checks that each frame equals what encoding/json decodes
// from its line, and that the first invalid line ends the stream with an error.
func checkStream(t *testing.T, data []byte) {
	s := NewStream(io.NopCloser(bytes.NewReader(data)))
	lines := bytes.Split(data, []byte("\n"))
	for {
		var got, want enginewire.Frame
		err := s.Next(&got)
		for len(lines) > 0 && !bytes.HasPrefix(lines[0], dataPrefix) {
			lines = lines[1:]
		}
		if len(lines) == 0 {
			must.ErrorIs(t, err, io.EOF)
			return
		}
		if len(lines[0]) < maxFrameBytes && json.Unmarshal(lines[0][len(dataPrefix):], &want) == nil {
			must.NoError(t, err)
			must.Eq(t, want, got)
			lines = lines[1:]
			continue
		}
		must.Eq(t, result.AnswerMalformed, result.From(err).Code)
		must.False(t, errors.Is(err, io.EOF))
		return
	}
}

// FuzzStream checks the decoded frames and bounds the memory allocated for the bytes of an engine.
func FuzzStream(f *testing.F) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkStream(t, data)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		s := NewStream(io.NopCloser(bytes.NewReader(data)))
		var frame enginewire.Frame
		for s.Next(&frame) == nil {
		}
		runtime.ReadMemStats(&after)
		must.LessEq(t, 256<<10+uint64(len(data))*128, after.TotalAlloc-before.TotalAlloc)
	})
}

// TestStreamAfterAnError checks that reading can continue after an invalid frame, and that nothing
// of it appears in the next frame.
func TestStreamAfterAnError(t *testing.T) {
	for _, bad := range []string{`{"run":"x","text":"x"`, `{"run":"x"}{"text":"x"}`, `{"run":1}`, ``} {
		s := NewStream(io.NopCloser(strings.NewReader(fmt.Sprintf("data: {\"run\":\"a\"}\ndata: %s\ndata: {\"seq\":2}\n", bad))))
		var frame enginewire.Frame
		must.NoError(t, s.Next(&frame))
		must.Error(t, s.Next(&frame))
		must.NoError(t, s.Next(&frame))
		must.Eq(t, enginewire.Frame{Seq: 2}, frame)
	}
}

func TestFrameTooLong(t *testing.T) {
	checkStream(t, []byte("data: \""+strings.Repeat("x", 2*maxFrameBytes)+"\"\n"))
}
