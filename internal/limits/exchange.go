package limits

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/limit"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
)

// requestShares sends one request for shares. A lost request is not resent; the borrower
// makes a new one.
func (s *Service) requestShares(ctx context.Context, call limit.LeaseCall) {
	grant, err := exchange(ctx, s, call.To, methodLease, &call.Request, s.serveLease)
	if err == nil {
		s.borrower.Receive(time.Now(), *grant)
	}
}

// requestParts sends one request for parts. A lost request is not resent; the lender
// makes a new one.
func (s *Service) requestParts(ctx context.Context, call limit.PartCall) {
	grant, err := exchange(ctx, s, call.To, methodPart, &call.Request, s.servePart)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.lender.Receive(time.Now(), *grant)
	s.mu.Unlock()
	s.requestRound()
}

func exchange[Req, Resp any](ctx context.Context, s *Service, to limit.NodeID, method string, req *Req, local func(context.Context, peers.Identity, *Req) (*Resp, error)) (*Resp, error) {
	m, ok := s.cluster.Members().Lookup(string(to))
	if !ok {
		return nil, result.New(result.UnknownObject, result.WithField(string(to)))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peers.CallOrServe(ctx, s.cluster.Pool, m.ID, m.Addr, method, req, local)
}

func (s *Service) serveLease(_ context.Context, _ peers.Identity, req *limit.LeaseRequest) (*limit.LeaseGrant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.lender.Handle(time.Now(), *req)
	for _, loan := range grant.Loans {
		if loan.Wait > 0 {
			s.requestRound() // parts are missing: request them from the keepers at once
			break
		}
	}
	return &grant, nil
}

func (s *Service) servePart(_ context.Context, _ peers.Identity, req *limit.PartRequest) (*limit.PartGrant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.keeper.Handle(time.Now(), *req)
	return &grant, nil
}
