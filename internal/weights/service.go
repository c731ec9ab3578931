package weights

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
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
	// standbyTime is how much longer nodes wait that do not stand by, so that those
	// that do come first.
	standbyTime = 2500 * time.Millisecond
)

// Peers is what a node knows of the others.
type Peers interface {
	// Standby reports whether this node follows the claim while another holds it, so
	// that it can take over at once. In a large system few nodes do.
	Standby() bool
	// Led reports whether another node was heard lately that holds the claim.
	Led() bool
}

// Config is what a Service needs. All fields must be set.
type Config struct {
	Node    string // name of this node
	Fleet   *fleet.Fleet
	Wanted  Wanted
	Engines Engines
	Claims  claim.Log
	Peers   Peers
	// Lease is the time after another holder's last order in which none may be given.
	Lease time.Duration
	// Changed is signalled when a version was named.
	Changed <-chan struct{}
	// Clock dates claims, orders and reports. Nil is the steady clock.
	Clock *clock.Clock
	Log   zerolog.Logger
}

// Service gives the orders of one node.
type Service struct {
	Config
	claimer *claim.Claimer
	jobs    map[string]*job // by endpoint
	// passed are the endpoints whose jobs came to nothing since the claim was taken, and when.
	passed map[string]time.Time
	closed atomic.Pointer[[]Closed]
	leads  atomic.Bool

	underWay sync.WaitGroup // orders, and the renewals of the claim
	ordered  time.Time      // when the newest order was given
	lost     atomic.Bool    // an order told that the claim is
}

// New returns the service of a node.
func New(c Config) (*Service, error) {
	claimer, err := claim.New(claim.Config{
		Log:          c.Claims,
		Clock:        newClaimClock(c.Clock),
		Holder:       c.Node,
		OrderTimeout: orderTimeout,
		Grace:        c.Lease,
		MaxTTL:       maxClaimTTL,
		Poll:         claimPoll,
		Random:       randomInt,
	})
	if err != nil {
		return nil, err
	}
	return &Service{Config: c, claimer: claimer, jobs: make(map[string]*job), passed: make(map[string]time.Time)}, nil
}

// Run gives orders until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.pending() {
			s.wait(ctx, idleTick)
			continue
		}
		s.wait(ctx, s.turn())
		if s.pending() && s.contends() {
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
	case <-s.Changed:
	case <-timer.C:
	}
}

// turn delays this node's claim by its place among the nodes.
func (s *Service) turn() time.Duration {
	delay := time.Duration(xxhash.Sum64String(s.Node)%ranks) * rankDelay
	if !s.Peers.Standby() {
		delay += standbyTime
	}
	return delay
}

// contends reports whether this node should try to get the claim.
func (s *Service) contends() bool { return s.Peers.Standby() || !s.Peers.Led() }

// pending reports whether an engine lacks a wanted version.
func (s *Service) pending() bool {
	members := s.Fleet.All()
	for _, model := range s.Wanted.Models() {
		version, _ := s.Wanted.Wanted(model)
		if slices.ContainsFunc(members, func(m *fleet.Member) bool { return lacks(m, model, version) }) {
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
	s.Log.Info().Str("event", "claim_taken").Str("matter", resource).Int64("token", first.Token()).Send()
	holding, stop := context.WithCancel(ctx)
	defer stop()
	held := s.keep(holding, first)
	s.leads.Store(true)
	s.lost.Store(false)
	clear(s.jobs)
	clear(s.passed)
	for ctx.Err() == nil && s.pending() && held.Load().Valid(orderTimeout) && s.step(ctx, held) {
		s.wait(ctx, tick)
	}
	clear(s.jobs)
	s.leads.Store(false)
	s.closed.Store(nil)
	stop()
	s.underWay.Wait()
	if ctx.Err() != nil {
		s.giveBack(held.Load())
	}
	s.Log.Info().Str("event", "claim_ended").Str("matter", resource).Int64("token", held.Load().Token()).
		Dur("left_ms", held.Load().Remaining()).Send()
}

// keep renews a claim until ctx is done or the claim is lost, beside the orders,
// which must not wait for the store.
func (s *Service) keep(ctx context.Context, first *claim.Claim) *atomic.Pointer[claim.Claim] {
	var held atomic.Pointer[claim.Claim]
	held.Store(first)
	s.underWay.Go(func() {
		for ctx.Err() == nil && held.Load().Valid(0) {
			retry.Sleep(ctx, held.Load().Remaining()-renewAt)
			if ctx.Err() != nil {
				return
			}
			renewed, err := s.renew(ctx, held.Load())
			if err == nil {
				held.Store(renewed)
				continue
			}
			s.Log.Warn().Str("event", "claim_not_renewed").Int64("token", held.Load().Token()).AnErr("error", err).Send()
			retry.Sleep(ctx, claimPoll)
		}
	})
	return &held
}

// renew renews a claim, also where ctx ends meanwhile: a renewal that is in the log and not known of
// could not be given back, as 110 of 150 stops in virtual time found.
func (s *Service) renew(ctx context.Context, held *claim.Claim) (*claim.Claim, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewAt)
	defer cancel()
	return s.claimer.Renew(ctx, held, claimTTL)
}

// giveBack ends the claim of a node that stops, once the lease bound has passed since its last order,
// as it would have before the claim ran out by itself.
//
// Without it a node that starts meanwhile waits for the whole claim and the lease bound from when it
// first read of the claim: where nodes stop and start in turn, engines keep replaced weights past the
// operators' bound.
func (s *Service) giveBack(held *claim.Claim) {
	time.Sleep(s.Clock.Until(s.ordered.Add(orderTimeout + s.Lease)))
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		s.Log.Warn().Str("event", "claim_not_released").Int64("token", held.Token()).AnErr("error", err).Send()
	}
}

// Leads reports whether this node holds the claim on orders.
func (s *Service) Leads() bool { return s.leads.Load() }

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
			if !s.pending() || !s.contends() {
				cancel()
				return
			}
		}
	}
}
