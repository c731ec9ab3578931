package configsync

import (
	"context"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
)

type empty struct{}

type recordsRequest struct {
	From int64 `json:"from"`
}

type snapshotResponse struct {
	Image []byte `json:"image"`
}

// NodeStatus is the applied configuration offset of a node, and whether its
// configuration is stale.
type NodeStatus struct {
	Applied int64 `json:"applied"`
	Stale   bool  `json:"stale"`
}

// Notify implements changelog.Peers.
func (s *Sync) Notify(ctx context.Context, to string, n changelog.Notice) error {
	_, err := callPeer[changelog.Notice, empty](ctx, s, to, methodNotify, &n)
	return err
}

// Records implements changelog.Peers.
func (s *Sync) Records(ctx context.Context, to string, from int64) (changelog.Notice, error) {
	resp, err := callPeer[recordsRequest, changelog.Notice](ctx, s, to, methodRecords, &recordsRequest{From: from})
	if err != nil {
		return changelog.Notice{}, err
	}
	return *resp, nil
}

// Image implements changelog.Peers.
func (s *Sync) Image(ctx context.Context, to string) ([]byte, error) {
	resp, err := callPeer[empty, snapshotResponse](ctx, s, to, methodSnapshot, &empty{})
	if err != nil {
		return nil, err
	}
	return resp.Image, nil
}

// PeerStatus returns the configuration status of a node, by a call to the node unless it
// is this one. The call can be retried safely.
func (s *Sync) PeerStatus(ctx context.Context, node string) (NodeStatus, error) {
	if node == s.cluster.Self().ID {
		return s.ownStatus(), nil
	}
	resp, err := callPeer[empty, NodeStatus](ctx, s, node, methodStatus, &empty{})
	if err != nil {
		return NodeStatus{}, err
	}
	return *resp, nil
}

func (s *Sync) ownStatus() NodeStatus {
	return NodeStatus{Applied: s.configStore.View().Applied(), Stale: s.Status().Stale}
}

func callPeer[Req, Resp any](ctx context.Context, s *Sync, to, method string, req *Req) (*Resp, error) {
	m, ok := s.cluster.Members().Lookup(to)
	if !ok {
		return nil, result.New(result.UnknownObject, result.WithField(to))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peers.Call[Req, Resp](ctx, s.cluster.Pool, m.Addr, method, req)
}

func (s *Sync) serveNotify(_ context.Context, _ peers.Identity, n *changelog.Notice) (*empty, error) {
	s.follower.Handle(*n)
	return &empty{}, nil
}

func (s *Sync) serveRecords(_ context.Context, _ peers.Identity, req *recordsRequest) (*changelog.Notice, error) {
	n, err := s.follower.Records(req.From)
	return &n, err
}

func (s *Sync) serveSnapshot(context.Context, peers.Identity, *empty) (*snapshotResponse, error) {
	image, err := s.follower.Image()
	return &snapshotResponse{Image: image}, err
}

func (s *Sync) serveStatus(context.Context, peers.Identity, *empty) (*NodeStatus, error) {
	status := s.ownStatus()
	return &status, nil
}
