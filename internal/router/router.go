// Package router selects the engine for a prompt: it requests estimates from the owners of the
// candidates, chooses by the model's objective, and waits for the grant.
//
// Owners improve the placement, but correctness does not depend on them. Estimates that are late
// are ignored, and if the owner of the chosen engine can't be reached, the run starts without a
// grant: the engine queues it itself.
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
	// minChunks is the chain length from which estimates are requested: with a shorter chain, less
	// than one engine block could be reused.
	minChunks = 4
	// maxPlacements bounds the number of engines from which a grant is requested for one run.
	maxPlacements = 3
	// maxExplained is the number of requests whose placements are kept for Explain.
	maxExplained = 1024
	// estimateMaxAge is how long a cached estimate of an engine is used for requests for which no
	// estimate is requested, or whose estimates are late.
	estimateMaxAge = 10 * time.Second
)

// Directory provides the current configuration.
type Directory interface {
	View() *config.View
}

// Router is the placement service of an entry node.
type Router struct {
	estimateTimeout time.Duration
	countUngranted  func() // called for each run that starts without a grant
	cluster         *cluster.Cluster
	directory       Directory
	owner           *owner.Service
	candidates      candidates
	holders         Holders
	choices         *lru.Cache[string, placement.Choice]
	log             zerolog.Logger

	mu        sync.Mutex
	estimates map[estimateKey]cachedEstimate
	grants    map[string]*grant // in force
}

// Holders provides the names of the engines that hold a weight version; none if unknown.
type Holders interface {
	Holding(model, version string) []string
}

// estimateKey identifies an engine and the weights for which its estimate was requested.
type estimateKey struct {
	endpoint, model, version string
}

// cachedEstimate is an owner's last estimate of an engine.
type cachedEstimate struct {
	at     time.Time
	engine placement.EngineEstimate
}

var (
	_ kernel.Service = (*Router)(nil)
	_ runs.Placer    = (*Router)(nil)
)

// New returns the service. It calls countUngranted for each run that starts without a grant.
func New(estimateTimeout time.Duration, countUngranted func(), log zerolog.Logger) (*Router, error) {
	choices, err := lru.New[string, placement.Choice](maxExplained)
	if err != nil {
		return nil, err
	}
	return &Router{
		estimateTimeout: estimateTimeout,
		countUngranted:  countUngranted,
		choices:         choices,
		log:             log.With().Str("service", Name).Logger(),
		estimates:       make(map[estimateKey]cachedEstimate),
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
	r.holders = rollouts.VersionSelector
	r.cluster.OnChange(r.notifyNewOwners)
	return nil
}

// Place implements runs.Placer. If no untried engine accepts requests, it tries all again, as one
// that restarted may accept requests by now.
func (r *Router) Place(ctx context.Context, req *runs.Request, tried []string) (runs.Grant, error) {
	g, err := r.placeUntried(ctx, req, tried)
	if len(tried) > 0 && result.Is(err, result.NoEndpoint) {
		return r.placeUntried(ctx, req, nil)
	}
	return g, err
}

// placeUntried places a request on an engine that is not among those tried.
func (r *Router) placeUntried(ctx context.Context, req *runs.Request, tried []string) (runs.Grant, error) {
	var refused error
	tried = slices.Clone(tried)
	for range maxPlacements {
		choice, endpoint, err := r.choose(ctx, req, tried)
		if err != nil {
			return nil, firstError(refused, err)
		}
		g := r.newGrant(req, endpoint, choice)
		err = r.acquire(ctx, g, choice)
		if err == nil {
			return g, nil
		}
		if !isRetryableElsewhere(err) {
			return nil, err
		}
		refused = firstError(refused, err)
		tried = append(tried, endpoint.GetName())
	}
	return nil, refused
}

// firstError returns the first engine's refusal, which holds the retry delay, or err if there was
// none.
func firstError(refused, err error) error {
	if refused != nil {
		return refused
	}
	return err
}

// isRetryableElsewhere reports whether another engine may accept a request that was refused with
// err.
func isRetryableElsewhere(err error) bool {
	switch result.From(err).Code {
	case result.Shed, result.EndpointRejected, result.NoEndpoint, result.DeadlineUnmeetable:
		return true
	}
	return false
}

// choose selects an engine among those not tried.
func (r *Router) choose(ctx context.Context, req *runs.Request, tried []string) (placement.Choice, *pb.Endpoint, error) {
	view := r.directory.View()
	endpoints := r.servingEndpoints(view, req, tried)
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
	engines := r.cachedEngines(req, endpoints)
	model, _ := view.Model(req.Model)
	request := placement.Request{TimeLeft: time.Until(req.Deadline), Weights: owner.ObjectiveOf(model)}
	if len(req.Chain) < minChunks {
		return placement.PlaceByLoad(request, engines, globalRand{})
	}
	collected := r.estimate(ctx, req, engines, r.owner.StoresFor(req.Chain))
	request.PromptTokens = collected.promptTokens
	return placement.Place(request, engines, collected.stores, globalRand{})
}

// cachedEngines returns an engine for each endpoint, with the usable values of its cached estimate.
func (r *Router) cachedEngines(req *runs.Request, endpoints []*pb.Endpoint) []placement.EngineEstimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	engines := make([]placement.EngineEstimate, len(endpoints))
	for i, e := range endpoints {
		engines[i] = placement.EngineEstimate{Endpoint: e.GetName(), FailureDomain: e.GetFailureDomain(), Status: placement.Late}
		cached, ok := r.estimates[estimateKey{e.GetName(), req.Model, req.Version}]
		if !ok {
			continue
		}
		// The layout does not expire: without one no store is queried, and the next prompt of a
		// conversation after a pause would be read in full.
		engines[i].Layout = cached.engine.Layout
		if now.Sub(cached.at) > estimateMaxAge {
			continue
		}
		engines[i].LastWait = cached.engine.LastWait
		engines[i].PrefillRate = cached.engine.PrefillRate
		if cached.engine.Status == placement.NotInRotation {
			engines[i].Status = placement.NotInRotation
		}
	}
	return engines
}

func (r *Router) cacheEstimates(p *owner.Prompt, engines []placement.EngineEstimate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, e := range engines {
		r.estimates[estimateKey{e.Endpoint, p.Model, p.Version}] = cachedEstimate{at: now, engine: e}
	}
}

// Explain returns the placement of a recent request, with the verdict on each candidate.
func (r *Router) Explain(requestID string) (placement.Choice, bool) {
	return r.choices.Get(requestID)
}

// promptOf returns the description of a request's prompt that is sent to owners.
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

// globalRand uses the process's global random source, which is safe for concurrent use.
type globalRand struct{}

var _ placement.Rand = globalRand{}

// IntN implements placement.Rand.
func (globalRand) IntN(n int) int { return rand.IntN(n) }
