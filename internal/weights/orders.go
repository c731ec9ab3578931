package weights

import (
	"context"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/fleet"
)

// sendOrders sends orders without waiting for the responses; the next check of an engine shows
// whether its order was accepted.
//
// Sending orders one after the other would let an unanswered order delay the next one by its timeout
// of 500 ms. Waiting for concurrent orders would delay the next check of all engines.
func (s *Service) sendOrders(ctx context.Context, held *claim.Claim, checks []engineCheck) {
	for i := range checks {
		check := &checks[i]
		s.lastOrderAt = s.Clock.Now()
		order := s.orderFor(held, check)
		at := target{endpoint: check.member.Endpoint(), startedMs: check.job.startedMs}
		s.inFlight.Go(func() { s.sendOrder(ctx, held, at, order) })
	}
}

// target is the engine process that an order is sent to.
type target struct {
	endpoint  *fleet.Endpoint
	startedMs int64
}

// orderFor returns the order to load the version of an engine's job.
func (s *Service) orderFor(held *claim.Claim, check *engineCheck) Order {
	return Order{
		Model: check.job.model, Version: check.job.version, Holder: s.Node,
		// Claim tokens start at 0, but engines treat 0 as no token.
		Token: held.Token() + 1, Expected: check.report.Orders, Continue: check.report.Running > 0,
	}
}

// sendOrder sends one order and sets claimLost if the engine has received a higher token. An order that would outlast
// the claim is not sent; it is repeated like one without effect.
func (s *Service) sendOrder(ctx context.Context, held *claim.Claim, at target, o Order) {
	bounded, cancel, err := held.Order(ctx)
	if err != nil {
		return
	}
	defer cancel()
	reply, err := s.Engines.Order(bounded, at.endpoint, o)
	s.Log.Info().Str("event", "order").Str("endpoint", at.endpoint.ID).Int64("born", at.startedMs).Str("model", o.Model).Int64("version", o.Version).
		Int64("token", o.Token).Int64("expected", o.Expected).Str("reply", reply.String()).AnErr("error", err).Send()
	if reply == Fenced {
		s.claimLost.Store(true)
	}
}
