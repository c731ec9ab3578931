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

// dialTimeout is the timeout for connecting to one server.
const dialTimeout = 2 * time.Second

// nodeServer is the operators' listener of one node.
type nodeServer struct {
	url    string
	config cherrywardv1connect.ConfigServiceClient
	status cherrywardv1connect.StatusServiceClient
}

// client sends calls to the first of several servers that responds.
type client struct {
	servers []nodeServer
	timeout time.Duration
}

// newClient returns a client of the servers. timeout applies to each attempt at one
// server.
func newClient(urls []string, credential string, timeout time.Duration) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	httpClient := &http.Client{Transport: bearer{
		next:       &http.Transport{DialContext: dialer.DialContext, ForceAttemptHTTP2: true},
		credential: credential,
	}}
	c := &client{timeout: timeout}
	for _, url := range urls {
		c.servers = append(c.servers, nodeServer{
			url:    url,
			config: cherrywardv1connect.NewConfigServiceClient(httpClient, url),
			status: cherrywardv1connect.NewStatusServiceClient(httpClient, url),
		})
	}
	return c
}

// bearer is a transport that adds the credential to every request.
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

// nextServerCodes lists the results after which the next server is tried. Retrying a write
// there is safe because it has the same change id.
var nextServerCodes = []result.Code{
	result.EndpointUnreachable, result.OutcomeUnknown, result.LogUnavailable,
	result.Draining, result.NodeStale, result.Overloaded,
}

// rpc is a call to one server.
type rpc[Res any] func(ctx context.Context, s nodeServer) (*connect.Response[Res], error)

// call tries the servers in order until one succeeds or fails with a result that another
// server would return as well. It also tries the next server after the codes in
// extraRetryCodes.
func call[Res any](ctx context.Context, c *client, do rpc[Res], extraRetryCodes ...result.Code) (*Res, error) {
	var failures []error
	for _, s := range c.servers {
		res, err := callServer(ctx, c, s, do)
		if err == nil {
			return res.Msg, nil
		}
		e := remoteError(err)
		failures = append(failures, fmt.Errorf("%s: %w", s.url, e))
		if !slices.Contains(nextServerCodes, e.Code) && !slices.Contains(extraRetryCodes, e.Code) {
			break
		}
	}
	// The last failure must be the first in the list, since it determines the exit code.
	slices.Reverse(failures)
	return nil, errors.Join(failures...)
}

func callServer[Res any](ctx context.Context, c *client, s nodeServer, do rpc[Res]) (*connect.Response[Res], error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return do(ctx, s)
}

// remoteError returns the result that a server attached to its error. An error without
// one means that the server was not reached, did not respond, or is not a node.
func remoteError(err error) *result.Error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return result.From(err)
	}
	for _, detail := range connectErr.Details() {
		value, valueErr := detail.Value()
		if d, ok := value.(*pb.ResultDetail); ok && valueErr == nil {
			return fromDetail(d)
		}
	}
	if number, numErr := strconv.Atoi(connectErr.Meta().Get(operator.HeaderResult)); numErr == nil {
		return result.New(result.Code(number), result.WithMessage("%s", connectErr.Message()))
	}
	switch connectErr.Code() {
	case connect.CodeUnavailable:
		return result.Wrap(err, result.EndpointUnreachable, result.WithMessage("the server can't be reached"))
	case connect.CodeUnimplemented:
		// A node implements all calls, so another program responded. After a node has
		// ended, another program may listen at its address.
		return result.Wrap(err, result.EndpointUnreachable, result.WithMessage("no node answers at this address"))
	case connect.CodeDeadlineExceeded:
		return result.Wrap(err, result.OutcomeUnknown, result.WithMessage("the server did not answer in time"))
	case connect.CodeUnknown, connect.CodeInternal, connect.CodeUnauthenticated, connect.CodePermissionDenied:
		// A node's error has a result. Either another program responded, or the response
		// was cut off.
		return result.Wrap(err, result.OutcomeUnknown, result.WithMessage("the response from this address is not a node's"))
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
	return call(ctx, c, func(ctx context.Context, s nodeServer) (*connect.Response[pb.ApplyResponse], error) {
		return s.config.Apply(ctx, connect.NewRequest(req))
	})
}

// get returns an object, or nil if it does not exist.
func (c *client) get(ctx context.Context, kind, name string) (*pb.Object, error) {
	res, err := call(ctx, c, func(ctx context.Context, s nodeServer) (*connect.Response[pb.GetResponse], error) {
		return s.config.Get(ctx, connect.NewRequest(&pb.GetRequest{Kind: kind, Name: name}))
	})
	if result.Is(err, result.UnknownObject) {
		return nil, nil
	}
	return res.GetObject(), err
}

func (c *client) list(ctx context.Context, kind string) (*pb.ListResponse, error) {
	return call(ctx, c, func(ctx context.Context, s nodeServer) (*connect.Response[pb.ListResponse], error) {
		return s.config.List(ctx, connect.NewRequest(&pb.ListRequest{Kind: kind}))
	})
}

func (c *client) status(ctx context.Context) (*pb.StatusResponse, error) {
	return call(ctx, c, func(ctx context.Context, s nodeServer) (*connect.Response[pb.StatusResponse], error) {
		return s.status.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	})
}

// explain calls the nodes in order until one has a record of the request. Only the node
// that received the request has it.
func (c *client) explain(ctx context.Context, requestID string) (*pb.ExplainRequestResponse, error) {
	return call(ctx, c, func(ctx context.Context, s nodeServer) (*connect.Response[pb.ExplainRequestResponse], error) {
		return s.status.ExplainRequest(ctx, connect.NewRequest(&pb.ExplainRequestRequest{RequestId: requestID}))
	}, result.UnknownRequest)
}
