package enginestate

import (
	"slices"
	"strings"
	"time"
)

// A granted prefill may exceed its predicted time by overdueShare of that time plus overdueSlack.
// After that, the owner stops waiting for its first token and grants the next run.
const (
	overdueShare = 1
	overdueSlack = 200 * time.Millisecond
)

// Changes is the result of a Tick.
type Changes struct {
	Granted []Grant
	// Expired requests did not run: their deadline can no longer be met.
	Expired []Request
	// Displaced requests did not run and were removed, because the engine went out of rotation.
	// They may be placed elsewhere.
	Displaced []Request
	// Recompute lists the runs whose import took too long: the owner cancels the import, and the
	// engine computes all tokens that are not cached.
	Recompute []string
}

// deadlineMargin is the minimum time before the deadline, as a multiple of the time to compute the
// outstanding prefills and all tokens of the prompt that are not cached. The import is abandoned
// when less would remain.
const deadlineMargin = 2

// Tick expires requests that can no longer meet their deadline, and grants those that the engine
// can run now.
func (e *Engine) Tick(now time.Time) Changes {
	var c Changes
	e.expireGrants(now)
	e.evictReleaseTimes(now)
	for _, item := range e.queue.Expire(e.nextStart(now)) {
		delete(e.waiting, item.Value.Run)
		c.Expired = append(c.Expired, item.Value.Request)
	}
	if e.unavailableFor(now) > 0 {
		c.Displaced = e.displace()
		return c
	}
	c.Recompute = e.abandonSlowImports(now)
	for !e.health.probing && e.hasCapacity(now) {
		p := e.nextGrantable(now)
		if p == nil {
			break
		}
		if e.missesDeadline(now, p) {
			delete(e.waiting, p.Run)
			c.Expired = append(c.Expired, p.Request)
			continue
		}
		c.Granted = append(c.Granted, e.grant(now, p))
	}
	return c
}

// missesDeadline reports whether p would miss its deadline even if it ran now.
func (e *Engine) missesDeadline(now time.Time, p *pending) bool {
	return !p.Deadline.IsZero() && now.Add(e.prefillTime(p.Model, p.compute())).After(p.Deadline)
}

// displace removes all requests that are not granted and returns them.
func (e *Engine) displace() []Request {
	all := make([]Request, 0, len(e.waiting))
	for _, p := range e.waiting {
		all = append(all, p.Request)
	}
	slices.SortFunc(all, func(a, b Request) int { return strings.Compare(a.Run, b.Run) })
	for _, r := range all {
		e.Cancel(r.Run)
	}
	return all
}

// nextGrantable returns the next request to grant, or nil. It parks the requests that leave the
// queue before their import has finished.
func (e *Engine) nextGrantable(now time.Time) *pending {
	if len(e.ready) > 0 {
		p := e.ready[0]
		e.ready = e.ready[1:]
		return p
	}
	for {
		item, ok := e.queue.Pop()
		if !ok {
			return nil
		}
		p := item.Value
		if !p.importing {
			return p
		}
		p.poppedAt = now
		e.parked = append(e.parked, p)
	}
}

// hasCapacity reports whether the engine can take one more run.
func (e *Engine) hasCapacity(now time.Time) bool {
	running := float64(len(e.grants)) + e.foreign.runs*e.foreign.decayFactor(now)
	if e.cfg.MaxRunning > 0 && running >= float64(e.cfg.MaxRunning) {
		return false
	}
	return e.outstanding(now) <= prefillWindow && !e.overdue(now)
}

// overdue reports whether the first granted prefill should have ended by the prediction but has
// not. It returns false after the overdue limit, when the report of the first token is assumed to
// be lost.
func (e *Engine) overdue(now time.Time) bool {
	if len(e.prefills) == 0 {
		return false
	}
	g := e.prefills[0]
	predictedEnd := latest(g.GrantedAt, e.lastPrefillEnd).Add(e.prefillTime(g.Model, g.Compute))
	return now.After(predictedEnd) && now.Before(e.overdueLimit(g))
}

// overdueLimit returns the time until which the owner waits for the first token of g.
func (e *Engine) overdueLimit(g *Grant) time.Time {
	predicted := e.prefillTime(g.Model, g.Compute)
	return latest(g.GrantedAt, e.lastPrefillEnd).Add((1+overdueShare)*predicted + overdueSlack)
}

// abandonSlowImports ends the wait for imports that took so long that computing the tokens would
// have been faster, or that leave just enough time to compute them. It returns their runs.
func (e *Engine) abandonSlowImports(now time.Time) []string {
	var runs []string
	remaining := e.parked[:0]
	for _, p := range e.parked {
		if now.Before(e.importTimeout(now, p)) {
			remaining = append(remaining, p)
			continue
		}
		p.importing = false
		p.ImportTokens = 0
		e.ready = append(e.ready, p)
		runs = append(runs, p.Run)
	}
	e.parked = remaining
	return runs
}

// importTimeout returns when to stop waiting for p's import: when its ImportPatience has passed, or
// when the remaining time is just enough to compute the prompt with deadlineMargin.
func (e *Engine) importTimeout(now time.Time, p *pending) time.Time {
	at := latest(p.poppedAt, p.requestedAt.Add(p.ImportPatience))
	if p.Deadline.IsZero() {
		return at
	}
	fullPrefill := e.prefillTime(p.Model, p.PromptTokens-p.CachedTokens)
	last := p.Deadline.Add(-deadlineMargin * (fullPrefill + e.outstanding(now)))
	if last.Before(at) {
		return latest(last, p.poppedAt)
	}
	return at
}

// NextTick returns when Tick may next change the state because of time alone, and false if it can't
// change until another method is called.
func (e *Engine) NextTick(now time.Time) (time.Time, bool) {
	var at time.Time
	consider := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, p := range e.parked {
		consider(e.importTimeout(now, p))
	}
	if len(e.waiting) > 0 && len(e.parked) < len(e.waiting) {
		consider(e.nextCapacityCheck(now))
	}
	if at.IsZero() {
		return at, false
	}
	return latest(at, now.Add(time.Millisecond)), true
}

// nextCapacityCheck returns when the queue should be checked again.
func (e *Engine) nextCapacityCheck(now time.Time) time.Time {
	at := now.Add(e.outstanding(now) - prefillWindow)
	if e.overdue(now) {
		at = e.overdueLimit(e.prefills[0])
	}
	if limit := now.Add(expireInterval); at.After(limit) {
		return limit
	}
	return at
}

// expireInterval is the maximum delay of the response to an expired request.
const expireInterval = 250 * time.Millisecond

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
