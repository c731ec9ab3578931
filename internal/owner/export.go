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

// exporter holds the functions of the service that the exports of a store host use.
type exporter struct {
	engine   func(name string) kvcache.Engine
	salt     func(account string) string
	model    func(name string) *pb.Model
	accounts func() int
	exported func(bytes int64)
}

// watch processes offers and maintains the store host until ctx is done.
func (s *storeHost) watch(ctx context.Context, x *exporter) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range exportWorkers {
		wg.Go(func() { s.processOffers(ctx, x) })
	}
	for {
		s.maintain(ctx, x)
		if !retry.Sleep(ctx, jitter(maintainEvery)) {
			return
		}
	}
}

// offer queues a finished turn. Whether to export it is decided after the given time.
func (s *storeHost) offer(now time.Time, req *offerRequest, after time.Duration) {
	s.markUsed(now)
	if len(req.Prompt.Chain) == 0 {
		return
	}
	uses := s.recordTurn(now, &req.Prompt)
	s.offers.add(&pendingOffer{req: req, uses: uses, ended: now, decideAt: now.Add(after)})
}

func (s *storeHost) processOffers(ctx context.Context, x *exporter) {
	for retry.Sleep(ctx, jitter(offerInterval)) {
		for p := s.offers.popReady(time.Now()); p != nil && ctx.Err() == nil; p = s.offers.popReady(time.Now()) {
			s.processOffer(ctx, x, p)
		}
	}
}

// processOffer decides on one offer. The offer is retried later if the link was busy
// or the export was not profitable. It is not retried if it was exported, there was
// nothing to export, or the attempt failed.
func (s *storeHost) processOffer(ctx context.Context, x *exporter, p *pendingOffer) {
	err := s.export(ctx, x, p)
	if errors.Is(err, link.ErrBusy) || errors.Is(err, errNotProfitable) {
		s.offers.requeue(time.Now(), p)
		return
	}
	s.offers.finish(p)
}

// errNotProfitable is returned for an export that costs more than it is expected to
// save.
var errNotProfitable = errors.New("export costs more than it is expected to save")

func (s *storeHost) export(ctx context.Context, x *exporter, p *pendingOffer) error {
	now := time.Now()
	req := p.req
	plan, err := s.host.PlanExport(s.newRequest(&req.Prompt, req.Layout, x.salt(req.Prompt.Account)), req.Placements, 0, 0)
	if err != nil || plan.Bytes() == 0 {
		return err
	}
	objective := ObjectiveOf(x.model(req.Prompt.Model))
	if !(policy.ExportByValue{}).Worth(s.newOffer(now, p, objective, plan.Bytes()), s.price(now, objective)) {
		return errNotProfitable
	}
	reservation, err := link.Path{s.budget}.Reserve(now, link.Export, plan.Bytes(), time.Time{})
	if err != nil {
		return err
	}
	plan.Transfer.BytesPerSecond = reservation.BytesPerSecond
	published, err := s.host.Export(ctx, x.engine(req.Engine), plan)
	if err != nil {
		reservation.Cancel(time.Now())
		return err
	}
	reservation.Done(time.Now(), plan.Bytes())
	if published > 0 {
		x.exported(plan.Bytes())
	}
	return nil
}

// newOffer returns the policy's description of an export, with the expected saving
// weighted by the model's placement objective.
func (s *storeHost) newOffer(now time.Time, p *pendingOffer, objective placement.Objective, bytes int64) policy.Offer {
	share := float64(bytes) / float64(max(totalBytes(p.req.Placements), 1))
	part := placement.ExportPart{
		Tokens:      int(float64(coveredTokens(p.req.Placements)) * share),
		Bytes:       bytes,
		PrefillRate: p.req.PrefillRate,
		LinkRate:    s.budget.BytesPerSecond(now, link.Import),
	}
	return policy.Offer{
		ReturnChance: s.returns.Chance(p.req.Prompt.Account, now, now.Sub(p.ended), placement.ExportUntil, continuationHorizon),
		SavedSeconds: objective.ExportSaving(part),
		Bytes:        bytes,
		Uses:         p.uses,
	}
}

func coveredTokens(placements []kvcache.Placement) int {
	if len(placements) == 0 {
		return 0
	}
	return placements[len(placements)-1].Block.EndToken
}

// ObjectiveOf returns a model's placement objective.
func ObjectiveOf(model *pb.Model) placement.Objective {
	w := model.GetObjective()
	return placement.Objective{
		FirstTokenSeconds: w.GetFirstTokenSeconds(),
		RecomputedToken:   w.GetRecomputedToken(),
		LinkMebibyte:      w.GetLinkMebibyte(),
	}
}

// price returns the current cost of transferring a byte on the link.
func (s *storeHost) price(now time.Time, objective placement.Objective) float64 {
	return objective.LinkPrice(s.budget.Price(now), s.budget.BytesPerSecond(now, link.Import))
}

// maintain reads the store host's usage, deletes freed blocks, sweeps orphans and
// evicts blocks when the store host is almost full. It stops if the store host does
// not respond; the store host's breaker then opens.
func (s *storeHost) maintain(ctx context.Context, x *exporter) {
	usage, err := s.host.Refresh(ctx)
	if err != nil {
		return
	}
	_ = s.host.Flush(ctx) // errors are retried at the next call
	now := time.Now()
	if now.Sub(s.lastSweep) > sweepEvery {
		s.lastSweep = now
		_ = s.host.Sweep(ctx) // errors are retried after sweepEvery
	}
	if float64(usage.Used) < evictFromShare*float64(usage.Capacity) {
		return
	}
	need := int64(evictShare * float64(usage.Capacity))
	floor := int64(floorShare * float64(usage.Capacity) / float64(max(x.accounts(), 1)))
	_ = s.host.Evict(ctx, need, floor, func(c kvcache.Candidate) float64 {
		return s.returns.Chance(c.Account, now, c.Idle, c.Idle, c.Idle+continuationHorizon)
	}) // errors are retried at the next call
}
