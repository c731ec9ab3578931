package entry

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

// streamSink sends an answer to the caller as server-sent events.
type streamSink struct {
	c       echo.Context
	chunk   chunk
	choice  *chunkChoice
	buf     bytes.Buffer
	enc     *json.Encoder
	started bool
	run     string
	offset  int
	gaps    gapTimer
}

var _ runs.Sink = (*streamSink)(nil)

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func newStreamSink(c echo.Context, model, object string, created time.Time) *streamSink {
	s := &streamSink{c: c}
	s.enc = json.NewEncoder(&s.buf)
	s.enc.SetEscapeHTML(false)
	s.chunk = chunk{Object: object, Created: created.Unix(), Model: model, Choices: make([]chunkChoice, 1)}
	s.choice = &s.chunk.Choices[0]
	if object == objectCompletion {
		s.choice.Text = new(string)
	} else {
		s.choice.Delta = &delta{Role: assistantRole}
	}
	return s
}

// Started implements runs.Sink. The first call sends the response header; calls for
// later engine runs of the same answer only set the run id.
func (s *streamSink) Started(start runs.Start) error {
	s.run = start.Run
	if s.started {
		return nil
	}
	s.started = true
	s.chunk.ID = start.Run
	s.setModel(start)
	h := s.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	s.c.Response().WriteHeader(http.StatusOK)
	if s.choice.Delta == nil || s.choice.Delta.Role == "" {
		s.c.Response().Flush()
		return nil
	}
	err := s.write()
	s.choice.Delta.Role = ""
	return err
}

// setModel sets the model of a resumed run, whose request does not name one.
func (s *streamSink) setModel(start runs.Start) {
	if s.chunk.Model != "" {
		return
	}
	s.chunk.Model = start.Model
	if start.Adapter != "" {
		s.chunk.Model += modelAdapterSeparator + start.Adapter
	}
}

// setResumeOffset prepares the sink for a run whose first offset tokens the caller
// has already received. If offset is positive, the caller has also received the role,
// which is not sent again.
func (s *streamSink) setResumeOffset(offset int) {
	if offset > 0 && s.choice.Delta != nil {
		s.choice.Delta.Role = ""
	}
}

// Tokens implements runs.Sink.
func (s *streamSink) Tokens(run string, offset int, text string) error {
	s.gaps.token(time.Now())
	s.run, s.offset = run, offset
	s.setText(text)
	return s.write()
}

func (s *streamSink) setText(text string) {
	if s.choice.Delta == nil {
		*s.choice.Text = text
		return
	}
	s.choice.Delta.Content = text
}

// write sends the current chunk as one event.
func (s *streamSink) write() error {
	s.buf.Reset()
	s.buf.WriteString("id: ")
	s.buf.WriteString(s.run)
	s.buf.WriteByte(':')
	s.buf.Write(strconv.AppendInt(s.buf.AvailableBuffer(), int64(s.offset), 10))
	s.buf.WriteString("\ndata: ")
	return s.send(&s.chunk)
}

func (s *streamSink) send(v any) error {
	if err := s.enc.Encode(v); err != nil {
		return err
	}
	s.buf.WriteByte('\n')
	if _, err := s.c.Response().Write(s.buf.Bytes()); err != nil {
		return err
	}
	s.c.Response().Flush()
	return nil
}

// finish ends a complete answer with the finish reason, the usage if requested, and
// [DONE].
func (s *streamSink) finish(sum runs.Summary, withUsage bool) error {
	s.setText("")
	s.choice.FinishReason = &sum.Finish
	if err := s.write(); err != nil {
		return result.Wrap(err, result.CallerDisconnected)
	}
	if withUsage {
		s.chunk.Choices = []chunkChoice{}
		u := usageOf(sum)
		s.chunk.Usage = &u
		if err := s.write(); err != nil {
			return result.Wrap(err, result.CallerDisconnected)
		}
	}
	_, err := s.c.Response().Write([]byte("data: [DONE]\n\n"))
	if err != nil {
		return result.Wrap(err, result.CallerDisconnected)
	}
	s.c.Response().Flush()
	return nil
}

// fail ends an answer with an error. If the stream has started, the error is its last
// event and no [DONE] follows, so that a caller can detect a partial answer.
func (s *streamSink) fail(err error, requestID string) error {
	if !s.started {
		return err
	}
	s.buf.Reset()
	s.buf.WriteString("data: ")
	_ = s.send(result.From(err).Body(requestID))
	return err
}

// gapTimer measures the times between tokens. For a long answer it keeps a uniform
// sample of them, so that the memory of a stream is bounded.
type gapTimer struct {
	last  time.Time
	count int // number of gaps so far
	gaps  []time.Duration
}

// maxGaps is the maximum number of samples per answer; they take 4 KiB per stream.
const maxGaps = 512

func (g *gapTimer) token(now time.Time) {
	if !g.last.IsZero() {
		g.add(now.Sub(g.last))
	}
	g.last = now
}

func (g *gapTimer) add(gap time.Duration) {
	g.count++
	if len(g.gaps) < maxGaps {
		g.gaps = append(g.gaps, gap)
		return
	}
	if i := rand.IntN(g.count); i < maxGaps {
		g.gaps[i] = gap
	}
}
