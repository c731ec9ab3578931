package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cherryward/cherryward/internal/runid"
	"github.com/cherryward/cherryward/internal/runs"
)

// bufferedSink collects the whole answer in memory.
type bufferedSink struct {
	text strings.Builder
	gaps gapTimer
}

var _ runs.Sink = (*bufferedSink)(nil)

// Started implements runs.Sink.
func (w *bufferedSink) Started(runs.Start) error { return nil }

// Tokens implements runs.Sink.
func (w *bufferedSink) Tokens(_ string, _ int, text string) error {
	w.gaps.token(time.Now())
	w.text.WriteString(text)
	return nil
}

// bufferedPrompt runs a prompt and sends its answer as one JSON body once the
// answer is complete.
func (s *Server) bufferedPrompt(c echo.Context, body *common, req *runs.Request, object string) error {
	info := requestOf(c)
	sink := &bufferedSink{}
	sum, err := s.Runner.Run(c.Request().Context(), req, sink)
	info.summary, info.gaps = sum, sink.gaps.gaps
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, newCompletion(body.Model, object, sum, sink.text.String(), info.startedAt))
}

func newCompletion(model, object string, sum runs.Summary, text string, created time.Time) *completion {
	ch := choice{FinishReason: &sum.Finish}
	if object == objectChat {
		ch.Message = &answerMessage{Role: assistantRole, Content: text}
	} else {
		ch.Text = &text
	}
	return &completion{ID: sum.Run, Object: object, Created: created.Unix(), Model: model, Choices: []choice{ch}, Usage: usageOf(sum)}
}

func usageOf(sum runs.Summary) usage {
	return usage{
		PromptTokens:     sum.PromptTokens,
		CompletionTokens: sum.OutputTokens,
		TotalTokens:      sum.PromptTokens + sum.OutputTokens,
		PromptTokensDetails: promptDetails{
			CachedTokens:     sum.CachedTokens,
			ImportedTokens:   min(sum.ImportedTokens, sum.CachedTokens),
			TransferredBytes: sum.ImportedBytes,
		},
	}
}

// streamPrompt runs a prompt and sends each token as a server-sent event.
func (s *Server) streamPrompt(c echo.Context, body *common, req *runs.Request, object string) error {
	info := requestOf(c)
	sink := newStreamSink(c, body.Model, chunkObject(object), info.startedAt)
	sum, err := s.Runner.Run(c.Request().Context(), req, sink)
	info.summary, info.gaps = sum, sink.gaps.gaps
	if err != nil {
		return sink.fail(err, info.id)
	}
	return sink.finish(sum, body.includesUsage())
}

func (c *common) includesUsage() bool {
	return c.StreamOptions != nil && c.StreamOptions.IncludeUsage
}

// chunkObject returns the "object" value of the chunks of a streamed answer.
func chunkObject(object string) string {
	if object == objectChat {
		return objectChatChunk
	}
	return object
}

// resumeRun serves GET /v1/runs/{run}. It continues after the event of the
// Last-Event-ID header, or from the first token if the header is missing.
func (s *Server) resumeRun(c echo.Context) error {
	id := c.Request().Header.Get(headerLastEventID)
	if id == "" {
		id = runid.EventID(c.Param("run"), 0)
	}
	object := objectChatChunk
	if c.QueryParam("object") == objectCompletion {
		object = objectCompletion
	}
	return s.resume(c, id, object)
}

// resume streams the rest of a run that an engine still has. Only the account
// that started the run can resume it.
func (s *Server) resume(c echo.Context, eventID, object string) error {
	setReadDeadline(c, time.Time{}) // the body is not read, so it needs no deadline
	info := requestOf(c)
	info.isPrompt = true
	run, offset, err := runid.ParseEventID(eventID)
	if err != nil {
		return err
	}
	deadline, err := s.deadline(c, info.startedAt)
	if err != nil {
		return err
	}
	sink := newStreamSink(c, "", object, info.startedAt)
	sink.setResumeOffset(offset)
	req := runs.ResumeRequest{Account: info.accountID, Run: run, Offset: offset, Deadline: deadline}
	sum, err := s.Runner.Resume(c.Request().Context(), req, sink)
	info.summary, info.gaps = sum, sink.gaps.gaps
	if err != nil {
		return sink.fail(err, info.id)
	}
	return sink.finish(sum, false)
}
