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

// fakeService is a plain service, an engine, and the configuration that contains the service.
type fakeService struct {
	duration   time.Duration
	executions int
}

func (s *fakeService) View() *config.View {
	e := &pb.Endpoint{Name: "ledger-1", Url: "http://ledger-1", Service: "ledger"}
	return config.NewView().With(config.Entry{Kind: config.KindEndpoint, Name: e.Name, Value: e, Revision: 1})
}

func (s *fakeService) HostLeaving(*pb.Endpoint) bool { return false }
func (s *fakeService) Succeeded()                    {}
func (s *fakeService) Retry() bool                   { return true }

// RoundTrip implements http.RoundTripper. It counts the call as executed even if the caller's
// context ends first.
func (s *fakeService) RoundTrip(r *http.Request) (*http.Response, error) {
	s.executions++
	select {
	case <-time.After(s.duration):
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("filed"))}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// Run implements Prompts. It takes as long as the service.
func (s *fakeService) Run(ctx context.Context, req *runs.Request, _ runs.Sink) (runs.Summary, error) {
	s.executions++
	select {
	case <-time.After(s.duration):
		return runs.Summary{Finish: "length"}, nil
	case <-ctx.Done():
		return runs.Summary{}, ctx.Err()
	}
}

// newExecutor returns a Service that executes tickets on fake.
func newExecutor(t *testing.T, fake *fakeService) *Service {
	s, err := New(sharedKey, fake, zerolog.Nop())
	must.NoError(t, err)
	s.plain = newPlainClient(fake, fake, fake)
	s.plain.http.Transport = fake
	s.SetPrompts(fake)
	s.executor, err = ticket.New(s.ticketConfig(ticket.Incarnation{Node: "n1", Number: 1}))
	must.NoError(t, err)
	return s
}

// TestCallContinuesPastDeadline checks that a call continues after its caller's deadline, and that the
// caller gets the answer by repeating the call with the same ticket, without a second execution.
func TestCallContinuesPastDeadline(t *testing.T) {
	calls := map[string]TicketedCall{
		"service": {Service: &ServiceCall{Service: "ledger", Method: http.MethodPost, Path: "/charges"}},
		"prompt":  {Prompt: &runs.Request{Prompt: "pass or hold?"}},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeService{duration: 3 * time.Second}
				s := newExecutor(t, fake)
				tickets, err := s.Issue("mill", 1)
				must.NoError(t, err)
				redeem := func(timeLeft time.Duration) *redeemResponse {
					call.TimeLeft = timeLeft
					if call.Service != nil {
						call.Service.TimeLeft = timeLeft
					}
					resp, err := s.handleRedeem(t.Context(), peers.Identity{ID: "n2"}, &ticket.Call{Ticket: tickets[0], Account: "mill", Request: encode(call)})
					must.NoError(t, err)
					return resp
				}
				first := redeem(time.Second)
				must.NotNil(t, first.Error)
				test.Eq(t, ticket.MayHaveRun, first.Error.State)
				second := redeem(time.Minute)
				test.Nil(t, second.Error)
				test.NotEq(t, "", string(second.Answer))
				test.Eq(t, 1, fake.executions)
			})
		})
	}
}
