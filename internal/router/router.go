// Package router finds the engine for a prompt: it asks the candidates' owners
// for estimates, chooses by the model's objective, and waits for the grant.
//
// Owners make placement good; they are not needed for it to be correct. Late
// ones are left out, and where the chosen engine's owner can't be reached the
// run starts without a grant: the engine queues by itself.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/owner"
	"github.com/cherryward/cherryward/internal/placement"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/rollout"
	"github.com/cherryward/cherryward/internal/runs"
)

// Name is the service's name in the kernel.
const Name = "router"

const (
	// cheapChunks is the chain length under which no estimate is asked for: less
	// than one engine block could be reused.
	cheapChunks = 4
	// maxPlacements bounds the engines that are asked for a grant of one run.
	maxPlacements = 3
	// explained is how many requests' placements are kept for explanation.
	explained = 1024
	// figuresAge is how long an owner's word on an engine is used by requests
	// that ask for no estimate.
	figuresAge = 10 * time.Second
)

// Directory gives the newest configuration.
type Directory interface {
	View() *config.View
}

// Router is the placement service of an entry node.
type Router struct {
	estimateTimeout time.Duration
	ungoverned      func() // counts runs that start without a grant
	cluster         *cluster.Cluster
	directory       Directory
	owner           *owner.Service
	candidates      candidates
	holders         Holders
	choices         *lru.Cache[string, placement.Choice]
	log             zerolog.Logger

	mu      sync.Mutex
	figures map[figureKey]figure
	grants  map[string]*grant // in force
}

// Holders knows which engines hold a weight version; none where it does not know.
type Holders interface {
	Holding(model, version string) []string
}

// figureKey names an engine with the weights that it was asked about.
type figureKey struct {
	endpoint, model, version string
}

// figure is what an owner last said of an engine.
type figure struct {
	at     time.Time
	engine placement.Engine
}

var (
	_ kernel.Service = (*Router)(nil)
	_ runs.Placer    = (*Router)(nil)
)

// New returns the service. ungoverned is called for each run that starts without
// a grant.
func New(estimateTimeout time.Duration, ungoverned func(), log zerolog.Logger) (*Router, error) {
	choices, err := lru.New[string, placement.Choice](explained)
	if err != nil {
		return nil, err
	}
	return &Router{
		estimateTimeout: estimateTimeout,
		ungoverned:      ungoverned,
		choices:         choices,
		log:             log.With().Str("service", Name).Logger(),
		figures:         make(map[figureKey]figure),
		grants:          make(map[string]*grant),
	}, nil
}

// Name implements kernel.Service.
func (r *Router) Name() string { return Name }

// Needs implements kernel.Service.
func (r *Router) Needs() []string {
	return []string{cluster.Name, configsync.Name, owner.Name, rollout.Name}
}

// Start implements kernel.Service.
func (r *Router) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if r.cluster, err = kernel.Lookup[*cluster.Cluster](k, cluster.Name); err != nil {
		return err
	}
	if r.directory, err = kernel.Lookup[Directory](k, configsync.Name); err != nil {
		return err
	}
	if r.owner, err = kernel.Lookup[*owner.Service](k, owner.Name); err != nil {
		return err
	}
	rollouts, err := kernel.Lookup[*rollout.Service](k, rollout.Name)
	if err != nil {
		return err
	}
	r.holders = rollouts.Versions
	r.cluster.OnChange(r.handOver)
	return nil
}

// Place implements runs.Placer. Where all engines were tried it takes one of them
// again, as one that restarted may serve by now.
func (r *Router) Place(ctx context.Context, req *runs.Request, tried []string) (runs.Grant, error) {
	g, err := r.placeBeside(ctx, req, tried)
	if len(tried) > 0 && result.Is(err, result.NoEndpoint) {
		return r.placeBeside(ctx, req, nil)
	}
	return g, err
}

// placeBeside places a request on an engine that is not among those tried.
func (r *Router) placeBeside(ctx context.Context, req *runs.Request, tried []string) (runs.Grant, error) {
	var refused error
	tried = slices.Clone(tried)
	for range maxPlacements {
		choice, endpoint, err := r.choose(ctx, req, tried)
		if err != nil {
			return nil, firstOf(refused, err)
		}
		g := r.newGrant(req, endpoint, choice)
		err = r.acquire(ctx, g, choice)
		if err == nil {
			return g, nil
		}
		if !mayPlaceElsewhere(err) {
			return nil, err
		}
		refused = firstOf(refused, err)
		tried = append(tried, endpoint.GetName())
	}
	return nil, refused
}

// firstOf keeps the first engine's refusal, which says when to come back.
func firstOf(refused, err error) error {
	if refused != nil {
		return refused
	}
	return err
}

// mayPlaceElsewhere tells refusals that another engine may not give.
func mayPlaceElsewhere(err error) bool {
	switch result.From(err).Code {
	case result.Shed, result.EndpointRefused, result.NoEndpoint, result.DeadlineUnmeetable:
		return true
	}
	return false
}

// choose picks an engine among those not tried.
func (r *Router) choose(ctx context.Context, req *runs.Request, tried []string) (placement.Choice, *pb.Endpoint, error) {
	view := r.directory.View()
	endpoints := r.serving(view, req, tried)
	if len(endpoints) == 0 {
		return placement.Choice{}, nil, result.New(result.NoEndpoint, result.WithField("model"))
	}
	choice, err := r.place(ctx, req, view, endpoints)
	if errors.Is(err, placement.ErrNoEndpoint) {
		return choice, nil, result.Wrap(err, result.NoEndpoint, result.WithField("model"))
	}
	if err != nil {
		return choice, nil, err
	}
	r.choices.Add(req.ID, choice)
	i := slices.IndexFunc(endpoints, func(e *pb.Endpoint) bool { return e.GetName() == choice.Endpoint })
	return choice, endpoints[i], nil
}

func (r *Router) place(ctx context.Context, req *runs.Request, view *config.View, endpoints []*pb.Endpoint) (placement.Choice, error) {
	engines := r.lastFigures(req, endpoints)
	model, _ := view.Model(req.Model)
	request := placement.Request{TimeLeft: time.Until(req.Deadline), Weights: owner.ObjectiveOf(model)}
	if len(req.Chain) < cheapChunks {
		return placement.PlaceByLoad(request, engines, globalRand{})
	}
	answer := r.estimate(ctx, req, engines, r.owner.StoresFor(req.Chain))
	request.PromptTokens = answer.promptTokens
	return placement.Place(request, engines, answer.stores, globalRand{})
}

// lastFigures starts the list of candidates with what owners said earlier.
func (r *Router) lastFigures(req *runs.Request, endpoints []*pb.Endpoint) []placement.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	engines := make([]placement.Engine, len(endpoints))
	for i, e := range endpoints {
		engines[i] = placement.Engine{Endpoint: e.GetName(), FailureDomain: e.GetFailureDomain(), Status: placement.Late}
		f, ok := r.figures[figureKey{e.GetName(), req.Model, req.Version}]
		if !ok {
			continue
		}
		// The layout doesn't age: without one no store is asked, and a prompt that returns
		// after a pause would be read whole.
		engines[i].Layout = f.engine.Layout
		if now.Sub(f.at) > figuresAge {
			continue
		}
		engines[i].LastWait = f.engine.LastWait
		engines[i].PrefillRate = f.engine.PrefillRate
		if f.engine.Status == placement.Paused {
			engines[i].Status = placement.Paused
		}
	}
	return engines
}

func (r *Router) noteFigures(p *owner.Prompt, engines []placement.Engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, e := range engines {
		r.figures[figureKey{e.Endpoint, p.Model, p.Version}] = figure{at: now, engine: e}
	}
}

// Explain returns why a recent request went where it did.
func (r *Router) Explain(requestID string) (placement.Choice, bool) {
	return r.choices.Get(requestID)
}

// promptOf tells owners of a request.
func promptOf(req *runs.Request) owner.Prompt {
	p := owner.Prompt{
		Account:  req.Account,
		Model:    req.Model,
		Version:  req.Version,
		Adapter:  req.Adapter,
		Unit:     kvcache.UnitText,
		Size:     len(req.Prompt),
		Chain:    req.Chain,
		TimeLeft: time.Until(req.Deadline),
	}
	if req.PromptIDs != nil {
		p.Unit, p.Size = kvcache.UnitTokens, len(req.PromptIDs)
	}
	return p
}

// globalRand draws from the process's random source, which needs no lock.
type globalRand struct{}

var _ placement.Rand = globalRand{}

// IntN implements placement.Rand.
func (globalRand) IntN(n int) int { return rand.IntN(n) }
