package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/result"
)

// Values of the event field in the server's log lines.
const (
	eventCall           = "operator_call"
	eventRejected       = "operator_refused"
	eventChangeAccepted = "change_accepted"
)

// callLog is an interceptor that logs one line for each call.
type callLog struct{ log zerolog.Logger }

var _ connect.Interceptor = callLog{}

func newCallLog(log zerolog.Logger) callLog { return callLog{log: log} }

// WrapUnary implements connect.Interceptor.
func (c callLog) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		start := time.Now()
		res, err := next(ctx, req)
		c.logCall(req.Spec(), req.Peer(), start, err)
		return res, err
	}
}

// WrapStreamingClient implements connect.Interceptor; servers don't use it.
func (c callLog) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (c callLog) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		start := time.Now()
		err := next(ctx, conn)
		c.logCall(conn.Spec(), conn.Peer(), start, err)
		return err
	}
}

func (c callLog) logCall(spec connect.Spec, peer connect.Peer, start time.Time, err error) {
	event := c.log.Info()
	if err != nil {
		event = c.log.Warn().Int("result", int(result.From(err).Code)).Err(err)
	}
	event.Str("event", eventCall).
		Str("procedure", spec.Procedure).
		Str("peer", peer.Addr).
		Dur("took_ms", time.Since(start)).
		Send()
}

// controllerKey is the context key of a call's http.ResponseController.
type controllerKey struct{}

func withController(ctx context.Context, rc *http.ResponseController) context.Context {
	return context.WithValue(ctx, controllerKey{}, rc)
}

// setSendDeadline sets the write deadline of a stream's connection; the zero time
// removes it. It does nothing if the connection does not support deadlines.
func setSendDeadline(ctx context.Context, t time.Time) {
	if rc, ok := ctx.Value(controllerKey{}).(*http.ResponseController); ok {
		_ = rc.SetWriteDeadline(t)
	}
}
