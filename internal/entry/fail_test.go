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

// TestBrokenStreamNeverLooksWhole: an error before the first byte is the answer; one behind it is
// the stream's last event, without a finish and without the mark of the end, and nothing of the
// error's own answer follows.
func TestBrokenStreamNeverLooksWhole(t *testing.T) {
	for _, begun := range []bool{false, true} {
		rec := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), rec)
		info := &requestInfo{id: "r1"}
		c.Set(requestKey, info)
		sink := newStreamSink(c, "melt", objectCompletion, time.Now())
		if begun {
			must.NoError(t, sink.Started(runs.Start{Run: "run"}))
			must.NoError(t, sink.Tokens("run", 1, "hold"))
		}
		(&Server{}).onError(sink.fail(result.New(result.EndpointBrokeOff), info.id), c)
		must.Eq(t, result.EndpointBrokeOff, info.outcome.Code)
		body := rec.Body.String()
		must.StrNotContains(t, body, "[DONE]")
		must.Eq(t, 1, strings.Count(body, `"error"`))
		if !begun {
			must.Eq(t, result.New(result.EndpointBrokeOff).Status(), rec.Code)
			continue
		}
		must.Eq(t, http.StatusOK, rec.Code)
		events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
		must.StrHasPrefix(t, `data: {"error"`, events[len(events)-1])
		must.Eq(t, strings.Count(body, `"finish_reason"`), strings.Count(body, `"finish_reason":null`))
	}
}
