// Package owner manages the endpoints that this node owns: it estimates, queues and
// grants runs on engines, and manages the KV cache blocks on store hosts.
//
// All of its state is soft: it is built from reports of endpoints and entry nodes and
// lost when the node stops. A node serves requests for any endpoint, whether or not it
// is the owner. If two nodes act as owners of the same engine, both grant runs and
// the engine queues them.
package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
)

// Name is the service's name in the kernel.
const Name = "owner"

const (
	// idleOwner is the time after which unused state of an endpoint that another node
	// owns is discarded.
	idleOwner     = 30 * time.Second
	sweepInterval = time.Second
)

// Directory provides the latest configuration.
type Directory interface {
	View() *config.View
	// Typed returns the store that the views come from.
	ConfigStore() *config.Store
}

// Service is the owner service.
type Service struct {
	cluster   *cluster.Cluster
	directory Directory
	reader    EngineReader
	density   *kvcache.Density
	salter    *kvcache.Salter
	// exportAfter is the time from the end of a turn to the decision on its export.
	exportAfter  time.Duration
	exported     func(bytes int64) // called with the bytes of each export
	log          zerolog.Logger
	lastStoreSet atomic.Pointer[storeSet] // for the configuration view used last

	mu      sync.Mutex
	ctx     context.Context // context of Run, done before Run starts; endpoint state is created only while Run runs
	wg      sync.WaitGroup
	engines map[string]*watchedEngine
	stores  map[string]*watchedStore
}

// watchedEngine is an engine with the function that stops its watch.
type watchedEngine struct {
	*engine
	cancel context.CancelFunc
}

var (
	_ kernel.Service = (*Service)(nil)
	_ kernel.Runner  = (*Service)(nil)
)

// New returns the service. An export is decided exportAfter the end of its turn.
// exported is called with the bytes of each export.
func New(reader EngineReader, salter *kvcache.Salter, exportAfter time.Duration, exported func(bytes int64), log zerolog.Logger) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return &Service{
		reader:      reader,
		density:     kvcache.NewDensity(),
		salter:      salter,
		exportAfter: exportAfter,
		exported:    exported,
		log:         log.With().Str("service", Name).Logger(),
		ctx:         ctx,
		engines:     make(map[string]*watchedEngine),
		stores:      make(map[string]*watchedStore),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{cluster.Name, configsync.Name} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.cluster, err = kernel.Lookup[*cluster.Cluster](k, cluster.Name); err != nil {
		return err
	}
	if s.directory, err = kernel.Lookup[Directory](k, configsync.Name); err != nil {
		return err
	}
	server := s.cluster.Server
	peers.Handle(server, MethodEstimate, withoutIdentity(s.Estimate))
	peers.Handle(server, MethodGrant, withoutIdentity(s.Grant))
	peers.Handle(server, MethodCancel, withoutIdentity(s.Cancel))
	peers.Handle(server, MethodFirst, withoutIdentity(s.FirstToken))
	peers.Handle(server, MethodRelease, withoutIdentity(s.Release))
	peers.Handle(server, MethodAdopt, withoutIdentity(s.Adopt))
	peers.Handle(server, methodStatus, withoutIdentity(s.serveStatus))
	peers.Handle(server, methodImport, withoutIdentity(s.serveImport))
	peers.Handle(server, methodCancelImport, withoutIdentity(s.serveCancelImport))
	peers.Handle(server, methodOffer, withoutIdentity(s.serveOffer))
	return nil
}

// withoutIdentity adapts f to a peer handler that ignores the peer's identity.
func withoutIdentity[Req, Resp any](f func(context.Context, *Req) (*Resp, error)) func(context.Context, peers.Identity, *Req) (*Resp, error) {
	return func(ctx context.Context, _ peers.Identity, req *Req) (*Resp, error) { return f(ctx, req) }
}

// runContext returns the context of Run, or a canceled context before Run starts.
func (s *Service) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}

func (e *engine) idleTime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.pending) > 0 {
		return 0
	}
	return now.Sub(e.lastUsed)
}

// engine returns the state of an engine and creates it on first use. It fails if the
// endpoint is not a configured engine or the service is stopping.
func (s *Service) engine(name string) (*engine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, ok := s.engines[name]; ok {
		return w.engine, nil
	}
	endpoint, ok := s.directory.View().Endpoint(name)
	if !ok || endpoint.GetKind() != pb.EndpointKind_ENDPOINT_KIND_ENGINE {
		return nil, result.New(result.NoEndpoint, result.WithField(name))
	}
	if s.ctx.Err() != nil {
		return nil, result.New(result.Draining)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w := &watchedEngine{engine: newEngine(name, time.Now()), cancel: cancel}
	s.engines[name] = w
	s.wg.Go(func() {
		w.watch(ctx, s.reader, func() string { return s.url(name) }, func() bool { return s.leaving(name) })
	})
	return w.engine, nil
}

func (s *Service) url(name string) string {
	e, _ := s.directory.View().Endpoint(name)
	return e.GetUrl()
}

// leaving reports whether the configuration or the platform has taken the endpoint
// out of service.
func (s *Service) leaving(name string) bool {
	e, ok := s.directory.View().Endpoint(name)
	return !ok || e.GetLeaving() || s.cluster.HostLeaving(e)
}

// Estimate returns estimates for the requested endpoints.
func (s *Service) Estimate(_ context.Context, req *EstimateRequest) (*EstimateResponse, error) {
	now := time.Now()
	resp := &EstimateResponse{PromptTokens: s.promptTokens(&req.Prompt)}
	for _, name := range req.Engines {
		e, err := s.engine(name)
		if err != nil {
			continue // omitted, as if its owner had not responded in time
		}
		resp.Engines = append(resp.Engines, e.estimate(now, &req.Prompt, resp.PromptTokens))
	}
	resp.Stores = s.estimateStores(now, req)
	return resp, nil
}

func (s *Service) promptTokens(p *Prompt) int {
	if p.Unit == kvcache.UnitTokens {
		return p.Size
	}
	return s.density.Estimate(p.Model, p.Account, p.Size)
}

// Grant waits up to GrantPoll until the run may start. An error means that the run
// was not started. Repeated calls for the same grant refer to the same request.
func (s *Service) Grant(ctx context.Context, req *GrantRequest) (*GrantResponse, error) {
	e, err := s.engine(req.Endpoint)
	if err != nil {
		return nil, err
	}
	w, isNew, err := e.enqueue(time.Now(), req)
	if err != nil {
		return nil, err
	}
	if isNew && req.Import.Tokens > 0 {
		s.startImport(e, w, req)
	}
	e.tick(time.Now())
	timer := time.NewTimer(GrantPoll)
	defer timer.Stop()
	select {
	case <-w.done:
		e.removePending(req.Grant)
		if w.err != nil {
			return nil, w.err
		}
		return &GrantResponse{ImportedTokens: w.importedTokens, ImportedBytes: w.importedBytes}, nil
	case <-timer.C:
		return &GrantResponse{Queued: true}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Cancel cancels a request for a grant.
func (s *Service) Cancel(_ context.Context, req *CancelRequest) (*None, error) {
	if e, err := s.engine(req.Endpoint); err == nil {
		e.withdraw(time.Now(), req.Grant)
	}
	return &None{}, nil
}

// FirstToken records the first output token of a granted run.
func (s *Service) FirstToken(_ context.Context, req *FirstTokenRequest) (*None, error) {
	e, err := s.engine(req.Endpoint)
	if err != nil {
		return nil, err
	}
	e.firstToken(time.Now(), req)
	return &None{}, nil
}

// Release ends a grant.
func (s *Service) Release(_ context.Context, req *ReleaseRequest) (*ReleaseResponse, error) {
	e, err := s.engine(req.Endpoint)
	if err != nil {
		return nil, err
	}
	if req.Prompt.Unit == kvcache.UnitText && req.PromptTokens > 0 {
		s.density.Observe(req.Prompt.Model, req.Prompt.Account, req.Prompt.Size, req.PromptTokens)
	}
	wait := e.release(time.Now(), req)
	if len(req.Blocks) > 0 {
		s.offerTurn(e, req)
	}
	return &ReleaseResponse{Wait: wait}, nil
}

// Adopt registers active grants that another owner has made.
func (s *Service) Adopt(_ context.Context, req *AdoptRequest) (*None, error) {
	e, err := s.engine(req.Endpoint)
	if err != nil {
		return nil, err
	}
	e.adopt(time.Now(), req.Grants)
	return &None{}, nil
}

// refusalResult converts errors of the engine's queue to result errors. Rejecting a
// request under overload must be cheap, so no stack is recorded for it.
func refusalResult(err error) error {
	var refused *enginestate.RefusedError
	if errors.As(err, &refused) {
		return result.New(result.Shed, result.WithMessage("%s", refused.Reason), result.WithRetryAfter(refused.RetryAfter))
	}
	var queue *fairqueue.RejectedError
	if errors.As(err, &queue) {
		return result.New(result.Shed, result.WithMessage("%s", queue.Reason), result.WithRetryAfter(queue.RetryAfter))
	}
	return result.Wrap(err, result.Internal, result.WithRunState(result.NotRun))
}
