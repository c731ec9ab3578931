package weights

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// resource is the one matter that is claimed: all orders about weights.
	resource = "weights"
	// claimTTL is how long a claim lasts. A holder that dies delays the orders of
	// the next one by this time and the lease bound.
	claimTTL = 2 * time.Second
	// renewAt is how much of a claim is left when it is renewed.
	renewAt = 1300 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 500 * time.Millisecond
	// claimPoll is the time between reads of the log while a claim is waited for.
	claimPoll = 300 * time.Millisecond
	// maxClaimTTL bounds the claims that are believed.
	maxClaimTTL = 10 * time.Second
	// tick is the time between two looks at the engines by the holder.
	tick = 100 * time.Millisecond
	// idleTick is the time between two looks by nodes that hold no claim.
	idleTick = 500 * time.Millisecond
	// rankDelay spreads the nodes' first tries, so that one claims and the others
	// see it.
	rankDelay = 150 * time.Millisecond
	ranks     = 6
)

// Service gives the orders of one node.
type Service struct {
	node    string
	fleet   *fleet.Fleet
	wanted  Wanted
	engines Engines
	claimer *claim.Claimer
	changed <-chan struct{}
	log     zerolog.Logger
	jobs    map[string]*job // by endpoint
	closed  atomic.Pointer[[]Closed]
}

// New returns the service of a node. changed is signalled when a version was
// named. lease is the time after another holder's last order in which none may be
// given.
func New(node string, f *fleet.Fleet, wanted Wanted, engines Engines, claims claim.Log, lease time.Duration,
	changed <-chan struct{}, log zerolog.Logger) (*Service, error) {
	claimer, err := claim.New(claim.Config{
		Log:          claims,
		Clock:        claim.NewSystemClock(),
		Holder:       node,
		OrderTimeout: orderTimeout,
		Grace:        lease,
		MaxTTL:       maxClaimTTL,
		Poll:         claimPoll,
		Random:       randomInt,
	})
	if err != nil {
		return nil, err
	}
	return &Service{
		node: node, fleet: f, wanted: wanted, engines: engines, claimer: claimer,
		changed: changed, log: log, jobs: make(map[string]*job),
	}, nil
}

// Run gives orders until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.pending() {
			s.wait(ctx, idleTick)
			continue
		}
		s.wait(ctx, s.rank())
		if s.pending() {
			s.lead(ctx)
		}
	}
	return nil
}

// wait returns after d, or when a version is named.
func (s *Service) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.changed:
	case <-timer.C:
	}
}

// rank delays this node's claim by its place among the nodes.
func (s *Service) rank() time.Duration {
	return time.Duration(xxhash.Sum64String(s.node)%ranks) * rankDelay
}

// pending reports whether an engine lacks a wanted version.
func (s *Service) pending() bool {
	members := s.fleet.All()
	for _, model := range s.wanted.Models() {
		version, _ := s.wanted.Wanted(model)
		if len(Behind(members, model, version)) > 0 {
			return true
		}
	}
	return false
}

// lead claims the right to give orders, and gives them until all is done or the
// claim is lost.
func (s *Service) lead(ctx context.Context) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWhenDone(waiting, cancel)
	first, err := s.claimer.Acquire(waiting, resource, claimTTL)
	if err != nil {
		return
	}
	s.log.Info().Str("event", "claim_taken").Str("matter", resource).Int64("token", first.Token()).Send()
	holding, stop := context.WithCancel(ctx)
	defer stop()
	held := s.keep(holding, first)
	clear(s.jobs)
	for ctx.Err() == nil && s.pending() && held.Load().Valid(orderTimeout) && s.step(ctx, held.Load()) {
		s.wait(ctx, tick)
	}
	clear(s.jobs)
	s.closed.Store(nil)
	stop()
	s.log.Info().Str("event", "claim_ended").Str("matter", resource).Int64("token", held.Load().Token()).
		Dur("left_ms", held.Load().Remaining()).Send()
}

// keep renews a claim until ctx is done or the claim is lost, beside the orders,
// which must not wait for the store.
func (s *Service) keep(ctx context.Context, first *claim.Claim) *atomic.Pointer[claim.Claim] {
	var held atomic.Pointer[claim.Claim]
	held.Store(first)
	go func() {
		for ctx.Err() == nil && held.Load().Valid(0) {
			retry.Sleep(ctx, held.Load().Remaining()-renewAt)
			renewed, err := s.claimer.Renew(ctx, held.Load(), claimTTL)
			switch {
			case err == nil:
				held.Store(renewed)
			case ctx.Err() == nil:
				s.log.Warn().Str("event", "claim_not_renewed").Int64("token", held.Load().Token()).AnErr("error", err).Send()
				retry.Sleep(ctx, claimPoll)
			}
		}
	}()
	return &held
}

// Closed returns the engines that this node has loaded now.
func (s *Service) Closed() []Closed {
	closed := s.closed.Load()
	if closed == nil {
		return nil
	}
	return *closed
}

// cancelWhenDone ends the wait for a claim when another node has done the work.
func (s *Service) cancelWhenDone(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(idleTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !s.pending() {
				cancel()
				return
			}
		}
	}
}
