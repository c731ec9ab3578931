package calls

import (
	"context"
	"errors"
	"time"

	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/coord/ticket"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
)

const maxParallelAnnouncements = 32

type emptyResponse struct{}

// redeemResponse carries the executor's answer or its refusal.
type redeemResponse struct {
	Answer []byte        `json:"answer,omitempty"`
	Error  *ticket.Error `json:"error,omitempty"`
}

// Redeem executes a ticketed call at the ticket's executor, which may be another node. first states
// that the caller sends the ticket for the first time.
func (s *Service) Redeem(ctx context.Context, account, text string, first bool, call *TicketedCall, fp ticket.Fingerprint) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, call.TimeLeft)
	defer cancel()
	c := ticket.Call{Ticket: text, Account: account, Fingerprint: fp, Request: encode(call), FirstAttempt: first}
	s.queryHandover(ctx, text)
	answer, err := s.redeemer.Redeem(ctx, c, s.runFunc(call))
	if err != nil {
		return nil, ticketError(err)
	}
	return answer, nil
}

// runFunc returns a function that executes the call on this node, for a ticket whose executor is this
// process.
func (s *Service) runFunc(call *TicketedCall) ticket.RunFunc {
	return func(ctx context.Context) (ticket.Answer, error) {
		answer, err := s.run(ctx, call)
		if err == nil {
			return answer, nil
		}
		if result.From(err).RunState == result.NotRun {
			return nil, ticket.Refused(err)
		}
		return nil, err
	}
}

// run executes the call until ctx ends, which may be after the deadline of the request that
// started it.
func (s *Service) run(ctx context.Context, call *TicketedCall) ([]byte, error) {
	if call.Service != nil {
		answer, err := s.plain.callUntil(ctx, call.Service)
		if err != nil {
			return nil, err
		}
		defer answer.Release()
		return encode(answer), nil
	}
	if call.Prompt == nil {
		return nil, result.New(result.MalformedBody, result.WithMessage("the node does not know this kind of call"))
	}
	req := *call.Prompt
	req.Once = true
	req.RunsOn = true
	req.Deadline = time.Now().Add(call.TimeLeft)
	sink := &textCollector{}
	sum, err := s.prompts.Run(ctx, &req, sink)
	if err != nil {
		return nil, err
	}
	return encode(TicketedPromptAnswer{Summary: sum, Text: string(sink.text)}), nil
}

// Forward implements ticket.Forwarder.
func (s *Service) Forward(ctx context.Context, addr string, call ticket.Call) (ticket.Answer, error) {
	resp, err := peers.Call[ticket.Call, redeemResponse](ctx, s.cluster.Pool, addr, methodRedeem, &call)
	switch {
	case peers.IsNotSent(err):
		return nil, errors.Join(ticket.ErrNotSent, err)
	case err != nil:
		return nil, err
	case resp.Error != nil:
		return nil, resp.Error
	}
	return resp.Answer, nil
}

// handleRedeem executes a call that another node forwarded to this one.
func (s *Service) handleRedeem(ctx context.Context, _ peers.Identity, call *ticket.Call) (*redeemResponse, error) {
	t, err := ticket.Parse(s.key, call.Ticket)
	if err != nil {
		return refusalResponse(err)
	}
	req, err := decode[TicketedCall](call.Request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, req.TimeLeft)
	defer cancel()
	answer, err := s.executor.Do(ctx, t, call.Account, call.Fingerprint, s.runFunc(req))
	if err != nil {
		return refusalResponse(err)
	}
	return &redeemResponse{Answer: answer}, nil
}

// refusalResponse returns a response that carries a *ticket.Error, with its cause as text. Other errors
// are returned unchanged.
func refusalResponse(err error) (*redeemResponse, error) {
	var refused *ticket.Error
	if errors.As(err, &refused) {
		if refused.Cause != nil {
			refused.Detail = refused.Cause.Error()
		}
		return &redeemResponse{Error: refused}, nil
	}
	return nil, err
}

func (s *Service) handleAdopt(_ context.Context, from peers.Identity, h *ticket.Handover) (*emptyResponse, error) {
	if err := s.executor.Adopt(h); err != nil {
		return nil, err
	}
	s.log.Info().Str("event", "tickets_adopted").Str("from", from.ID).Send()
	return &emptyResponse{}, nil
}

// lookup returns where an incarnation's tickets are redeemed: at the incarnation itself, or at the
// one to which it handed them over.
func (s *Service) lookup(in ticket.Incarnation) ticket.Presence {
	s.mu.Lock()
	to, handedOver := s.handovers.Get(in)
	s.mu.Unlock()
	if handedOver {
		in = to
	}
	return s.presence(in)
}

// presence returns the state of an incarnation according to the member view.
func (s *Service) presence(in ticket.Incarnation) ticket.Presence {
	m, ok := s.cluster.Members().Lookup(in.Node)
	switch {
	case !ok || m.Incarnation == 0:
		return ticket.Presence{}
	case m.Incarnation != in.Number:
		return ticket.Presence{Status: ticket.Gone}
	case m.State == member.Dead:
		return ticket.Presence{Addr: m.Addr} // the node may be partitioned and still running
	}
	return ticket.Presence{Status: ticket.Alive, Addr: m.Addr}
}

// ticketCodes maps the ticket library's reasons to result codes.
var ticketCodes = map[ticket.Reason]result.Code{
	ticket.ReasonMalformed:        result.UnknownTicket,
	ticket.ReasonForged:           result.UnknownTicket,
	ticket.ReasonOtherAccount:     result.UnknownTicket,
	ticket.ReasonDifferentRequest: result.TicketMismatch,
	ticket.ReasonExpired:          result.TicketExpired,
	ticket.ReasonUnissued:         result.TicketExpired,
	ticket.ReasonAnswerGone:       result.TicketAnswerGone,
	ticket.ReasonExecutorGone:     result.ExecutorGone,
	ticket.ReasonNotExecutor:      result.ExecutorGone,
	ticket.ReasonAnswerLost:       result.ExecutorGone,
	ticket.ReasonUnreachable:      result.ExecutorGone,
	ticket.ReasonMoved:            result.ExecutorGone,
}

// ticketError converts a redemption's error to a result error. A failure of the call itself keeps
// its code.
func ticketError(err error) error {
	var e *ticket.Error
	if !errors.As(err, &e) {
		return err
	}
	state := runState(e.State)
	var callErr *result.Error
	if errors.As(e.Cause, &callErr) {
		return result.Wrap(err, callErr.Code, result.WithRunState(state), result.WithField(callErr.Field), result.WithRetryAfter(callErr.RetryAfter))
	}
	code, ok := ticketCodes[e.Reason]
	if !ok {
		code = result.ServiceCallFailed
	}
	return result.Wrap(err, code, result.WithRunState(state), result.WithField("Idempotency-Key"))
}

func runState(s ticket.RunState) result.RunState {
	switch s {
	case ticket.NotRun:
		return result.NotRun
	case ticket.Ran:
		return result.Ran
	}
	return result.MayHaveRun
}
