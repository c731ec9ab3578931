package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/placement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func offerOf(turn byte, decideAt time.Duration) *pendingOffer {
	req := &offerRequest{Prompt: Prompt{Chain: kvcache.Chain{{1}, {turn}}}}
	return &pendingOffer{req: req, ended: start, decideAt: start.Add(decideAt)}
}

func TestOffersAreReadyAtDecisionTimeUnlessContinued(t *testing.T) {
	o := newOffers()
	for turn, decideAt := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
		o.add(offerOf(byte(turn), decideAt))
	}
	must.Nil(t, o.popReady(start))
	o.discardTurn(kvcache.Fingerprint{2})
	now := start.Add(time.Minute)
	first := o.popReady(now)
	must.Eq(t, kvcache.Fingerprint{1}, first.turnKey())
	o.requeue(now, first)
	must.Eq(t, kvcache.Fingerprint{0}, o.popReady(now).turnKey())
	must.Nil(t, o.popReady(now))
	must.Eq(t, first, o.popReady(now.Add(placement.ExportRetry)))

	o.discardTurn(first.turnKey()) // while the offer is being decided
	o.requeue(now, first)
	must.Nil(t, o.popReady(now.Add(time.Hour)))

	late := offerOf(9, 0)
	o.add(late)
	must.Eq(t, late, o.popReady(now))
	o.requeue(start.Add(placement.ExportUntil+time.Second), late)
	must.Nil(t, o.popReady(now.Add(time.Hour)))
	must.MapLen(t, 1, o.byTurn) // the offer that was popped but not finished
}

func TestOffersAreBounded(t *testing.T) {
	o := newOffers()
	for i := range maxOffers + 10 {
		p := offerOf(0, time.Duration(i))
		p.req.Prompt.Chain[1] = kvcache.Fingerprint{byte(i), byte(i >> 8), 7}
		o.add(p)
	}
	must.Len(t, maxOffers, o.queue)
	must.MapLen(t, maxOffers, o.byTurn)
}
