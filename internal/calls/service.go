package calls

import (
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/coord/ticket"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

// Name is the service's name in the kernel.
const Name = "calls"

const (
	methodRedeem = "calls.redeem" // at most once by the ticket
	methodAdopt  = "calls.adopt"  // safe to repeat
	methodMoved  = "calls.moved"  // safe to repeat

	ticketWindow = 1 << 16
	keepAnswers  = 4096
	keepBytes    = 32 << 20
	keepFor      = 15 * time.Minute
	adoptFor     = time.Hour
	// runOn leaves a caller time to repeat a call that took longer than it waited,
	// and bounds what a service that never answers can hold.
	runOn         = time.Minute
	ticketKeyInfo = "cherryward/ticket/v1"

	handoverRetry = 200 * time.Millisecond
	// handoverLimit bounds the tries to reach the successor, which may be
	// stopping itself. Without one the tickets end with this process.
	handoverLimit = 3 * time.Second
	handoverCall  = 2 * time.Second
	// maxSuccessors bounds the nodes that are asked to take over.
	maxSuccessors = 5
	// MaxTickets bounds one request for tickets.
	MaxTickets = 1000
)

// Service runs ticketed calls and calls plain services.
type Service struct {
	key    ticket.Key
	budget runs.Budget
	log    zerolog.Logger

	cluster  *cluster.Cluster
	plain    *plainClient
	prompts  Prompts
	executor *ticket.Executor
	redeemer *ticket.Redeemer

	mu    sync.Mutex
	moved *simplelru.LRU[ticket.Incarnation, ticket.Incarnation] // by announcements of leaving nodes
}

var (
	_ kernel.Service   = (*Service)(nil)
	_ kernel.Stopper   = (*Service)(nil)
	_ ticket.Forwarder = (*Service)(nil)
)

// New returns the service. Tickets are authenticated under a key derived from
// the nodes' shared key.
func New(sharedKey []byte, budget runs.Budget, log zerolog.Logger) (*Service, error) {
	key, err := hkdf.Key(sha256.New, sharedKey, nil, ticketKeyInfo, sha256.Size)
	if err != nil {
		return nil, err
	}
	moved, err := simplelru.NewLRU[ticket.Incarnation, ticket.Incarnation](maxMoved, nil)
	if err != nil {
		return nil, err
	}
	return &Service{
		key:    key,
		budget: budget,
		log:    log.With().Str("service", Name).Logger(),
		moved:  moved,
	}, nil
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
	directory, err := kernel.Lookup[Directory](k, configsync.Name)
	if err != nil {
		return err
	}
	s.plain = newPlainClient(directory, s.cluster, s.budget)
	self := s.cluster.Self()
	s.executor, err = ticket.New(s.tickets(ticket.Incarnation{Node: self.ID, Run: self.Incarnation}))
	if err != nil {
		return err
	}
	s.redeemer = &ticket.Redeemer{Executor: s.executor, Lookup: s.lookup, Forwarder: s}
	peers.Handle(s.cluster.Server, methodRedeem, s.serveRedeem)
	peers.Handle(s.cluster.Server, methodAdopt, s.serveAdopt)
	peers.Handle(s.cluster.Server, methodMoved, s.serveMoved)
	peers.Handle(s.cluster.Server, methodMoves, s.serveMoves)
	return nil
}

// tickets sets up the executor of this process's tickets.
func (s *Service) tickets(self ticket.Incarnation) ticket.Config {
	return ticket.Config{
		Self:        self,
		Key:         s.key,
		Window:      ticketWindow,
		KeepAnswers: keepAnswers,
		KeepBytes:   keepBytes,
		KeepFor:     keepFor,
		AdoptFor:    adoptFor,
		RunOn:       runOn,
	}
}

// SetPrompts says who answers ticketed prompts. It is called before requests come.
func (s *Service) SetPrompts(p Prompts) { s.prompts = p }

// Issue returns new tickets of an account.
func (s *Service) Issue(account string, n int) ([]string, error) {
	tickets, err := s.executor.Issue(account, n)
	if errors.Is(err, ticket.ErrDraining) {
		return nil, result.Wrap(err, result.Draining)
	}
	return tickets, err
}

// Call calls a plain service without a ticket.
func (s *Service) Call(ctx context.Context, call *ServiceCall) (*ServiceAnswer, error) {
	return s.plain.Call(ctx, call)
}

// Stop implements kernel.Stopper: it hands the tickets of this process to
// another node, so that they stay redeemable.
func (s *Service) Stop(ctx context.Context) error {
	to, ok := s.successor(ctx)
	if !ok {
		return nil // the last node: its tickets end with it
	}
	h, err := s.executor.Drain(ctx, ticket.Incarnation{Node: to.ID, Run: to.Incarnation})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for ctx.Err() == nil {
		if s.sendHandover(ctx, to, h) {
			s.announce(ctx, h)
			s.log.Info().Str("event", "tickets_handed_over").Str("to", to.ID).Send()
			return nil
		}
		pause(ctx, handoverRetry)
	}
	s.log.Warn().Str("event", "tickets_lost").Str("to", to.ID).Send()
	return nil
}

// pause waits for d on average, so that nodes do not act in step.
func pause(ctx context.Context, d time.Duration) { retry.Sleep(ctx, d/2+rand.N(d)) }

// successor picks the node that takes the tickets over. A drain is bound to one
// successor, so it must answer now: the view may still have a dead node as alive.
func (s *Service) successor(ctx context.Context) (member.Member, bool) {
	self := s.cluster.Self()
	var nodes []rendezvous.Node
	view := s.cluster.Members()
	for _, m := range view.Members {
		if m.ID != self.ID && m.State == member.Alive && m.Incarnation != 0 {
			nodes = append(nodes, rendezvous.Node{ID: m.ID, Weight: 1})
		}
	}
	for _, id := range rendezvous.Top(maxSuccessors, self.ID, nodes) {
		m, ok := view.Lookup(id)
		if ok && s.answers(ctx, m) {
			return m, true
		}
	}
	return member.Member{}, false
}

// answers tells whether a node answers a call that changes nothing, and stays.
func (s *Service) answers(ctx context.Context, m member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	self := ticket.Incarnation{Node: s.cluster.Self().ID, Run: s.cluster.Self().Incarnation}
	resp, err := peers.Call[movesRequest, movesResponse](ctx, s.cluster.Pool, m.Addr, methodMoves, &movesRequest{Of: &self})
	return err == nil && !resp.Leaving
}

func (s *Service) sendHandover(ctx context.Context, to member.Member, h *ticket.Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverCall)
	defer cancel()
	_, err := peers.Call[ticket.Handover, none](ctx, s.cluster.Pool, to.Addr, methodAdopt, h)
	return err == nil
}

// announce tells the other nodes where the tickets went. A node that misses it
// answers may_have_run for them once this process is gone.
func (s *Service) announce(ctx context.Context, h *ticket.Handover) {
	req := &movedNotice{To: h.To}
	for _, l := range h.Ledgers {
		req.From = append(req.From, l.Executor)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, announceAtOnce)
	for _, m := range s.cluster.Members().Members {
		if m.ID == s.cluster.Self().ID || m.State == member.Dead {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, handoverCall)
			defer cancel()
			_, _ = peers.Call[movedNotice, none](ctx, s.cluster.Pool, m.Addr, methodMoved, req)
		})
	}
}
