package calls

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/coord/ticket"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/peers"
)

const (
	methodHandovers = "calls.moves" // safe to repeat

	// maxHandovers bounds the recorded handovers. The least recently used are evicted first; their
	// tickets have usually expired.
	maxHandovers = 1 << 14
	// startupQueryPeers and lookupQueryPeers bound the number of nodes that are queried for
	// handovers.
	startupQueryPeers  = 3
	lookupQueryPeers   = 8
	queryTimeout       = time.Second
	queryRetryInterval = 200 * time.Millisecond
)

// handoverNotice states which incarnation (To) now serves the tickets of others (From).
type handoverNotice struct {
	From []ticket.Incarnation `json:"from"`
	To   ticket.Incarnation   `json:"to"`
}

// handoversRequest queries the handover of one incarnation, or all handovers if Of is nil.
type handoversRequest struct {
	Of *ticket.Incarnation `json:"of,omitempty"`
}

type handoversResponse struct {
	Handovers []handoverNotice `json:"moves,omitempty"`
	// Leaving is true if the answering node is leaving and accepts no handover.
	Leaving bool `json:"leaving,omitempty"`
}

var _ kernel.Runner = (*Service)(nil)

// Run implements kernel.Runner. It loads from other nodes the handovers that were announced before
// this node started, then waits until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for !s.queryPeers(ctx, &handoversRequest{}, startupQueryPeers) {
		sleepJittered(ctx, queryRetryInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// queryHandover queries other nodes for the handover of a ticket's executor if this node has no
// record of an executor that is alive.
func (s *Service) queryHandover(ctx context.Context, text string) {
	t, err := ticket.Parse(s.key, text)
	if err != nil {
		return // the redeemer refuses the ticket
	}
	decision, _ := ticket.Route(s.executor, t.Incarnation, s.lookup)
	if decision == ticket.ExecutorGone || decision == ticket.Unreachable {
		s.queryPeers(ctx, &handoversRequest{Of: &t.Incarnation}, lookupQueryPeers)
	}
}

// queryPeers queries up to n other nodes for handovers, records them, and reports whether any node
// answered.
func (s *Service) queryPeers(ctx context.Context, req *handoversRequest, n int) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	targets := s.randomPeers(n)
	answers := make(chan *handoversResponse, len(targets))
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() {
			resp, err := peers.Call[handoversRequest, handoversResponse](ctx, s.cluster.Pool, m.Addr, methodHandovers, req)
			if err == nil {
				answers <- resp
			}
		})
	}
	wg.Wait()
	close(answers)
	answered := false
	for resp := range answers {
		answered = true
		for i := range resp.Handovers {
			s.recordHandover(&resp.Handovers[i], false)
		}
	}
	return answered
}

// randomPeers returns up to n other live nodes in random order.
func (s *Service) randomPeers(n int) []member.Member {
	var alive []member.Member
	for _, m := range s.cluster.Members().Members {
		if m.ID != s.cluster.Self().ID && m.State == member.Alive && m.Incarnation != 0 {
			alive = append(alive, m)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

func (s *Service) handleHandoverNotice(_ context.Context, _ peers.Identity, req *handoverNotice) (*emptyResponse, error) {
	s.recordHandover(req, true)
	return &emptyResponse{}, nil
}

// recordHandover records a handover. An announced one always replaces the recorded one. One
// received from another node's records may be older, so it does not replace a recorded successor
// that is alive.
func (s *Service) recordHandover(n *handoverNotice, announced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, from := range n.From {
		old, known := s.handovers.Get(from)
		if !announced && known && s.presence(old).Status == ticket.Alive {
			continue
		}
		s.handovers.Add(from, n.To)
	}
}

func (s *Service) handleHandovers(_ context.Context, _ peers.Identity, req *handoversRequest) (*handoversResponse, error) {
	self, _ := s.cluster.Members().Lookup(s.cluster.Self().ID)
	return &handoversResponse{Leaving: self.State == member.Leaving, Handovers: s.handoversOf(req.Of)}, nil
}

// handoversOf returns the recorded handover of an incarnation, or all of them if of is nil.
func (s *Service) handoversOf(of *ticket.Incarnation) []handoverNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var notices []handoverNotice
	for _, from := range s.handovers.Keys() {
		if of == nil || *of == from {
			to, _ := s.handovers.Peek(from)
			notices = append(notices, handoverNotice{From: []ticket.Incarnation{from}, To: to})
		}
	}
	return notices
}
