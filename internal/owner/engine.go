package owner

import (
	"context"
	"sync"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/placement"
)

const (
	maxQueue           = 2048
	defaultMaxRunning  = 64
	defaultPrefillRate = 5000 // tokens per second, used until a rate is measured
	indexBlocks        = 1 << 16
	defaultLinkRate    = 100 << 20 // bytes per second, if the configuration sets none
	// pollLimit is how long an entry node may go without polling before its request is
	// canceled.
	pollLimit = 3 * GrantPoll
)

// classWeights divide a contended engine among the priority classes, in the order
// interactive, standard, batch.
var classWeights = []fairqueue.Class{{Weight: 16}, {Weight: 4}, {Weight: 1}}

// engine is the state of an engine that this node owns.
type engine struct {
	name  string
	index *kvcache.EngineIndex
	wake  chan struct{} // signals watchTicks that the state has changed

	mu       sync.Mutex
	queue    *enginestate.Engine // queued and running requests, and estimates
	pending  map[string]*pendingGrant
	reported *enginewire.State // nil until the engine's state has been read, and after a restart until it is read again
	load     enginewire.Load
	lastUsed time.Time
	// lastModel is the model of the most recently finished run.
	lastModel string
	// runCounts holds the counts of runs on each weight version that the engine has loaded.
	runCounts      map[weightsKey]*Tally
	suspendedModel string // model whose grants are suspended; empty for none
}

// pendingGrant is a request for a grant. It is kept until its entry node has fetched
// the decision.
type pendingGrant struct {
	model          string
	done           chan struct{} // closed when the request is decided
	decided        bool
	err            error     // reason why a decided request was not granted, else nil
	lastPoll       time.Time // last call of the entry node for this grant
	cancelImport   context.CancelFunc
	importedTokens int
	importedBytes  int64
}

func newEngine(name string, now time.Time) *engine {
	cfg := enginestate.Config{Classes: classWeights, MaxQueue: maxQueue, MaxRunning: defaultMaxRunning, PrefillRate: defaultPrefillRate}
	return &engine{
		name:     name,
		index:    kvcache.NewEngineIndex(indexBlocks),
		wake:     make(chan struct{}, 1),
		queue:    enginestate.New(now, cfg),
		pending:  make(map[string]*pendingGrant),
		lastUsed: now,
	}
}

// estimate returns the engine's load and cached tokens for a prompt of about the
// given number of tokens.
func (e *engine) estimate(now time.Time, p *Prompt, tokens int) placement.EngineEstimate {
	cached := e.index.Lookup(p.Chain, tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = now
	est := e.queue.Estimate(now, e.newRequest(now, "", p, tokens, cached.Tokens))
	out := placement.EngineEstimate{
		Endpoint:     e.name,
		Status:       placement.Known,
		Wait:         est.Wait,
		PrefillRate:  est.PrefillRate,
		StepTime:     est.StepTime,
		CachedTokens: cached.Tokens,
		Running:      est.Running,
		Waiting:      est.Waiting,
		ImportRate:   defaultLinkRate,
		LastWait:     est.Wait,
	}
	if !est.Learned {
		out.PrefillRate = 0
	}
	if !est.InRotation || !e.canServe(p) {
		out.Status = placement.NotInRotation
	}
	if e.reported != nil {
		out.Layout = e.reported.KVLayout
		out.BlockTokens = e.reported.BlockTokens
		out.BlockBytes = e.reported.BlockBytes
	}
	return out
}

func (e *engine) newRequest(now time.Time, grant string, p *Prompt, tokens, cached int) enginestate.Request {
	r := enginestate.Request{Run: grant, Model: p.Model, PromptTokens: tokens, CachedTokens: min(cached, tokens)}
	r.Account = fairqueue.Account{ID: p.Account, Weight: 1}
	if p.TimeLeft > 0 {
		r.Deadline = now.Add(p.TimeLeft)
	}
	return r
}

// layout returns the engine's KV layout and incarnation. ok is false until the
// engine's state has been read, and after a restart until it is read again.
func (e *engine) layout() (layout, incarnation string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reported == nil {
		return "", "", false
	}
	return e.reported.KVLayout, e.reported.Incarnation, true
}

// prefillRate returns the measured prefill rate of a model in tokens per second, or
// 0 if there is no measurement.
func (e *engine) prefillRate(now time.Time, model string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := minimalRequest
	r.Model = model
	est := e.queue.Estimate(now, r)
	if !est.Learned {
		return 0
	}
	return est.PrefillRate
}

// minimalRequest is used for estimates that depend only on the engine.
var minimalRequest = enginestate.Request{PromptTokens: 1, Account: fairqueue.Account{Weight: 1}}

// setReported sets the reported state and the index from the engine's full state.
func (e *engine) setReported(s *enginewire.State) {
	e.index.Resync(s.Incarnation, s.EventSeq, s.Blocks)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = s
	e.reported.Blocks = nil // they are in the index
	if s.MaxRunning > 0 {
		e.queue.SetMaxRunning(s.MaxRunning)
	}
}

// setLeaving takes the engine out of service if leaving is set by the configuration
// or the platform's host list, or if the engine reports the role "leaving".
func (e *engine) setLeaving(now time.Time, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue.SetLeaving(leaving || (e.reported != nil && e.reported.Role == roleLeaving))
	e.tickLocked(now)
}

func (e *engine) report(now time.Time, l *enginewire.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = *l
	if e.reported != nil && l.Role != "" {
		e.reported.Role = l.Role
	}
	e.queue.Report(now, enginestate.Load{
		Running:       l.Running,
		Waiting:       l.Waiting,
		WaitingTokens: l.WaitingTokens,
		Age:           time.Duration(l.AgeMS) * time.Millisecond,
	})
	e.tickLocked(now)
}

func (e *engine) status(now time.Time, owner string) *pb.EndpointStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := minimalRequest
	r.Model = e.lastModel
	est := e.queue.Estimate(now, r)
	state := "serving"
	if !est.InRotation {
		state = "out of rotation"
	}
	out := &pb.EndpointStatus{
		Name:      e.name,
		Kind:      pb.EndpointKind_ENDPOINT_KIND_ENGINE,
		Owner:     owner,
		State:     state,
		Running:   int32(est.Running),
		Waiting:   int32(est.Waiting),
		CacheUsed: e.load.CacheUsed,
	}
	if est.Learned {
		out.PrefillTokensPerSecond = est.PrefillRate
	}
	return out
}
