package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
)

// Watch implements ConfigServiceHandler. All watchers share the node's bounded
// history of changes. A watcher that needs changes that are no longer in the
// history fails with WatchTooSlow; one that does not read for sendTimeout is
// disconnected.
func (s *Server) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.WatchResponse]) error {
	defer s.watchers.Add(-1)
	if s.watchers.Add(1) > maxWatchers {
		return toConnectError(result.New(result.Overloaded, result.WithRetryAfter(time.Second),
			result.WithMessage("the node has its largest number of watchers: %d", maxWatchers)))
	}
	ctx, cancel := s.contextUntilStop(ctx)
	defer cancel()
	for entry, err := range s.opts.Configuration.Watch(ctx, req.Msg.GetAfter()) {
		if err != nil {
			return toConnectError(err)
		}
		if err := send(ctx, stream, entry); err != nil {
			return err
		}
	}
	select {
	case <-s.stopping:
		return toConnectError(result.New(result.Draining))
	default:
		return toConnectError(ctx.Err())
	}
}

// contextUntilStop returns a context that is also canceled when the server stops.
func (s *Server) contextUntilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-s.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func send(ctx context.Context, stream *connect.ServerStream[pb.WatchResponse], e config.Entry) error {
	setSendDeadline(ctx, time.Now().Add(sendTimeout))
	defer setSendDeadline(ctx, time.Time{})
	return stream.Send(watchResponse(e))
}

func watchResponse(e config.Entry) *pb.WatchResponse {
	res := &pb.WatchResponse{ChangeId: e.ChangeID}
	value := e.Value
	if value == nil {
		res.Deleted = true
		value = config.NewNamed(e.Kind, e.Name)
	}
	res.Object = config.ToObject(value, e.Revision)
	return res
}
