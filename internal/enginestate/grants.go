package enginestate

import (
	"slices"
	"time"
)

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	Completed Outcome = iota
	Failed            // the engine failed, or could not be reached
	Refused           // the engine reported that it did not run the request
	Abandoned         // canceled by the caller
)

// Observed is what the entry node measured for a run.
type Observed struct {
	Outcome    Outcome
	FirstToken time.Duration // from the start at the engine; 0 if there was none
	Total      time.Duration // from the start to the end
	Prompt     int           // tokens, as reported by the engine
	Cached     int           // tokens of the prompt, as reported by the engine
	Output     int           // tokens
}

// grant grants p and adds the grant to those in force.
func (e *Engine) grant(now time.Time, p *pending) Grant {
	delete(e.waiting, p.Run)
	g := &Grant{
		Run: p.Run, Model: p.Model, Account: p.Account, Node: p.Node,
		Prompt: p.PromptTokens, Compute: p.compute(),
		GrantedAt: now, Deadline: p.Deadline,
	}
	e.grants[g.Run] = g
	e.prefills = append(e.prefills, g)
	e.health.granted()
	return *g
}

// Adopt adds a grant reported by the entry node that holds it, after this node became the owner.
// Repeating it is safe.
func (e *Engine) Adopt(g Grant) {
	if e.grants[g.Run] != nil {
		return
	}
	if p := e.waiting[g.Run]; p != nil {
		e.Cancel(g.Run)
	}
	e.grants[g.Run] = &g
	if !g.Started {
		e.prefills = append(e.prefills, &g)
	}
}

// FirstToken records the end of a run's prefill, with the length of the prompt and its cached
// tokens as reported by the engine. It is optional: if it is missing, no run is granted between the
// predicted end of the prefill and the overdue limit. Repeating it is safe.
func (e *Engine) FirstToken(now time.Time, run string, prompt, cached int) {
	g := e.grants[run]
	if g == nil || g.Started {
		return
	}
	g.Started = true
	e.learnPrefill(now, g, prompt-cached)
	e.endPrefill(g)
	e.lastPrefillEnd = now
	e.queue.Charge(g.Account, e.prefillTime(g.Model, prompt-cached-g.Compute).Seconds())
	e.health.succeeded()
}

func (e *Engine) endPrefill(g *Grant) {
	e.prefills = slices.DeleteFunc(e.prefills, func(o *Grant) bool { return o == g })
}

// Release ends a grant and updates the learned speeds. Unknown runs are ignored, so repeating it is
// safe.
func (e *Engine) Release(now time.Time, run string, observed Observed) {
	g := e.grants[run]
	if g == nil {
		return
	}
	if observed.FirstToken > 0 && !g.Started {
		since := max(observed.Total-observed.FirstToken, 0)
		e.FirstToken(now.Add(-since), run, observed.Prompt, observed.Cached)
	}
	e.endGrant(now, g)
	switch observed.Outcome {
	case Completed:
		e.learnRun(now, g, observed)
		e.health.succeeded()
	case Failed:
		e.health.failed(now, g.GrantedAt)
	case Refused, Abandoned:
		e.health.inconclusive()
	}
}

func (e *Engine) endGrant(now time.Time, g *Grant) {
	delete(e.grants, g.Run)
	e.endPrefill(g)
	e.releasedAt = append(e.releasedAt, now)
}

// expireGrants ends the grants that should have been released long ago. The results of their runs
// are unknown; one may have been the probe.
func (e *Engine) expireGrants(now time.Time) {
	for _, g := range e.grants {
		if now.After(g.expiry()) {
			e.endGrant(now, g)
			e.health.inconclusive()
		}
	}
}

func (g *Grant) expiry() time.Time {
	if g.Deadline.IsZero() {
		return g.GrantedAt.Add(maxGrantAge)
	}
	return g.Deadline.Add(grantGrace)
}
