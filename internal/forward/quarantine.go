package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/result"
)

// quarantineRefusal returns the refusal of a request that is in quarantine because endpoints ended
// while running it, or others with one of its parts, or nil if it may be sent. It is checked before each send,
// since the request may have been quarantined during the previous one. A node that starts refuses all requests until it
// knows what others hold.
func (x *exchange) quarantineRefusal() *result.Error {
	if !x.Quarantine.HoldsKnown() {
		return result.New(result.NodeStale, result.WithRetryAfter(retryAfterOtherNode))
	}
	if x.Quarantine.Empty() {
		return nil
	}
	until := x.Quarantine.HeldUntil(x.fingerprint())
	if partUntil := x.Quarantine.HeldPart(x.sharedParts()); partUntil.After(until) {
		until = partUntil
		x.heldPart = x.partHeldUntil(until)
	}
	if until.IsZero() {
		return nil
	}
	return result.New(result.Quarantined, result.WithRetryAfter(x.Clock.Until(until)))
}

// partHeldUntil returns the id of the first part that is held until the given time.
func (x *exchange) partHeldUntil(until time.Time) string {
	for _, p := range x.sharedParts() {
		if x.Quarantine.HeldUntil(p.Key).Equal(until) {
			return x.attrs.Parts[p.Depth].ID
		}
	}
	return ""
}

// recordBrokenAnswer records that the latest attempt ended without a complete answer.
func (x *exchange) recordBrokenAnswer(cause error) { x.cause, x.answerBroken = cause, true }

// updateQuarantine updates the quarantine with the latest attempt. If the caller left or its
// deadline passed, this node closed the connection, so the request is not the cause.
func (x *exchange) updateQuarantine(ctx context.Context, p *Placement, v verdict) {
	switch {
	case x.answerBroken && ctx.Err() == nil:
		x.reportBrokenAnswer(p)
	case v == delivered && x.outcome.Status < http.StatusMultipleChoices && !x.endUncertain:
		if !x.begun {
			x.clearParts()
		}
		if !x.Quarantine.Empty() {
			x.Quarantine.Clear(x.fingerprint())
		}
	}
}

// clearParts tells the quarantine that an endpoint has begun to answer a prompt with these parts.
func (x *exchange) clearParts() {
	if x.Quarantine.Empty() {
		return
	}
	account := quarantine.AccountKey(x.accountName())
	for _, p := range x.sharedParts() {
		x.Quarantine.ClearPart(account, p)
	}
}

// reportBrokenAnswer logs an attempt that ended without a complete answer. If the endpoint has ended and had not
// begun to answer, the request or a part of its prompt may be the cause and is reported to the quarantine.
func (x *exchange) reportBrokenAnswer(p *Placement) {
	f := x.fingerprint()
	ended := x.hasEnded(p.Member)
	x.Log.Warn().Str("event", "run_lost").Str("id", logged(x.attrs.ID)).Str("endpoint", p.Member.ID).
		Stringer("fingerprint", f).Bool("ended", ended).Bool("begun", x.begun).Strs("parts", x.sharedPartIDs()).AnErr("cause", x.cause).Send()
	if !ended {
		return
	}
	p.Member.MarkEnded(x.Clock.Now())
	if x.begun {
		return
	}
	x.Quarantine.RecordEnd(quarantine.Ending{Fingerprint: f, Endpoint: p.Member.StartID()})
	x.accuseParts(f, p.Member.StartID())
}

// accuseParts reports the parts of the prompt to the quarantine.
func (x *exchange) accuseParts(f quarantine.Fingerprint, endpoint string) {
	account := quarantine.AccountKey(x.accountName())
	for _, p := range slices.Backward(x.sharedParts()) {
		x.Quarantine.RecordEnd(quarantine.Ending{Fingerprint: p.Key, Endpoint: endpoint, Request: &f, Account: account, Depth: p.Depth})
	}
}

// maxSharedParts is the number of parts of a prompt that are considered. Prompts have up to some tens.
const maxSharedParts = 64

// sharedParts returns the parts of the prompt that other requests may have, too: all but the last.
func (x *exchange) sharedParts() []quarantine.Part {
	parts := x.attrs.Parts
	if x.cachedParts != nil || len(parts) < 2 {
		return x.cachedParts
	}
	for i := range min(len(parts)-1, maxSharedParts) {
		x.cachedParts = append(x.cachedParts, quarantine.PartOf(x.accountName(), x.attrs.Model, parts[i].ID, i))
	}
	return x.cachedParts
}

// sharedPartIDs returns the ids of these parts, as the caller states them.
func (x *exchange) sharedPartIDs() []string {
	ids := make([]string, 0, len(x.attrs.Parts))
	for i := range len(x.attrs.Parts) - 1 {
		ids = append(ids, x.attrs.Parts[i].ID)
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
