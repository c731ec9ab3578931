package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/kvcache/link"
	"github.com/cherryward/cherryward/internal/kvcache/policy"
	"github.com/cherryward/cherryward/internal/placement"
)

// exporter is what the exports of one store host need from the service.
type exporter struct {
	engine   func(name string) kvcache.Engine
	salt     func(account string) string
	model    func(name string) *pb.Model
	accounts func() int
	exported func(bytes int64)
}

// watch works off the offers and keeps the store host in order until ctx is done.
func (s *storeHost) watch(ctx context.Context, x *exporter) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range exportsAtOnce {
		wg.Go(func() { s.workOffers(ctx, x) })
	}
	for {
		s.maintain(ctx, x)
		if !retry.Sleep(ctx, jitter(maintainEvery)) {
			return
		}
	}
}

// offer takes a finished turn, to decide on its export later.
func (s *storeHost) offer(now time.Time, req *offerRequest, after time.Duration) {
	s.touch(now)
	if len(req.Prompt.Chain) == 0 {
		return
	}
	uses := s.noteTurn(now, &req.Prompt)
	s.offers.add(&pendingOffer{req: req, uses: uses, ended: now, due: now.Add(after)})
}

func (s *storeHost) workOffers(ctx context.Context, x *exporter) {
	for retry.Sleep(ctx, jitter(offerInterval)) {
		for p := s.offers.takeDue(time.Now()); p != nil && ctx.Err() == nil; p = s.offers.takeDue(time.Now()) {
			s.consider(ctx, x, p)
		}
	}
}

// consider exports the offered blocks that are worth their bytes. What a busy or
// dear link holds back is tried again; anything else is settled: exported,
// nothing to move, or a failing store host.
func (s *storeHost) consider(ctx context.Context, x *exporter, p *pendingOffer) {
	err := s.export(ctx, x, p)
	if errors.Is(err, link.ErrBusy) || errors.Is(err, errNotWorth) {
		s.offers.again(time.Now(), p)
		return
	}
	s.offers.done(p)
}

// errNotWorth means that an export costs more than it is expected to save.
var errNotWorth = errors.New("export is not worth its bytes now")

func (s *storeHost) export(ctx context.Context, x *exporter, p *pendingOffer) error {
	now := time.Now()
	req := p.req
	plan, err := s.host.Reserve(s.request(&req.Prompt, req.Layout, x.salt(req.Prompt.Account)), req.Placements, 0, 0)
	if err != nil || plan.Bytes() == 0 {
		return err
	}
	weights := ObjectiveOf(x.model(req.Prompt.Model))
	if !(policy.ExportByValue{}).Worth(s.value(now, p, weights, plan.Bytes()), s.price(now, weights)) {
		return errNotWorth
	}
	hold, err := link.Path{s.budget}.Reserve(now, link.Export, plan.Bytes(), time.Time{})
	if err != nil {
		return err
	}
	plan.Transfer.BytesPerSecond = hold.BytesPerSecond
	published, err := s.host.Export(ctx, x.engine(req.Engine), plan)
	if err != nil {
		hold.Cancel(time.Now())
		return err
	}
	hold.Done(time.Now(), plan.Bytes())
	if published > 0 {
		x.exported(plan.Bytes())
	}
	return nil
}

// value weighs an export by the model's objective.
func (s *storeHost) value(now time.Time, p *pendingOffer, weights placement.Objective, bytes int64) policy.Offer {
	share := float64(bytes) / float64(max(bytesOf(p.req.Placements), 1))
	kept := placement.ExportPart{
		Tokens:      int(float64(tokensOf(p.req.Placements)) * share),
		Bytes:       bytes,
		PrefillRate: p.req.PrefillRate,
		LinkRate:    s.budget.BytesPerSecond(now, link.Import),
	}
	return policy.Offer{
		ReturnChance: s.returns.Chance(p.req.Prompt.Account, now, now.Sub(p.ended), placement.ExportUntil, keepAhead),
		SavedSeconds: weights.ExportSaving(kept),
		Bytes:        bytes,
		Uses:         p.uses,
	}
}

func tokensOf(placements []kvcache.Placement) int {
	if len(placements) == 0 {
		return 0
	}
	return placements[len(placements)-1].Block.EndToken
}

// ObjectiveOf returns the weights of a model's placement.
func ObjectiveOf(model *pb.Model) placement.Objective {
	w := model.GetObjective()
	return placement.Objective{
		FirstTokenSeconds: w.GetFirstTokenSeconds(),
		RecomputedToken:   w.GetRecomputedToken(),
		LinkMebibyte:      w.GetLinkMebibyte(),
	}
}

// price is what a byte on the link costs now.
func (s *storeHost) price(now time.Time, weights placement.Objective) float64 {
	return weights.LinkPrice(s.budget.Price(now), s.budget.BytesPerSecond(now, link.Import))
}

// maintain reads the store host's usage, deletes what was freed, and makes room.
// A store host that does not answer is left out by its breaker.
func (s *storeHost) maintain(ctx context.Context, x *exporter) {
	usage, err := s.host.Refresh(ctx)
	if err != nil {
		return
	}
	_ = s.host.Flush(ctx) // repeated at the next call
	now := time.Now()
	if now.Sub(s.swept) > sweepEvery {
		s.swept = now
		_ = s.host.Sweep(ctx) // repeated after sweepEvery
	}
	if float64(usage.Used) < fullShare*float64(usage.Capacity) {
		return
	}
	need := int64(evictShare * float64(usage.Capacity))
	floor := int64(floorShare * float64(usage.Capacity) / float64(max(x.accounts(), 1)))
	_ = s.host.Evict(ctx, need, floor, func(c kvcache.Candidate) float64 {
		return s.returns.Chance(c.Account, now, c.Idle, c.Idle, c.Idle+keepAhead)
	}) // what was not freed is freed at the next call
}
