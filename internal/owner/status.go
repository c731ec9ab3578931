package owner

import (
	"context"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/internal/kvcache/link"
	"github.com/cherryward/cherryward/internal/peers"
)

const (
	methodStatus  = "owner.status"
	statusTimeout = 2 * time.Second
)

type statusResponse struct {
	Endpoints []*pb.EndpointStatus `json:"e"`
}

// StatusOf returns the status of the endpoints that a node owns. It returns nil if
// the node does not respond.
func (s *Service) StatusOf(ctx context.Context, m member.Member) []*pb.EndpointStatus {
	if m.ID == s.cluster.Self().ID {
		return s.status(time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := peers.Call[None, statusResponse](ctx, s.cluster.Pool, m.Addr, methodStatus, &None{})
	if err != nil {
		return nil
	}
	return resp.Endpoints
}

func (s *Service) serveStatus(context.Context, *None) (*statusResponse, error) {
	return &statusResponse{Endpoints: s.status(time.Now())}, nil
}

func (s *Service) status(now time.Time) []*pb.EndpointStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pb.EndpointStatus
	for name, engine := range s.engines {
		if s.cluster.Owns(name) {
			out = append(out, engine.status(now, s.cluster.Self().ID))
		}
	}
	for name, host := range s.stores {
		if s.cluster.Owns(name) {
			out = append(out, host.status(now, s.cluster.Self().ID))
		}
	}
	return out
}

func (s *storeHost) status(now time.Time, owner string) *pb.EndpointStatus {
	state := "serving"
	if s.host.Unavailable() {
		state = "left out"
	}
	return &pb.EndpointStatus{
		Name:               s.name,
		Kind:               pb.EndpointKind_ENDPOINT_KIND_STORE,
		Owner:              owner,
		State:              state,
		LinkBytesPerSecond: int64(s.budget.BytesPerSecond(now, link.Import)),
	}
}
