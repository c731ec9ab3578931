package weights

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
)

// keepRenewed renews a claim in the background until ctx is done or the claim is lost. Orders must not
// wait for the store.
func (s *Service) keepRenewed(ctx context.Context, first *claim.Claim) *atomic.Pointer[claim.Claim] {
	var held atomic.Pointer[claim.Claim]
	held.Store(first)
	s.inFlight.Go(func() {
		for ctx.Err() == nil && held.Load().Valid(0) {
			retry.Sleep(ctx, held.Load().Remaining()-renewAt)
			if ctx.Err() != nil {
				return
			}
			began := s.Clock.Now()
			renewed, err := s.renew(ctx, held.Load())
			if err == nil {
				s.logLateRenewal(held.Load(), began)
				held.Store(renewed)
				continue
			}
			s.Log.Warn().Str("event", "claim_not_renewed").Int64("token", held.Load().Token()).Dur("took_ms", s.Clock.Since(began)).
				Dur("left_ms", held.Load().Remaining()).AnErr("error", err).Send()
			retry.Sleep(ctx, claimPoll)
		}
	})
	return &held
}

// logLateRenewal logs a renewal that came after the time from which the earlier claim allowed no orders.
func (s *Service) logLateRenewal(earlier *claim.Claim, began time.Time) {
	if earlier.Valid(orderTimeout) {
		return
	}
	s.Log.Warn().Str("event", "claim_renewed_late").Int64("token", earlier.Token()).Dur("took_ms", s.Clock.Since(began)).
		Dur("left_ms", earlier.Remaining()).Send()
}

// renew renews a claim, even if ctx is canceled during the renewal: a renewal that was written to the
// log but whose result was not received could not be released when the node stops.
func (s *Service) renew(ctx context.Context, held *claim.Claim) (*claim.Claim, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewAt)
	defer cancel()
	return s.claimer.Renew(ctx, held, claimTTL)
}
