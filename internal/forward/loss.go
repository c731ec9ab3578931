package forward

import (
	"context"
	"net/http"

	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/result"
)

// held returns the refusal of a request under which endpoints ended, nil if it may be sent. It is
// asked before each send: the answer may have changed while the one before was under way.
func (x *exchange) held() *result.Error {
	if x.Quarantine.Empty() {
		return nil
	}
	until := x.Quarantine.HeldUntil(x.fingerprint())
	if until.IsZero() {
		return nil
	}
	return result.New(result.Quarantined, result.WithRetryAfter(x.Clock.Until(until)))
}

// lose notes that the newest attempt ended with its connection.
func (x *exchange) lose(cause error) { x.cause, x.lost = cause, true }

// assess learns from the newest attempt whether endpoints end under this request. A caller that
// left, or whose time was over, has had the connection closed, which tells nothing.
func (x *exchange) assess(ctx context.Context, p *Placement, v verdict) {
	switch {
	case x.lost && ctx.Err() == nil:
		x.noteLoss(p)
	case v == delivered && x.outcome.Status < http.StatusMultipleChoices && !x.Quarantine.Empty():
		x.Quarantine.Clear(x.fingerprint())
	}
}

// noteLoss notes an attempt that was lost with its connection. Where the endpoint ended, the request
// may have ended it; a stream that breaks off at one that lives says nothing of the kind.
func (x *exchange) noteLoss(p *Placement) {
	f := x.fingerprint()
	ended := p.Member.Ended()
	x.Log.Warn().Str("event", "run_lost").Str("id", x.attrs.ID).Str("endpoint", p.Member.ID).
		Stringer("fingerprint", f).Bool("ended", ended).AnErr("cause", x.cause).Send()
	if ended {
		p.Member.Ends(x.Clock.Now())
		x.Quarantine.Note(quarantine.Ending{Fingerprint: f, Endpoint: p.Member.Start()})
	}
}

// fingerprint identifies the request over its callers' tries.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.print != nil {
		return *x.print
	}
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	f := quarantine.FingerprintOf(account, x.r.Method, x.r.Host, target(x.r), x.body)
	x.print = &f
	return f
}
