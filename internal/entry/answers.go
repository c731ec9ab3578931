package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cherryward/cherryward/internal/runid"
	"github.com/cherryward/cherryward/internal/runs"
)

// wholeSink collects an answer.
type wholeSink struct {
	text strings.Builder
	gaps gapTimer
}

var _ runs.Sink = (*wholeSink)(nil)

// Started implements runs.Sink.
func (w *wholeSink) Started(runs.Start) error { return nil }

// Tokens implements runs.Sink.
func (w *wholeSink) Tokens(_ string, _ int, text string) error {
	w.gaps.token(time.Now())
	w.text.WriteString(text)
	return nil
}

// wholePrompt answers with one JSON body, sent only when the answer is whole.
func (s *Server) wholePrompt(c echo.Context, body *common, req *runs.Request, object string) error {
	info := requestOf(c)
	sink := &wholeSink{}
	sum, err := s.Runner.Run(c.Request().Context(), req, sink)
	info.summary, info.gaps = sum, sink.gaps.gaps
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, wholeAnswer(body.Model, object, sum, sink.text.String(), info.begun))
}

func wholeAnswer(model, object string, sum runs.Summary, text string, created time.Time) *completion {
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
			CachedTokens:   sum.CachedTokens,
			ImportedTokens: min(sum.ImportedTokens, sum.CachedTokens),
			LinkBytes:      sum.ImportedBytes,
		},
	}
}

// streamPrompt answers with server-sent events as the tokens come.
func (s *Server) streamPrompt(c echo.Context, body *common, req *runs.Request, object string) error {
	info := requestOf(c)
	sink := newStreamSink(c, body.Model, chunkObject(object), info.begun)
	sum, err := s.Runner.Run(c.Request().Context(), req, sink)
	info.summary, info.gaps = sum, sink.gaps.gaps
	if err != nil {
		return sink.fail(err, info.id)
	}
	return sink.finish(sum, body.wantsUsage())
}

func (c *common) wantsUsage() bool {
	return c.StreamOptions != nil && c.StreamOptions.IncludeUsage
}

// chunkObject names the pieces of a streamed answer.
func chunkObject(object string) string {
	if object == objectChat {
		return objectChatChunk
	}
	return object
}

// resumeRun serves GET /v1/runs/{run} with the Last-Event-ID header.
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

// resume goes on with a run that an engine holds, for the account that began it.
func (s *Server) resume(c echo.Context, eventID, object string) error {
	readBy(c, time.Time{}) // the body, if there is one, is not read
	info := requestOf(c)
	info.prompt = true
	run, offset, err := runid.ParseEventID(eventID)
	if err != nil {
		return err
	}
	deadline, err := s.deadline(c, info.begun)
	if err != nil {
		return err
	}
	sink := newStreamSink(c, "", object, info.begun)
	sink.resumedAt(offset)
	req := runs.ResumeRequest{Account: info.accountID, Run: run, Offset: offset, Deadline: deadline}
	sum, err := s.Runner.Resume(c.Request().Context(), req, sink)
	info.summary, info.gaps = sum, sink.gaps.gaps
	if err != nil {
		return sink.fail(err, info.id)
	}
	return sink.finish(sum, false)
}
