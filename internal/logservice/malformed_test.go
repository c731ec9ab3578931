package logservice

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
)

// TestMalformedAnswersOfThePlatform guards against what is no answer being taken for one of the log or of the list of hosts.
func TestMalformedAnswersOfThePlatform(t *testing.T) {
	for name, text := range answerheadtest.Malformed(`{"offset":7,"hosts":[]}`) {
		t.Run(name, func(t *testing.T) {
			base := "http://" + answerheadtest.Serve(t, text)
			_, err := NewLog(base, "s").Append(t.Context(), []byte("x"))
			test.Error(t, err)
			_, err = NewHosts(base).List(t.Context())
			test.Error(t, err)
		})
	}
}
