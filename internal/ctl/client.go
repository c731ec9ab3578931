package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/gen/cherryward/v1/cherrywardv1connect"
	"github.com/cherryward/cherryward/internal/operator"
	"github.com/cherryward/cherryward/internal/result"
)

// dialTimeout bounds the connecting to one server before the next is tried.
const dialTimeout = 2 * time.Second

// server is one node's operators' port.
type server struct {
	url    string
	config cherrywardv1connect.ConfigServiceClient
	status cherrywardv1connect.StatusServiceClient
}

// client calls the first of several servers that can answer.
type client struct {
	servers []server
	timeout time.Duration
}

// newClient returns a client of the servers; timeout bounds one attempt.
func newClient(urls []string, credential string, timeout time.Duration) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	web := &http.Client{Transport: bearer{
		next:       &http.Transport{DialContext: dialer.DialContext, ForceAttemptHTTP2: true},
		credential: credential,
	}}
	c := &client{timeout: timeout}
	for _, url := range urls {
		c.servers = append(c.servers, server{
			url:    url,
			config: cherrywardv1connect.NewConfigServiceClient(web, url),
			status: cherrywardv1connect.NewStatusServiceClient(web, url),
		})
	}
	return c
}

// bearer sends the credential with every request.
type bearer struct {
	next       http.RoundTripper
	credential string
}

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.credential)
	return b.next.RoundTrip(r)
}

// elsewhere lists the results for which another server may do better. Repeating
// a write there is safe: it carries the same change id.
var elsewhere = []result.Code{
	result.EndpointUnreachable, result.OutcomeUnknown, result.LogUnavailable,
	result.Draining, result.NodeStale, result.Overloaded,
}

// rpc is one call at one server.
type rpc[Res any] func(ctx context.Context, s server) (*connect.Response[Res], error)

// call tries one server after the other until one answers. The codes in also
// are passed over too.
func call[Res any](ctx context.Context, c *client, do rpc[Res], also ...result.Code) (*Res, error) {
	var failures []error
	for _, s := range c.servers {
		res, err := attempt(ctx, c, s, do)
		if err == nil {
			return res.Msg, nil
		}
		e := remoteError(err)
		failures = append(failures, fmt.Errorf("%s: %w", s.url, e))
		if !slices.Contains(elsewhere, e.Code) && !slices.Contains(also, e.Code) {
			break
		}
	}
	// The last failure comes first: it decides the exit code.
	slices.Reverse(failures)
	return nil, errors.Join(failures...)
}

func attempt[Res any](ctx context.Context, c *client, s server, do rpc[Res]) (*connect.Response[Res], error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return do(ctx, s)
}

// remoteError returns the result that a server attached to its error. Without
// one, the server was not reached or did not answer.
func remoteError(err error) *result.Error {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return result.From(err)
	}
	for _, detail := range wire.Details() {
		value, valueErr := detail.Value()
		if d, ok := value.(*pb.ResultDetail); ok && valueErr == nil {
			return fromDetail(d)
		}
	}
	if number, numErr := strconv.Atoi(wire.Meta().Get(operator.HeaderResult)); numErr == nil {
		return result.New(result.Code(number), result.WithMessage("%s", wire.Message()))
	}
	switch wire.Code() {
	case connect.CodeUnavailable:
		return result.Wrap(err, result.EndpointUnreachable, result.WithMessage("the server can't be reached"))
	case connect.CodeUnimplemented:
		// A node serves all calls. After its end another program may listen at its address.
		return result.Wrap(err, result.EndpointUnreachable, result.WithMessage("no node answers at this address"))
	case connect.CodeDeadlineExceeded:
		return result.Wrap(err, result.OutcomeUnknown, result.WithMessage("the server did not answer in time"))
	case connect.CodeUnknown, connect.CodeInternal, connect.CodeUnauthenticated, connect.CodePermissionDenied:
		// A node's own error says its result. Another program answers here, or the answer broke off.
		return result.Wrap(err, result.OutcomeUnknown, result.WithMessage("no node's answer came from this address"))
	}
	return result.From(err)
}

func fromDetail(d *pb.ResultDetail) *result.Error {
	return result.New(result.Code(d.GetNumber()),
		result.WithMessage("%s", d.GetMessage()),
		result.WithField(d.GetField()),
		result.WithRunState(result.RunState(d.GetRunState())),
		result.WithRevision(d.GetRevision()),
		result.WithRetryAfter(time.Duration(d.GetRetryAfterMs())*time.Millisecond),
	)
}

func (c *client) apply(ctx context.Context, req *pb.ApplyRequest) (*pb.ApplyResponse, error) {
	return call(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ApplyResponse], error) {
		return s.config.Apply(ctx, connect.NewRequest(req))
	})
}

// get returns an object, or nil where there is none.
func (c *client) get(ctx context.Context, kind, name string) (*pb.Object, error) {
	res, err := call(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.GetResponse], error) {
		return s.config.Get(ctx, connect.NewRequest(&pb.GetRequest{Kind: kind, Name: name}))
	})
	if result.Is(err, result.UnknownObject) {
		return nil, nil
	}
	return res.GetObject(), err
}

func (c *client) list(ctx context.Context, kind string) (*pb.ListResponse, error) {
	return call(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ListResponse], error) {
		return s.config.List(ctx, connect.NewRequest(&pb.ListRequest{Kind: kind}))
	})
}

func (c *client) status(ctx context.Context) (*pb.StatusResponse, error) {
	return call(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.StatusResponse], error) {
		return s.status.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	})
}

// explain asks one node after the other: only the one that took the request
// keeps a record of it.
func (c *client) explain(ctx context.Context, requestID string) (*pb.ExplainRequestResponse, error) {
	return call(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ExplainRequestResponse], error) {
		return s.status.ExplainRequest(ctx, connect.NewRequest(&pb.ExplainRequestRequest{RequestId: requestID}))
	}, result.UnknownRequest)
}
