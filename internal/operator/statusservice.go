package operator

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
)

// Status implements StatusServiceHandler.
func (s *Server) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	res, err := s.opts.Reporter.Status(ctx)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res), nil
}

// ExplainRequest implements StatusServiceHandler.
func (s *Server) ExplainRequest(ctx context.Context, req *connect.Request[pb.ExplainRequestRequest]) (*connect.Response[pb.ExplainRequestResponse], error) {
	res, err := s.opts.Reporter.Explain(ctx, req.Msg.GetRequestId())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(res), nil
}
