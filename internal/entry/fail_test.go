package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

// TestFailedStreamHasNoFinish guards against a failed stream that a caller takes for a complete
// answer. An error before the first byte is sent as the response. A later error is the last event
// of the stream, with no finish reason, no [DONE] event and no error response after it.
func TestFailedStreamHasNoFinish(t *testing.T) {
	for _, started := range []bool{false, true} {
		rec := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), rec)
		info := &requestInfo{id: "r1"}
		c.Set(requestKey, info)
		sink := newStreamSink(c, "melt", objectCompletion, time.Now())
		if started {
			must.NoError(t, sink.Started(runs.Start{Run: "run"}))
			must.NoError(t, sink.Tokens("run", 1, "hold"))
		}
		(&Server{}).onError(sink.fail(result.New(result.EndpointFailed), info.id), c)
		must.Eq(t, result.EndpointFailed, info.outcome.Code)
		body := rec.Body.String()
		must.StrNotContains(t, body, "[DONE]")
		must.Eq(t, 1, strings.Count(body, `"error"`))
		if !started {
			must.Eq(t, result.New(result.EndpointFailed).Status(), rec.Code)
			continue
		}
		must.Eq(t, http.StatusOK, rec.Code)
		events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
		must.StrHasPrefix(t, `data: {"error"`, events[len(events)-1])
		must.Eq(t, strings.Count(body, `"finish_reason"`), strings.Count(body, `"finish_reason":null`))
	}
}
