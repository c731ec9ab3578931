package weights

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// resource is the name of the claim, which covers all orders about weights.
	resource = "weights"
	// claimTTL is the duration of a claim. If a holder crashes, the next one can send orders after
	// this time plus the lease.
	claimTTL = 2 * time.Second
	// renewAt is the remaining time of a claim at which it is renewed.
	renewAt = 1300 * time.Millisecond
	// orderTimeout is the timeout of an order.
	orderTimeout = 500 * time.Millisecond
	// claimPoll is the time between reads of the log while waiting for a claim.
	claimPoll = 300 * time.Millisecond
	// maxClaimTTL is the maximum accepted duration of other nodes' claims.
	maxClaimTTL = 10 * time.Second
	// stepInterval is the time between two checks of the engines by the claim holder.
	stepInterval = 100 * time.Millisecond
	// idleInterval is the time between two checks for pending updates by nodes without the claim.
	idleInterval = 500 * time.Millisecond
	// Nodes delay their first attempt to claim by 0 to claimDelaySteps-1 times claimDelayStep,
	// depending on their names, so that the others observe the first node's claim.
	claimDelayStep  = 150 * time.Millisecond
	claimDelaySteps = 6
	// nonStandbyDelay is the additional delay of nodes that are not standbys, so that standbys claim
	// first.
	nonStandbyDelay = 2500 * time.Millisecond
)

// Peers provides information about the other nodes.
type Peers interface {
	// Standby reports whether this node follows the claim while another node holds it, so that it
	// can take over immediately. In a large system only a few nodes do.
	Standby() bool
	// Led reports whether another node recently reported that it holds the claim.
	Led() bool
}

// Config configures a Service. All fields except Clock, Paths, Postponed and Generation must be set.
type Config struct {
	Node    string // name of this node
	Fleet   *fleet.Fleet
	Wanted  Wanted
	Engines Engines
	Claims  claim.Log
	Peers   Peers
	// Lease is the time after another holder's last order during which no order may be sent.
	Lease time.Duration
	// Paths tells which engines this node reaches. Nil means that it reaches all. A node that can't reach the
	// engines of a pending update leaves the claim to another.
	Paths Paths
	// Postponed is called when an engine is postponed in favor of another.
	Postponed func(reason PostponeReason)
	// Generation returns the generation of an offset of Claims. Nil means that Claims loses no records.
	Generation func(offset int64) int64
	// Changed is signaled when a version is requested.
	Changed <-chan struct{}
	// Clock provides the times of claims, orders and reports. If nil, the steady clock is used.
	Clock *clock.Clock
	Log   zerolog.Logger
}

// Service is the update service of one node. While the node holds the claim, it sends orders to engines.
type Service struct {
	Config
	claimer *claim.Claimer
	jobs    map[string]*job // by endpoint
	// postponed holds, by endpoint, the time at which its job was last abandoned. It is cleared when the
	// claim is acquired.
	postponed map[string]time.Time
	closed    atomic.Pointer[[]Closed]
	holding   atomic.Bool // this node holds the claim
	lost      lostPaths

	inFlight    sync.WaitGroup // orders and reports in flight, and the renewal of the claim
	lastOrderAt time.Time      // time of the latest order

	reportContext context.Context
	arrived       chan engineCheck
	outstanding   map[*job]int             // number of reports that were requested and have not arrived, by job
	reportTimes   map[string]time.Duration // how long the latest report took, by endpoint
	run           time.Duration            // time for which steps ran, without stalls of the process
	lastStepAt    time.Time
	claimLost     atomic.Bool // set by an order that found the claim lost
}

// New returns the service of a node. It fails if the claim configuration is invalid.
func New(c Config) (*Service, error) {
	claimer, err := claim.New(claim.Config{
		Log:          c.Claims,
		Clock:        newClaimClock(c.Clock),
		Holder:       c.Node,
		OrderTimeout: orderTimeout,
		Grace:        c.Lease,
		MaxTTL:       maxClaimTTL,
		Generation:   c.Generation,
		LostTTL:      claimTTL,
		Poll:         claimPoll,
		Random:       randomInt,
	})
	if err != nil {
		return nil, err
	}
	return &Service{Config: c, claimer: claimer, jobs: make(map[string]*job), postponed: make(map[string]time.Time)}, nil
}

// Run claims the right to send orders whenever engines are outdated, and sends them, until ctx is
// done.
func (s *Service) Run(ctx context.Context) error {
	var paths sync.WaitGroup
	paths.Go(func() { s.recheckPaths(ctx) })
	defer paths.Wait()
	for ctx.Err() == nil {
		if !s.pending() {
			s.wait(ctx, idleInterval)
			continue
		}
		s.wait(ctx, s.claimDelay())
		if s.pending() && s.mayClaim() {
			s.holdClaim(ctx)
		}
	}
	return nil
}

// wait returns after d, when a version is requested, or when ctx is done.
func (s *Service) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.Changed:
	case <-timer.C:
	}
}

// claimDelay returns the delay before this node's claim, which depends on a hash of its name and on
// whether it is a standby.
func (s *Service) claimDelay() time.Duration {
	delay := time.Duration(xxhash.Sum64String(s.Node)%claimDelaySteps) * claimDelayStep
	if !s.Peers.Standby() {
		delay += nonStandbyDelay
	}
	return delay
}

// mayClaim reports whether this node should try to acquire the claim.
func (s *Service) mayClaim() bool { return s.Peers.Standby() || !s.Peers.Led() }

// ReadClaims reads the log of claims after the store came back from an older copy of it. The time for which
// contenders wait for claims that may have been lost begins with this read.
func (s *Service) ReadClaims() {
	if !s.Peers.Standby() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTTL)
	defer cancel()
	if _, err := s.claimer.Holdings(ctx); err != nil {
		s.Log.Warn().Str("event", "claims_unread").AnErr("error", err).Send()
	}
}

// Leads reports whether this node holds the claim.
func (s *Service) Leads() bool { return s.holding.Load() }

// Closed returns the engines that this node is currently draining or loading.
func (s *Service) Closed() []Closed {
	closed := s.closed.Load()
	if closed == nil {
		return nil
	}
	return *closed
}

// cancelIfNotNeeded cancels the wait for a claim when no engine is outdated any more or this node should
// no longer claim.
func (s *Service) cancelIfNotNeeded(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !s.pending() || !s.mayClaim() {
				cancel()
				return
			}
		}
	}
}
