package weights

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
)

// maxLapse is the time without a valid claim after which engines that were closed for an order are opened again.
const maxLapse = time.Second

// holdClaim acquires the claim and sends orders until no engine is outdated or the claim is lost.
func (s *Service) holdClaim(ctx context.Context) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelIfNotNeeded(waiting, cancel)
	first, err := s.claimer.Acquire(waiting, resource, claimTTL)
	if err != nil {
		return
	}
	s.Log.Info().Str("event", "claim_taken").Str("matter", resource).Int64("token", first.Token()).Send()
	holding, stop := context.WithCancel(ctx)
	defer stop()
	s.holding.Store(true)
	s.claimLost.Store(false)
	held := s.keepRenewed(holding, first)
	clear(s.jobs)
	clear(s.postponed)
	s.prepareReports(holding)
	progress := s.Clock.Now()
	for ctx.Err() == nil && s.pending() && s.mayRegain(held.Load()) {
		s.step(ctx, held)
		progress = s.logProgress(progress)
		s.wait(ctx, stepInterval)
	}
	clear(s.jobs)
	s.holding.Store(false)
	s.closed.Store(nil)
	stop()
	s.inFlight.Wait()
	if ctx.Err() != nil || s.lostEngines() {
		s.releaseClaim(held.Load())
	}
	s.Log.Info().Str("event", "claim_ended").Str("matter", resource).Int64("token", held.Load().Token()).
		Dur("left_ms", held.Load().Remaining()).Int("outdated", s.countOutdated()).Send()
}

// mayRegain reports whether the claim is valid or may still be resumed. Once the lease has passed, another node
// may have acquired it.
func (s *Service) mayRegain(held *claim.Claim) bool {
	return !s.claimLost.Load() && held.Remaining() > -s.Lease
}

// reopen ends the jobs of engines that were not ordered to load if the claim has been invalid for long. Engines
// must not stay closed without an order in sight.
func (s *Service) reopen(held *claim.Claim) {
	if held.Remaining() > -maxLapse {
		return
	}
	for id, j := range s.jobs {
		if j.orderedAt.IsZero() {
			delete(s.jobs, id)
		}
	}
}

// keepRenewed renews a claim in the background until ctx is done or another claim has replaced it. Orders must not
// wait for the store. A claim that expired since its renewal came late is resumed.
func (s *Service) keepRenewed(ctx context.Context, first *claim.Claim) *atomic.Pointer[claim.Claim] {
	var held atomic.Pointer[claim.Claim]
	held.Store(first)
	s.inFlight.Go(func() {
		for ctx.Err() == nil {
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
			if errors.Is(err, claim.ErrNotValid) {
				s.claimLost.Store(true)
				return
			}
			if !errors.Is(err, claim.ErrLate) {
				retry.Sleep(ctx, claimPoll)
			}
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
	return s.claimer.Resume(ctx, held, claimTTL)
}

// releaseClaim releases the claim of a node that stops or can't reach the engines, after orderTimeout plus the lease
// has passed since its last order.
//
// Without the release, a node that starts in the meantime would wait for the full claim and the lease, counted
// from when it first read the claim. In a rolling restart engines would then keep replaced weights
// beyond the operators' time limit.
func (s *Service) releaseClaim(held *claim.Claim) {
	time.Sleep(s.Clock.Until(s.lastOrderAt.Add(orderTimeout + s.Lease)))
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		s.Log.Warn().Str("event", "claim_not_released").Int64("token", held.Token()).AnErr("error", err).Send()
	}
}
