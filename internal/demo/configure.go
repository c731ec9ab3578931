package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/gen/cherryward/v1/cherrywardv1connect"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/runid"
)

// Names of the model, its version and the service in the configuration of a fleet.
const (
	Model   = "melt-summary"
	Version = "v1"
	Ledger  = "ledger"
)

// Accounts lists the client accounts. The key of each is KeyOf(name).
var Accounts = []string{"inspectors", "mill-clerks", "certifiers"}

// KeyOf returns the bearer key of an account.
func KeyOf(account string) string { return "key-" + account }

// Client returns a client for the operators' RPCs of a node.
func Client(m *Member) cherrywardv1connect.ConfigServiceClient {
	return ClientAt("http://" + m.OperatorsAddr().String())
}

// ClientAt returns a client for the operators' RPCs at a base URL.
func ClientAt(url string) cherrywardv1connect.ConfigServiceClient {
	return cherrywardv1connect.NewConfigServiceClient(http.DefaultClient, url, connect.WithInterceptors(withKey{}))
}

// withKey adds the operators' bearer key to requests.
type withKey struct{}

// WrapUnary implements connect.Interceptor.
func (withKey) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", "Bearer "+OperatorsKey)
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (withKey) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (withKey) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// Objects returns the configuration objects for the fleet's accounts, model and endpoints.
func (f *Fleet) Objects() []*pb.Object {
	var out []*pb.Object
	for _, name := range append([]string{fillerAccount}, Accounts...) {
		account := &pb.ClientAccount{Name: name, KeyHashes: []string{config.HashKey(KeyOf(name))}}
		out = append(out, config.ToObject(account, 0))
	}
	out = append(out,
		config.ToObject(&pb.ModelVersion{Name: config.VersionName(Model, Version), Model: Model, Version: Version}, 0),
		config.ToObject(&pb.Model{Name: Model, Version: Version, Objective: &pb.Objective{FirstTokenSeconds: 1}}, 0),
	)
	for i, url := range f.EngineURLs {
		out = append(out, config.ToObject(&pb.Endpoint{
			Name:          fmt.Sprintf("engine-%d", i+1),
			Kind:          pb.EndpointKind_ENDPOINT_KIND_ENGINE,
			Url:           url,
			FailureDomain: domains[i%len(domains)],
			Models:        []string{Model},
		}, 0))
	}
	for i, url := range f.StoreURLs {
		out = append(out, config.ToObject(&pb.Endpoint{
			Name:          fmt.Sprintf("store-%d", i+1),
			Kind:          pb.EndpointKind_ENDPOINT_KIND_STORE,
			Url:           url,
			FailureDomain: domains[i%len(domains)],
		}, 0))
	}
	return append(out, config.ToObject(&pb.Endpoint{
		Name:          Ledger,
		Kind:          pb.EndpointKind_ENDPOINT_KIND_SERVICE,
		Url:           f.ServiceURL,
		FailureDomain: domains[0],
		Service:       Ledger,
		Idempotent:    []string{"GET /"},
	}, 0))
}

// Configure applies the configuration through the operators' RPCs and waits until every node has
// applied it. It returns the time until the last change was applied by all nodes.
func (f *Fleet) Configure(ctx context.Context) (time.Duration, error) {
	if err := f.waitReady(ctx); err != nil {
		return 0, err
	}
	client := Client(f.Nodes[0])
	var last *connect.Response[pb.ApplyResponse]
	objects := f.Objects()
	for i, object := range objects {
		req := &pb.ApplyRequest{ChangeId: runid.Nonce(), Object: object, Wait: i == len(objects)-1}
		resp, err := client.Apply(ctx, connect.NewRequest(req))
		if err != nil {
			return 0, eris.Wrapf(err, "apply %v", object)
		}
		last = resp
	}
	return time.Duration(last.Msg.GetInForceSeconds() * float64(time.Second)), nil
}

// Limit sets an account's limits and waits until all nodes have applied them.
func (f *Fleet) Limit(ctx context.Context, name string, limits *pb.Limits) error {
	client := Client(f.Nodes[0])
	got, err := client.Get(ctx, connect.NewRequest(&pb.GetRequest{Kind: string(config.KindAccount), Name: name}))
	if err != nil {
		return err
	}
	object := got.Msg.GetObject()
	object.GetAccount().Limits = limits
	req := &pb.ApplyRequest{ChangeId: runid.Nonce(), BasedOn: object.GetRevision(), Object: object, Wait: true}
	_, err = client.Apply(ctx, connect.NewRequest(req))
	return err
}

// waitReady waits until every node has a configuration and has discovered the other nodes.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, m := range f.Nodes {
		if err := waitUntil(ctx, func() bool { return m.ready(ctx) && f.listsAllNodes(ctx, m) }); err != nil {
			return eris.Wrapf(err, "wait for %s", m.ID)
		}
	}
	return nil
}

func (m *Member) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.URL()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listsAllNodes reports whether a node lists every running node of the fleet as alive.
func (f *Fleet) listsAllNodes(ctx context.Context, m *Member) bool {
	resp, err := StatusClient(m).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return false
	}
	alive := 0
	for _, n := range resp.Msg.GetNodes() {
		if n.GetIncarnation() != 0 && n.GetState() == "alive" {
			alive++
		}
	}
	return alive >= f.running()
}

// Settle waits until no endpoint has running or waiting requests, as reported by the endpoints' owners,
// the nodes that track the endpoints' load.
func (f *Fleet) Settle(ctx context.Context) error {
	client := StatusClient(f.Nodes[0])
	return waitUntil(ctx, func() bool {
		resp, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err != nil {
			return false
		}
		for _, e := range resp.Msg.GetEndpoints() {
			if e.GetRunning()+e.GetWaiting() > 0 {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) running() int {
	n := 0
	for _, m := range f.Nodes {
		if !m.stopped.Load() {
			n++
		}
	}
	return n
}

// URL returns the base URL of the callers' API.
func (m *Member) URL() string { return "http://" + m.CallersAddr().String() }

// StatusClient returns a client for a node's status RPCs.
func StatusClient(m *Member) cherrywardv1connect.StatusServiceClient {
	return StatusClientAt("http://" + m.OperatorsAddr().String())
}

// StatusClientAt returns a client for the status RPCs at a base URL.
func StatusClientAt(url string) cherrywardv1connect.StatusServiceClient {
	return cherrywardv1connect.NewStatusServiceClient(http.DefaultClient, url, connect.WithInterceptors(withKey{}))
}

const readyInterval = 20 * time.Millisecond

// waitUntil polls a condition until it holds. It returns the error of ctx if that ends first.
func waitUntil(ctx context.Context, ok func() bool) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
