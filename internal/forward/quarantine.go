package forward

import (
	"context"
	"net/http"

	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/result"
)

// quarantineRefusal returns the refusal of a request that is in quarantine because endpoints ended
// while running it, or nil if it may be sent. It is checked before each send, since the request may
// have been quarantined during the previous one.
func (x *exchange) quarantineRefusal() *result.Error {
	if x.Quarantine.Empty() {
		return nil
	}
	until := x.Quarantine.HeldUntil(x.fingerprint())
	if until.IsZero() {
		return nil
	}
	return result.New(result.Quarantined, result.WithRetryAfter(x.Clock.Until(until)))
}

// recordLoss records that the latest attempt ended because its connection broke.
func (x *exchange) recordLoss(cause error) { x.cause, x.connectionLost = cause, true }

// updateQuarantine updates the quarantine with the latest attempt. If the caller left or its
// deadline passed, this node closed the connection, which says nothing about the request.
func (x *exchange) updateQuarantine(ctx context.Context, p *Placement, v verdict) {
	switch {
	case x.connectionLost && ctx.Err() == nil:
		x.reportLostRun(p)
	case v == delivered && x.outcome.Status < http.StatusMultipleChoices && !x.Quarantine.Empty():
		x.Quarantine.Clear(x.fingerprint())
	}
}

// reportLostRun logs an attempt whose connection broke. If the endpoint has ended, the request may
// be the cause and is reported to the quarantine; a broken stream from an endpoint that still runs
// is not.
func (x *exchange) reportLostRun(p *Placement) {
	f := x.fingerprint()
	ended := p.Member.Ended()
	x.Log.Warn().Str("event", "run_lost").Str("id", x.attrs.ID).Str("endpoint", p.Member.ID).
		Stringer("fingerprint", f).Bool("ended", ended).AnErr("cause", x.cause).Send()
	if ended {
		p.Member.MarkEnded(x.Clock.Now())
		x.Quarantine.RecordEnd(quarantine.Ending{Fingerprint: f, Endpoint: p.Member.StartID()})
	}
}

// fingerprint returns the fingerprint of the request, which is the same for all tries of its
// caller.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.cachedFingerprint != nil {
		return *x.cachedFingerprint
	}
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	f := quarantine.FingerprintOf(account, x.r.Method, x.r.Host, target(x.r), x.body)
	x.cachedFingerprint = &f
	return f
}
