package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/gen/cherryward/v1/cherrywardv1connect"
	"github.com/cherryward/cherryward/internal/config/configtest"
)

// TestLogLinesNameTheirEvent checks that each log line has an event field, since the
// daemon's log lines have no message.
func TestLogLinesNameTheirEvent(t *testing.T) {
	s := newServer(configtest.New(), nil)
	var log bytes.Buffer
	s.opts.Log = zerolog.New(&log)
	server := httptest.NewServer(s.handler())
	apply := func(authorization string) error {
		config := cherrywardv1connect.NewConfigServiceClient(client(new(http.Protocols), authorization), server.URL)
		_, err := config.Apply(t.Context(), account("c1", 0, &pb.ClientAccount{Name: "mill"}))
		return err
	}
	must.Error(t, apply("Bearer wrong"))
	must.NoError(t, apply("Bearer "+credential))
	server.Close()
	var events []string
	for line := range bytes.Lines(log.Bytes()) {
		var fields struct {
			Event string `json:"event"`
		}
		must.NoError(t, json.Unmarshal(line, &fields))
		events = append(events, fields.Event)
	}
	must.Eq(t, []string{"operator_refused", "change_accepted", "operator_call"}, events)
}
