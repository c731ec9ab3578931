package calls

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/ticket"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/runs"
)

// ledger is a plain service, and the configuration that names it.
type ledger struct {
	takes      time.Duration
	executions int
}

func (l *ledger) View() *config.View {
	e := &pb.Endpoint{Name: "ledger-1", Url: "http://ledger-1", Service: "ledger"}
	return config.NewView().With(config.Entry{Kind: config.KindEndpoint, Name: e.Name, Value: e, Revision: 1})
}

func (l *ledger) HostLeaving(*pb.Endpoint) bool { return false }
func (l *ledger) Succeeded()                    {}
func (l *ledger) Retry() bool                   { return true }

// RoundTrip implements http.RoundTripper: the call runs whether or not its caller waits.
func (l *ledger) RoundTrip(r *http.Request) (*http.Response, error) {
	l.executions++
	select {
	case <-time.After(l.takes):
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("filed"))}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// Run implements Prompts: an engine that needs as long as the service.
func (l *ledger) Run(ctx context.Context, req *runs.Request, _ runs.Sink) (runs.Summary, error) {
	l.executions++
	select {
	case <-time.After(l.takes):
		return runs.Summary{Finish: "length"}, nil
	case <-ctx.Done():
		return runs.Summary{}, ctx.Err()
	}
}

// newExecutor returns a service that executes tickets, before a ledger.
func newExecutor(t *testing.T, l *ledger) *Service {
	s, err := New(sharedKey, l, zerolog.Nop())
	must.NoError(t, err)
	s.plain = newPlainClient(l, l, l)
	s.plain.http.Transport = l
	s.SetPrompts(l)
	s.executor, err = ticket.New(s.tickets(ticket.Incarnation{Node: "n1", Run: 1}))
	must.NoError(t, err)
	return s
}

// TestCallOutlivesItsCaller: a caller whose time ended before the service answered gets the
// answer when it repeats the call, wherever the first one came in: with the process paused
// meanwhile, no more is needed than that the service takes longer than the caller waits.
func TestCallOutlivesItsCaller(t *testing.T) {
	calls := map[string]Ticketed{
		"service": {Service: &ServiceCall{Service: "ledger", Method: http.MethodPost, Path: "/charges"}},
		"prompt":  {Prompt: &runs.Request{Prompt: "pass or hold?"}},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &ledger{takes: 3 * time.Second}
				s := newExecutor(t, l)
				batch, err := s.Issue("mill", 1)
				must.NoError(t, err)
				redeem := func(timeLeft time.Duration) *redeemResponse {
					call.TimeLeft = timeLeft
					if call.Service != nil {
						call.Service.TimeLeft = timeLeft
					}
					resp, err := s.serveRedeem(t.Context(), peers.Identity{ID: "n2"}, &ticket.Call{Ticket: batch[0], Account: "mill", Request: encode(call)})
					must.NoError(t, err)
					return resp
				}
				first := redeem(time.Second)
				must.NotNil(t, first.Error)
				test.Eq(t, ticket.MayHaveRun, first.Error.State)
				second := redeem(time.Minute)
				test.Nil(t, second.Error)
				test.NotEq(t, "", string(second.Answer))
				test.Eq(t, 1, l.executions)
			})
		})
	}
}
