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
	methodRedeem         = "calls.redeem" // at most once per ticket
	methodAdopt          = "calls.adopt"  // safe to repeat
	methodHandoverNotice = "calls.moved"  // safe to repeat

	// ticketWindow and the next four configure the ticket executor; see ticket.Config.
	ticketWindow         = 1 << 16
	maxStoredAnswers     = 4096
	maxStoredAnswerBytes = 32 << 20
	answerRetention      = 15 * time.Minute
	adoptedRetention     = time.Hour
	// runExtension is the time for which a call continues after its caller's deadline. It lets a
	// caller fetch the answer of a call that took longer by repeating the call, and bounds the
	// resources held for a service that never answers.
	runExtension  = time.Minute
	ticketKeyInfo = "cherryward/ticket/v1"

	handoverRetryInterval = 200 * time.Millisecond
	// handoverTimeout bounds the attempts to reach the successor, which may be stopping, too. If all
	// fail, the tickets become invalid when this process exits.
	handoverTimeout     = 3 * time.Second
	handoverCallTimeout = 2 * time.Second
	// maxSuccessors bounds the nodes that are queried as possible successors.
	maxSuccessors = 5
	// MaxTickets is the maximum number of tickets per request.
	MaxTickets = 1000
)

// Service executes ticketed calls and calls plain services.
type Service struct {
	key    ticket.Key
	budget runs.Budget
	log    zerolog.Logger

	cluster  *cluster.Cluster
	plain    *plainClient
	prompts  Prompts
	executor *ticket.Executor
	redeemer *ticket.Redeemer

	mu        sync.Mutex
	handovers *simplelru.LRU[ticket.Incarnation, ticket.Incarnation] // incarnation to successor, as announced by leaving nodes
}

var (
	_ kernel.Service   = (*Service)(nil)
	_ kernel.Stopper   = (*Service)(nil)
	_ ticket.Forwarder = (*Service)(nil)
)

// New returns the service. The key that authenticates tickets is derived from the nodes' shared
// key.
func New(sharedKey []byte, budget runs.Budget, log zerolog.Logger) (*Service, error) {
	key, err := hkdf.Key(sha256.New, sharedKey, nil, ticketKeyInfo, sha256.Size)
	if err != nil {
		return nil, err
	}
	handovers, err := simplelru.NewLRU[ticket.Incarnation, ticket.Incarnation](maxHandovers, nil)
	if err != nil {
		return nil, err
	}
	return &Service{
		key:       key,
		budget:    budget,
		log:       log.With().Str("service", Name).Logger(),
		handovers: handovers,
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
	s.executor, err = ticket.New(s.ticketConfig(ticket.Incarnation{Node: self.ID, Number: self.Incarnation}))
	if err != nil {
		return err
	}
	s.redeemer = &ticket.Redeemer{Executor: s.executor, Lookup: s.lookup, Forwarder: s}
	peers.Handle(s.cluster.Server, methodRedeem, s.handleRedeem)
	peers.Handle(s.cluster.Server, methodAdopt, s.handleAdopt)
	peers.Handle(s.cluster.Server, methodHandoverNotice, s.handleHandoverNotice)
	peers.Handle(s.cluster.Server, methodHandovers, s.handleHandovers)
	return nil
}

// ticketConfig returns the configuration of the executor of this process's tickets.
func (s *Service) ticketConfig(self ticket.Incarnation) ticket.Config {
	return ticket.Config{
		Self:                 self,
		Key:                  s.key,
		Window:               ticketWindow,
		MaxAnswersPerAccount: maxStoredAnswers,
		MaxAnswerBytes:       maxStoredAnswerBytes,
		AnswerTTL:            answerRetention,
		AdoptedTTL:           adoptedRetention,
		RunAfterDeadline:     runExtension,
	}
}

// SetPrompts sets the runner of ticketed prompts. It must be called before requests arrive.
func (s *Service) SetPrompts(p Prompts) { s.prompts = p }

// Issue returns n new tickets for an account. It fails with result.Draining once the node is
// draining.
func (s *Service) Issue(account string, n int) ([]string, error) {
	tickets, err := s.executor.Issue(account, n)
	if errors.Is(err, ticket.ErrDraining) {
		return nil, result.Wrap(err, result.Draining)
	}
	return tickets, err
}

// Call calls a plain service without a ticket, within call.TimeLeft.
func (s *Service) Call(ctx context.Context, call *ServiceCall) (*ServiceAnswer, error) {
	return s.plain.Call(ctx, call)
}

// Stop implements kernel.Stopper. It hands the tickets of this process over to another node, so
// that they stay redeemable.
func (s *Service) Stop(ctx context.Context) error {
	to, ok := s.successor(ctx)
	if !ok {
		return nil // no other node accepts the handover, so the tickets become invalid when this process exits
	}
	h, err := s.executor.Drain(ctx, ticket.Incarnation{Node: to.ID, Number: to.Incarnation})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if s.sendHandover(ctx, to, h) {
			s.announce(ctx, h)
			s.log.Info().Str("event", "tickets_handed_over").Str("to", to.ID).Send()
			return nil
		}
		sleepJittered(ctx, handoverRetryInterval)
	}
	s.log.Warn().Str("event", "tickets_lost").Str("to", to.ID).Send()
	return nil
}

// sleepJittered sleeps for d on average. The jitter prevents nodes from acting at the same
// time.
func sleepJittered(ctx context.Context, d time.Duration) { retry.Sleep(ctx, d/2+rand.N(d)) }

// successor selects the node that takes over the tickets. The successor can't be changed after
// Drain, so a candidate must first answer a query: the member view may still list a dead node as
// alive.
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
		if ok && s.acceptsHandover(ctx, m) {
			return m, true
		}
	}
	return member.Member{}, false
}

// acceptsHandover reports whether a node answers a query, which has no side effects, and is not
// leaving.
func (s *Service) acceptsHandover(ctx context.Context, m member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	self := ticket.Incarnation{Node: s.cluster.Self().ID, Number: s.cluster.Self().Incarnation}
	resp, err := peers.Call[handoversRequest, handoversResponse](ctx, s.cluster.Pool, m.Addr, methodHandovers, &handoversRequest{Of: &self})
	return err == nil && !resp.Leaving
}

func (s *Service) sendHandover(ctx context.Context, to member.Member, h *ticket.Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	_, err := peers.Call[ticket.Handover, emptyResponse](ctx, s.cluster.Pool, to.Addr, methodAdopt, h)
	return err == nil
}

// announce notifies the other nodes of the handover. A node that misses the notice queries
// other nodes when such a ticket is redeemed after this process has exited.
func (s *Service) announce(ctx context.Context, h *ticket.Handover) {
	req := &handoverNotice{To: h.To}
	for _, l := range h.Ledgers {
		req.From = append(req.From, l.Incarnation)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxParallelAnnouncements)
	for _, m := range s.cluster.Members().Members {
		if m.ID == s.cluster.Self().ID || m.State == member.Dead {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
			defer cancel()
			_, _ = peers.Call[handoverNotice, emptyResponse](ctx, s.cluster.Pool, m.Addr, methodHandoverNotice, req)
		})
	}
}
