package engine

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
	"github.com/cherryward/cherryward/internal/result"
)

// TestMalformedAnswersOfEngines guards against what is no answer being taken for a stream, a state, or the word of an
// engine that a run was not begun.
func TestMalformedAnswersOfEngines(t *testing.T) {
	for name, text := range answerheadtest.Malformed(`{"code":"overloaded","not_run":true}`) {
		t.Run(name, func(t *testing.T) {
			c := NewClient()
			defer c.http.CloseIdleConnections()
			base := "http://" + answerheadtest.Serve(t, text)
			stream, err := c.Start(t.Context(), base, &enginewire.RunRequest{})
			if err == nil {
				stream.Close()
			}
			must.Error(t, err)
			test.Eq(t, result.MayHaveRun, result.From(err).RunState)
			_, err = c.Load(t.Context(), base)
			test.Error(t, err)
		})
	}
}
