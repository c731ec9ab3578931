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

// recordBrokenAnswer records that the latest attempt ended without a complete answer.
func (x *exchange) recordBrokenAnswer(cause error) { x.cause, x.answerBroken = cause, true }

// updateQuarantine updates the quarantine with the latest attempt. If the caller left or its
// deadline passed, this node closed the connection, so the request is not the cause.
func (x *exchange) updateQuarantine(ctx context.Context, p *Placement, v verdict) {
	switch {
	case x.answerBroken && ctx.Err() == nil:
		x.reportBrokenAnswer(p)
	case v == delivered && x.outcome.Status < http.StatusMultipleChoices && !x.Quarantine.Empty():
		x.Quarantine.Clear(x.fingerprint())
	}
}

// reportBrokenAnswer logs an attempt that ended without a complete answer. If the endpoint has ended,
// the request may be the cause and is reported to the quarantine. If the endpoint is still running,
// nothing is reported to the quarantine.
func (x *exchange) reportBrokenAnswer(p *Placement) {
	f := x.fingerprint()
	ended := x.hasEnded(p.Member)
	x.Log.Warn().Str("event", "run_lost").Str("id", x.attrs.ID).Str("endpoint", p.Member.ID).
		Stringer("fingerprint", f).Bool("ended", ended).Bool("begun", x.begun).Strs("parts", x.sharedParts()).AnErr("cause", x.cause).Send()
	if ended {
		p.Member.MarkEnded(x.Clock.Now())
		x.Quarantine.RecordEnd(quarantine.Ending{Fingerprint: f, Endpoint: p.Member.StartID()})
	}
}

// sharedParts returns the ids of the parts of the prompt that other requests may have, too: all but the last.
func (x *exchange) sharedParts() []string {
	parts := x.attrs.Parts
	ids := make([]string, 0, len(parts))
	for i := range len(parts) - 1 {
		ids = append(ids, parts[i].ID)
	}
	return ids
}

// fingerprint returns the fingerprint of the request, which is the same for all tries of its
// caller.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.cachedFingerprint != nil {
		return *x.cachedFingerprint
	}
	f := quarantine.FingerprintOf(x.accountName(), x.r.Method, x.r.Host, target(x.r), x.body)
	x.cachedFingerprint = &f
	return f
}
