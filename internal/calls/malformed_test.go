package calls

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
	"github.com/cherryward/cherryward/internal/result"
)

// TestMalformedAnswersOfServices guards against what is no answer being delivered as that of a plain service.
func TestMalformedAnswersOfServices(t *testing.T) {
	for name, text := range answerheadtest.Malformed("body") {
		t.Run(name, func(t *testing.T) {
			p := newPlainClient(nil, nil, nil)
			defer p.http.CloseIdleConnections()
			e := &pb.Endpoint{Name: "ledger-1", Url: "http://" + answerheadtest.Serve(t, text)}
			answer, err := p.send(t.Context(), e, &ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x"), TimeLeft: time.Second})
			must.Error(t, err, must.Sprint(answer))
			test.Eq(t, result.MayHaveRun, result.From(err).RunState)
		})
	}
}
