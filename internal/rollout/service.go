package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/owner"
	"github.com/cherryward/cherryward/internal/peers"
)

// Name is the service's name in the kernel.
const Name = "rollout"

// ClaimsSuffix is appended to the name of the configuration's stream to form the name of the claims'
// stream.
const ClaimsSuffix = "-claims"

const (
	methodReport  = "rollout.report"  // idempotent
	methodHolders = "rollout.holders" // idempotent

	boardPrefix   = "rollout/"
	sweepInterval = time.Second
	callTimeout   = time.Second
)

// Service is the rollout service.
type Service struct {
	// VersionSelector selects the weight versions of new requests. It is set by Start.
	VersionSelector *VersionSelector
	// Counters count the actions of this node.
	Counters *Counters

	claims     *claimLog
	core       *core
	board      *board
	cluster    *cluster.Cluster
	supervisor *supervisor
	workers    map[string]context.CancelFunc
	wg         sync.WaitGroup
}

var (
	_ kernel.Service = (*Service)(nil)
	_ kernel.Runner  = (*Service)(nil)
	_ Reporter       = (*Service)(nil)
)

// New returns the service of a node. claims is a stream of the log that holds only claims.
func New(node string, claims changelog.Log, engines Engines, log zerolog.Logger) (*Service, error) {
	s := &Service{
		Counters: &Counters{},
		claims:   &claimLog{log: claims},
		board:    newBoard(),
		workers:  make(map[string]context.CancelFunc),
	}
	claimer, err := newClaimer(node, s.claims)
	if err != nil {
		return nil, err
	}
	s.core = &core{
		claimer:  claimer,
		engines:  engines,
		reporter: s,
		counters: s.Counters,
		log:      log.With().Str("service", Name).Logger(),
	}
	return s, nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{cluster.Name, configsync.Name, owner.Name} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.cluster, err = kernel.Lookup[*cluster.Cluster](k, cluster.Name); err != nil {
		return err
	}
	sync, err := kernel.Lookup[*configsync.Sync](k, configsync.Name)
	if err != nil {
		return err
	}
	engines, err := kernel.Lookup[*owner.Service](k, owner.Name)
	if err != nil {
		return err
	}
	s.core.configSource = sync
	s.core.configFresh = func() bool { return sync.Ready() == nil }
	s.core.owner = engines
	s.core.leaving = s.cluster.HostLeaving
	s.supervisor = &supervisor{
		board:        s.board,
		configSource: sync,
		proposer:     sync,
		configFresh:  s.core.configFresh,
		ownsBoard:    func(model string) bool { return s.cluster.Owns(boardKey(model)) },
		counters:     s.Counters,
		log:          s.core.log,
		lastLogged:   make(map[string]Progress),
	}
	s.VersionSelector = newVersionSelector(sync, s.holders)
	peers.Handle(s.cluster.Server, methodReport, s.serveReport)
	peers.Handle(s.cluster.Server, methodHolders, s.serveHolders)
	return nil
}

// Run implements kernel.Runner. It runs a worker for each engine that this node owns, and supervises
// the models whose boards it owns.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer s.wg.Wait()
	for {
		s.updateWorkers(ctx)
		s.supervisor.check(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// updateWorkers starts and stops workers as the ownership of engines changes.
func (s *Service) updateWorkers(ctx context.Context) {
	owned := make(map[string]bool)
	for value := range s.core.configSource.View().All(config.KindEndpoint) {
		e, ok := value.(*pb.Endpoint)
		if ok && e.GetKind() == pb.EndpointKind_ENDPOINT_KIND_ENGINE && s.cluster.Owns(e.GetName()) {
			owned[e.GetName()] = true
		}
	}
	for name, cancel := range s.workers {
		if !owned[name] {
			cancel()
			delete(s.workers, name)
		}
	}
	for name := range owned {
		if s.workers[name] == nil {
			workerCtx, cancel := context.WithCancel(ctx)
			s.workers[name] = cancel
			w := newWorker(s.core, name)
			s.wg.Go(func() { w.run(workerCtx) })
		}
	}
}

// Appends returns the number of claim records that this node has appended.
func (s *Service) Appends() int64 { return s.claims.appends.Load() }

// Progress returns the progress of the models whose boards this node owns.
func (s *Service) Progress() []Progress {
	var all []Progress
	for _, f := range s.board.combineAll(time.Now(), s.core.configSource.View()) {
		if s.supervisor.ownsBoard(f.target.Model) {
			all = append(all, f.progress())
		}
	}
	return all
}

func boardKey(model string) string { return boardPrefix + model }

// BoardOwner implements Reporter.
func (s *Service) BoardOwner(model string) string {
	id, _ := s.cluster.Owner(boardKey(model))
	return id
}

// Report implements Reporter.
func (s *Service) Report(ctx context.Context, r Report) (Standing, error) {
	resp, err := callBoardOwner(ctx, s, r.Model, methodReport, &r, s.serveReport)
	if err != nil {
		return Standing{}, err
	}
	return *resp, nil
}

// holdersRequest requests the holders of a model's versions from its board.
type holdersRequest struct {
	Model string `json:"m"`
}

// holdersResponse lists the holders. Complete is false while reports are still being collected.
type holdersResponse struct {
	Holders  []Holders `json:"h,omitempty"`
	Complete bool      `json:"w,omitempty"`
}

func (s *Service) holders(ctx context.Context, model string) (*holdersResponse, error) {
	return callBoardOwner(ctx, s, model, methodHolders, &holdersRequest{Model: model}, s.serveHolders)
}

func (s *Service) serveReport(_ context.Context, _ peers.Identity, r *Report) (*Standing, error) {
	reply := s.board.Report(time.Now(), s.core.configSource.View(), *r)
	return &reply, nil
}

func (s *Service) serveHolders(_ context.Context, _ peers.Identity, r *holdersRequest) (*holdersResponse, error) {
	holders, complete := s.board.Holders(time.Now(), s.core.configSource.View(), r.Model)
	return &holdersResponse{Holders: holders, Complete: complete}, nil
}

// callBoardOwner calls the node that owns a model's board, or serves the call locally if that is this
// node.
func callBoardOwner[Req, Resp any](ctx context.Context, s *Service, model, method string, req *Req, local func(context.Context, peers.Identity, *Req) (*Resp, error)) (*Resp, error) {
	node, addr := s.cluster.Owner(boardKey(model))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peers.CallOrServe(ctx, s.cluster.Pool, node, addr, method, req, local)
}
