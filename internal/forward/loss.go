package forward

import (
	"github.com/cherryward/cherryward/internal/quarantine"
)

// noteLoss finds out whether the endpoint ended under the newest attempt, and leaves a line in the
// log: an attempt that is lost with its endpoint may have ended it.
func (x *exchange) noteLoss(p *Placement) {
	x.Log.Warn().Str("event", "run_lost").Str("id", x.attrs.ID).Str("endpoint", p.Member.ID).
		Stringer("fingerprint", x.fingerprint()).Bool("ended", p.Member.Ended()).AnErr("cause", x.cause).Send()
}

// fingerprint identifies the request over its callers' tries.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	return quarantine.FingerprintOf(account, x.r.Method, x.r.Host, target(x.r), x.body)
}
