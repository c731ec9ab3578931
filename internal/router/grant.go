package router

import (
	"context"
	"errors"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/owner"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/placement"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
	"github.com/cherryward/cherryward/internal/runs"
)

const (
	// notifyTimeout bounds background calls to owners.
	notifyTimeout = 2 * time.Second

	// An engine's first frame may take firstFrameFactor times the predicted time plus
	// firstFrameBase.
	firstFrameBase   = 10 * time.Second
	firstFrameFactor = 4
)

// errNoOwner means that the engine's owner did not respond.
var errNoOwner = errors.New("engine owner did not respond")

// grant is the permission for one run, as held by the entry node.
type grant struct {
	r                 *Router
	id                string
	endpoint          *pb.Endpoint
	prompt            owner.Prompt
	class             int
	weight            float64
	tokens            int
	createdAt         time.Time
	deadline          time.Time
	firstFrameTimeout time.Duration

	importedTokens int
	importedBytes  int64

	node string // owner to which the grant was last requested or reported; guarded by Router.mu
}

var _ runs.Grant = (*grant)(nil)

func (r *Router) newGrant(req *runs.Request, endpoint *pb.Endpoint, choice placement.Choice) *grant {
	return &grant{
		r:                 r,
		id:                runid.Nonce(),
		endpoint:          endpoint,
		prompt:            promptOf(req),
		class:             int(req.Class),
		weight:            req.Weight,
		tokens:            max(choice.Cached+choice.Recompute+choice.Import.Tokens, estimatePromptTokens(req), 1),
		createdAt:         time.Now(),
		deadline:          req.Deadline,
		firstFrameTimeout: firstFrameBase + firstFrameFactor*choice.FirstToken,
	}
}

// Endpoint implements runs.Grant.
func (g *grant) Endpoint() *pb.Endpoint { return g.endpoint }

// ImportedContext implements runs.Grant.
func (g *grant) ImportedContext() (tokens int, bytes int64) { return g.importedTokens, g.importedBytes }

// FirstFrameTimeout implements runs.Grant.
func (g *grant) FirstFrameTimeout() time.Duration { return g.firstFrameTimeout }

// acquire waits for the owner's grant. If the owner can't be reached, the run starts without a
// grant.
func (r *Router) acquire(ctx context.Context, g *grant, choice placement.Choice) error {
	resp, err := r.awaitGrant(ctx, g, choice)
	switch {
	case err == nil:
		g.importedTokens, g.importedBytes = resp.ImportedTokens, resp.ImportedBytes
	case errors.Is(err, errNoOwner):
		r.countUngranted()
		r.log.Warn().Str("event", "no_owner").Str("endpoint", g.endpoint.GetName()).Send()
	default:
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants[g.id] = g
	return nil
}

// awaitGrant polls the owner until it has decided. An owner that is suspended responds to no poll,
// and delays a request by at most twice the duration of a poll.
func (r *Router) awaitGrant(ctx context.Context, g *grant, choice placement.Choice) (*owner.GrantResponse, error) {
	req := &owner.GrantRequest{
		Endpoint: g.endpoint.GetName(),
		Grant:    g.id,
		Class:    g.class,
		Weight:   g.weight,
		Prompt:   g.prompt,
		Tokens:   g.tokens,
		Import:   choice.Import,
	}
	for {
		req.Prompt.TimeLeft = time.Until(g.deadline)
		resp, err := r.requestGrant(ctx, g, req)
		if ctx.Err() != nil {
			g.cancel()
			return nil, result.Wrap(ctx.Err(), result.From(ctx.Err()).Code, result.WithRunState(result.NotRun))
		}
		if err == nil && resp.Queued {
			continue
		}
		return resp, err
	}
}

func (r *Router) requestGrant(ctx context.Context, g *grant, req *owner.GrantRequest) (*owner.GrantResponse, error) {
	node, addr := r.cluster.Owner(req.Endpoint)
	g.setNode(node)
	if node == r.cluster.Self().ID {
		return r.owner.Grant(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*owner.GrantPoll)
	defer cancel()
	resp, err := peers.Call[owner.GrantRequest, owner.GrantResponse](ctx, r.cluster.Pool, addr, owner.MethodGrant, req)
	if err != nil && !isOwnerDecision(err) {
		return nil, errNoOwner
	}
	return resp, err
}

// isOwnerDecision reports whether the error is a decision of the owner, rather than a failure to
// reach it.
func isOwnerDecision(err error) bool {
	if peers.IsNotSent(err) {
		return false
	}
	var e *result.Error
	return errors.As(err, &e) && e.Code != result.Draining && e.Code != result.Internal
}

func (g *grant) setNode(node string) {
	g.r.mu.Lock()
	defer g.r.mu.Unlock()
	g.node = node
}

// cancel withdraws, in the background, a request that was not granted.
func (g *grant) cancel() {
	go func() {
		req := &owner.CancelRequest{Endpoint: g.endpoint.GetName(), Grant: g.id}
		_, _ = callOwner(g.r, g.endpoint.GetName(), owner.MethodCancel, req, g.r.owner.Cancel) // if this fails, the request expires at the owner
	}()
}

// FirstToken implements runs.Grant. It notifies the owner in the background. If this fails, the
// owner grants no run between the predicted end of the prefill and the time at which it assumes
// that the report is lost.
func (g *grant) FirstToken(observed runs.RunReport) {
	req := &owner.FirstTokenRequest{
		Endpoint:     g.endpoint.GetName(),
		Grant:        g.id,
		PromptTokens: observed.PromptTokens,
		CachedTokens: observed.CachedTokens,
	}
	go func() { _, _ = callOwner(g.r, req.Endpoint, owner.MethodFirst, req, g.r.owner.FirstToken) }()
}

// Done implements runs.Grant. It releases the grant in the background.
func (g *grant) Done(observed runs.RunReport) {
	g.r.mu.Lock()
	delete(g.r.grants, g.id)
	g.r.mu.Unlock()
	go g.release(observed)
}

// release reports the result of the run to the owner and caches the engine's wait from the
// response.
func (g *grant) release(observed runs.RunReport) {
	req := &owner.ReleaseRequest{
		Endpoint:     g.endpoint.GetName(),
		Grant:        g.id,
		Outcome:      uint8(outcome(observed)),
		FirstToken:   observed.FirstToken,
		Total:        observed.Total,
		PromptTokens: observed.PromptTokens,
		CachedTokens: observed.CachedTokens,
		OutputTokens: observed.OutputTokens,
		Incarnation:  observed.Incarnation,
		Prompt:       g.prompt,
		Blocks:       observed.Blocks,
	}
	resp, err := callOwner(g.r, g.endpoint.GetName(), owner.MethodRelease, req, g.r.owner.Release)
	if err != nil {
		return // the grant expires at the owner some time after its deadline
	}
	g.r.mu.Lock()
	defer g.r.mu.Unlock()
	key := estimateKey{req.Endpoint, g.prompt.Model, g.prompt.Version}
	cached := g.r.estimates[key]
	cached.at, cached.engine.LastWait = time.Now(), resp.Wait
	g.r.estimates[key] = cached
}

// outcome returns how a run ended.
func outcome(observed runs.RunReport) enginestate.Outcome {
	switch {
	case observed.Complete:
		return enginestate.Completed
	case observed.Err == nil:
		return enginestate.Abandoned
	}
	e := result.From(observed.Err)
	switch e.Code {
	case result.CallerDisconnected, result.DeadlinePassed:
		return enginestate.Abandoned
	case result.EndpointRejected:
		if e.RunState == result.NotRun {
			return enginestate.Refused
		}
	}
	return enginestate.Failed
}

// callOwner calls the current owner of an endpoint, on this or another node.
func callOwner[Req, Resp any](r *Router, endpoint, method string, req *Req, local func(context.Context, *Req) (*Resp, error)) (*Resp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	return cluster.CallOwner(ctx, r.cluster, endpoint, method, req, local)
}

// notifyNewOwners reports the grants in force to owners that took over their engines since.
func (r *Router) notifyNewOwners() {
	r.mu.Lock()
	defer r.mu.Unlock()
	moved := make(map[string]*owner.AdoptRequest)
	now := time.Now()
	for _, g := range r.grants {
		name := g.endpoint.GetName()
		node, _ := r.cluster.Owner(name)
		if node == g.node {
			continue
		}
		g.node = node
		if moved[name] == nil {
			moved[name] = &owner.AdoptRequest{Endpoint: name}
		}
		moved[name].Grants = append(moved[name].Grants, g.adoptedGrant(now))
	}
	for name, req := range moved {
		go func() {
			_, _ = callOwner(r, name, owner.MethodAdopt, req, r.owner.Adopt) // if this fails, the new owner grants too much for a limited time
		}()
	}
}

// adoptedGrant returns the grant in the form that is sent to a new owner.
func (g *grant) adoptedGrant(now time.Time) owner.AdoptedGrant {
	return owner.AdoptedGrant{
		Grant:    g.id,
		Account:  g.prompt.Account,
		Class:    g.class,
		Weight:   g.weight,
		Model:    g.prompt.Model,
		Tokens:   g.tokens,
		Age:      now.Sub(g.createdAt),
		TimeLeft: g.deadline.Sub(now),
	}
}
