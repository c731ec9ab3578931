// Package limits enforces each client account's limits across all nodes. It sends the
// messages of package coord/limit over the connections between nodes.
//
// Guarantee: the bound that package coord/limit states. The error of a rejected request
// has the run state not_run and the time after which to retry.
package limits

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/limit"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
)

// Name is the service's name in the kernel.
const Name = "limits"

const (
	methodLease = "limit.lease" // sent once; a lost request is replaced with a new one
	methodPart  = "limit.part"  // can be retried safely

	callTimeout      = time.Second
	expireInterval   = 5 * time.Second
	minRoundInterval = 5 * time.Millisecond // minimum time between two rounds on request
	maxAdmitWait     = 60 * time.Millisecond
	maxAdmitRetries  = 4
	roundsPerLease   = 10
	ownerPrefix      = "account/"
	keepersPrefix    = "limit/"
)

// Directory provides the newest configuration.
type Directory interface {
	View() *config.View
}

// Service is the limits service.
type Service struct {
	settings       limit.Settings
	log            zerolog.Logger
	cluster        *cluster.Cluster
	directory      Directory
	borrower       *limit.Borrower
	roundRequested chan struct{}

	mu     sync.Mutex // guards lender and keeper
	lender *limit.Lender
	keeper *limit.Keeper
}

var (
	_ kernel.Service = (*Service)(nil)
	_ kernel.Runner  = (*Service)(nil)
)

// New returns the service for a system of at most maxNodes nodes.
func New(maxNodes int, log zerolog.Logger) *Service {
	return &Service{
		settings:       limit.DefaultSettings(maxNodes),
		log:            log.With().Str("service", Name).Logger(),
		roundRequested: make(chan struct{}, 1),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{cluster.Name, configsync.Name} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.cluster, err = kernel.Lookup[*cluster.Cluster](k, cluster.Name); err != nil {
		return err
	}
	if s.directory, err = kernel.Lookup[Directory](k, configsync.Name); err != nil {
		return err
	}
	id := s.cluster.Self()
	self := limit.Incarnation{Node: limit.NodeID(id.ID), Number: id.Incarnation}
	now := time.Now()
	s.borrower = limit.NewBorrower(now, limit.BorrowerConfig{Settings: s.settings, Self: self, Limits: s.limitOf, Owner: s.owner})
	s.lender = limit.NewLender(limit.LenderConfig{Settings: s.settings, Self: self, Limits: s.limitOf, Owner: s.owner, Keepers: s.keepers})
	s.keeper = limit.NewKeeper(now, s.settings, self.Node, s.keepers)
	peers.Handle(s.cluster.Server, methodLease, s.serveLease)
	peers.Handle(s.cluster.Server, methodPart, s.servePart)
	return nil
}

// Run implements kernel.Runner.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Lease / roundsPerLease)
	defer ticker.Stop()
	forget := time.NewTicker(expireInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-forget.C:
			s.expireKeeper()
		case <-ticker.C:
			s.sendPending(ctx)
		case <-s.roundRequested:
			s.sendPending(ctx)
			retry.Sleep(ctx, minRoundInterval)
		}
	}
}

func (s *Service) expireKeeper() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.RemoveExpired(time.Now())
}

// sendPending sends the requests for shares and parts that are pending. It does not wait
// for the responses.
func (s *Service) sendPending(ctx context.Context) {
	now := time.Now()
	for _, call := range s.borrower.Next(now) {
		go s.requestShares(ctx, call)
	}
	s.mu.Lock()
	parts := s.lender.Next(now)
	s.mu.Unlock()
	for _, call := range parts {
		go s.requestParts(ctx, call)
	}
}

// Admit counts a request with its maximum number of tokens against the account's
// limits, or rejects it. If a share is in flight, it retries up to maxAdmitRetries
// times. The caller calls done once, with the number of tokens that were used.
func (s *Service) Admit(ctx context.Context, account *pb.ClientAccount, tokens int) (done func(used int), err error) {
	name := account.GetName()
	charged := float64(tokens)
	decision := s.borrower.Allow(time.Now(), name, charged)
	for range maxAdmitRetries {
		if decision.OK() || decision.RetryAfter == 0 || decision.RetryAfter > maxAdmitWait {
			break
		}
		s.requestRound()
		retry.Sleep(ctx, decision.RetryAfter)
		decision = s.borrower.Allow(time.Now(), name, charged)
	}
	if !decision.OK() {
		s.requestRound()
		return nil, limitError(decision)
	}
	return func(used int) { s.borrower.Done(time.Now(), name, float64(used)-charged) }, nil
}

func (s *Service) requestRound() {
	select {
	case s.roundRequested <- struct{}{}:
	default:
	}
}

func limitError(d limit.Decision) error {
	after := result.WithRetryAfter(d.RetryAfter)
	switch d.Reason {
	case limit.RunLimitReached:
		return result.New(result.ConcurrentRuns, after)
	case limit.TokenLimitReached:
		return result.New(result.TokenRate, after)
	case limit.UnknownAccount:
		return result.New(result.UnknownKey)
	}
	return result.New(result.RequestRate, after)
}

func (s *Service) limitOf(name string) (limit.Limit, bool) {
	account, ok := s.directory.View().Account(name)
	if !ok {
		return limit.Limit{}, false
	}
	l := account.GetLimits()
	return limit.Limit{Requests: l.GetRequestsPerSecond(), Tokens: l.GetTokensPerSecond(), Runs: int(l.GetConcurrentRuns())}, true
}

func (s *Service) owner(account string) limit.NodeID {
	id, _ := s.cluster.Owner(ownerPrefix + account)
	return limit.NodeID(id)
}

// keepers returns the nodes that keep an account's parts. It depends only on the
// platform's list of nodes, never on which nodes appear alive.
func (s *Service) keepers(account string) []limit.NodeID {
	ids := s.cluster.Listed().AppendTop(nil, s.settings.Parts, keepersPrefix+account)
	out := make([]limit.NodeID, len(ids))
	for i, id := range ids {
		out[i] = limit.NodeID(id)
	}
	return out
}
