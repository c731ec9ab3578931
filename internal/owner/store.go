package owner

import (
	"context"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/answerhead"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/kvcache/link"
	"github.com/cherryward/cherryward/internal/kvcache/policy"
	"github.com/cherryward/cherryward/internal/kvcache/storehttp"
	"github.com/cherryward/cherryward/internal/placement"
)

const (
	maxTurnRecords       = 1 << 16                // maximum number of conversations whose last turn is stored
	continuationHorizon  = 48 * time.Hour         // how far ahead a continuation of the conversation is considered
	evictFromShare       = 0.95                   // used share of a store host's space at which eviction starts
	evictShare           = 0.02                   // share of a store host's space that one eviction frees
	floorShare           = 0.5                    // share of an account's equal part of the space; eviction avoids reducing an account below it
	exportWorkers        = 4                      // concurrent exports per store host
	offerInterval        = 250 * time.Millisecond // time between two checks for ready offers
	maintainEvery        = 2 * time.Second
	sweepEvery           = time.Hour // orphans are rare, and a sweep lists the whole store host
	maxIdleStoreConns    = 64
	idleStoreConnTimeout = time.Minute
)

// storeHost is the state of a store host that this node owns.
type storeHost struct {
	name    string
	host    *kvcache.StoreHost
	budget  *link.Budget
	returns *policy.Returns
	turns   *lru.Cache[kvcache.Fingerprint, turnRecord]
	offers  *offers

	mu        sync.Mutex
	lastUsed  time.Time
	imports   map[string]context.CancelFunc
	lastSweep time.Time
}

// turnRecord describes a conversation's last turn.
type turnRecord struct {
	at   time.Time // end of the turn
	uses int       // number of turns so far
}

// storeClient is shared by all store hosts. It is used for control calls only;
// engines transfer the blocks.
var storeClient = &http.Client{Transport: answerhead.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleStoreConns, IdleConnTimeout: idleStoreConnTimeout})}

func newStoreHost(e *pb.Endpoint, now time.Time) (*storeHost, error) {
	host, err := kvcache.NewStoreHost(e.GetUrl(), storehttp.NewClient(e.GetUrl(), storeClient), time.Now, kvcache.RandomName, kvcache.DefaultTiming())
	if err != nil {
		return nil, err
	}
	turns, err := lru.New[kvcache.Fingerprint, turnRecord](maxTurnRecords)
	if err != nil {
		return nil, err
	}
	rate := e.GetLinkBytesPerSecond()
	if rate == 0 {
		rate = defaultLinkRate
	}
	return &storeHost{
		name:     e.GetName(),
		host:     host,
		budget:   link.NewBudget(rate),
		returns:  policy.NewReturns(),
		turns:    turns,
		offers:   newOffers(),
		lastUsed: now,
		imports:  make(map[string]context.CancelFunc),
	}, nil
}

// estimate returns the part of a prompt that is stored on the store host in one KV layout,
// and the expected speed of an import.
func (s *storeHost) estimate(now time.Time, p *Prompt, layout string) placement.StoreEstimate {
	s.markUsed(now)
	stored := s.host.Lookup(p.Chain, layout, 0)
	return placement.StoreEstimate{
		Store:      s.name,
		Status:     placement.Known,
		HeldTokens: stored.Tokens,
		Rate:       s.budget.BytesPerSecond(now, link.Import),
		QueueDelay: s.budget.QueueDelay(now, link.Import),
		Layout:     layout,
	}
}

func (s *storeHost) markUsed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
}

func (s *storeHost) idleTime(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.imports) > 0 {
		return 0
	}
	return now.Sub(s.lastUsed)
}

// importTo has the engine import blocks for a run whose caller is waiting. Callers
// treat an error as a miss; the engine then recomputes the prompt.
func (s *storeHost) importTo(ctx context.Context, engine kvcache.Engine, req *importRequest, salt string) (*importResponse, error) {
	now := time.Now()
	s.markUsed(now)
	ctx, cancel := context.WithTimeout(ctx, req.TimeLeft)
	defer cancel()
	s.trackImport(req.ID, cancel)
	defer s.untrackImport(req.ID)
	plan, err := s.host.PlanImport(ctx, s.newRequest(&req.Prompt, req.Layout, salt), req.FromToken, req.ToToken, 0)
	if err != nil || plan.Bytes() == 0 {
		return &importResponse{}, err
	}
	reservation, err := link.Path{s.budget}.Reserve(now, link.Import, plan.Bytes(), now.Add(req.TimeLeft))
	if err != nil {
		return &importResponse{}, err
	}
	plan.Transfer.BytesPerSecond = reservation.BytesPerSecond
	placements, err := s.host.Import(ctx, engine, plan)
	if ctx.Err() != nil {
		reservation.Abort(time.Now())
		return &importResponse{}, ctx.Err()
	}
	resp := &importResponse{Placements: placements, Bytes: totalBytes(placements)}
	reservation.Done(time.Now(), resp.Bytes)
	s.host.Index.Use(req.Prompt.Chain, req.Layout, time.Now())
	return resp, err
}

func totalBytes(placements []kvcache.Placement) int64 {
	var sum int64
	for _, p := range placements {
		sum += p.Block.Bytes
	}
	return sum
}

func (s *storeHost) newRequest(p *Prompt, layout, salt string) kvcache.Request {
	return kvcache.Request{Identity: p.Identity(), Layout: layout, Salt: salt, Chain: p.Chain}
}

func (s *storeHost) trackImport(id string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.imports[id] = cancel
}

func (s *storeHost) untrackImport(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.imports, id)
}

// cancelImport cancels an import that is no longer needed. It ignores unknown ids.
func (s *storeHost) cancelImport(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.imports[id]; ok {
		cancel()
	}
}

// recordTurn records the end of a turn and, if the turn continues a known conversation,
// that the conversation was continued. It also discards the export offer of the previous
// turn. It returns the number of turns of the conversation so far.
func (s *storeHost) recordTurn(now time.Time, p *Prompt) int {
	uses := 1
	for i := len(p.Chain) - 1; i >= 0; i-- {
		last, ok := s.turns.Peek(p.Chain[i])
		if !ok {
			continue
		}
		s.turns.Remove(p.Chain[i])
		s.offers.discardTurn(p.Chain[i])
		s.returns.ObserveReturn(p.Account, now.Sub(last.at), now)
		uses = last.uses + 1
		break
	}
	s.returns.ObserveTurn(p.Account, now)
	if n := len(p.Chain); n > 0 {
		s.turns.Add(p.Chain[n-1], turnRecord{at: now, uses: uses})
	}
	return uses
}
