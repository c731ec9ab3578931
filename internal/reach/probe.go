package reach

import "time"

// Target is an endpoint that may be probed.
type Target struct {
	Addr   string
	Domain string // failure domain
}

// Round is a round of probes of a service's endpoints, which must be ended with Tracker.EndRound.
type Round struct {
	Service string
	state   State
}

// BeginRound returns a round of probes that is due, or false if none is. A service has one round at a
// time.
func (t *Tracker) BeginRound(now time.Time) (Round, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, p := range t.paths {
		if p.state != Reachable && !p.probing && !now.Before(p.probeAt) {
			p.probing = true
			return Round{Service: service, state: p.state}, true
		}
	}
	return Round{}, false
}

// Targets selects the endpoints to probe in a round from those of the service, which must be in random
// order: for a suspected service up to probesPerRound to which no attempt failed, of as many failure
// domains as possible; for an unreachable one recoveryProbes of any.
func (t *Tracker) Targets(r Round, all []Target) []Target {
	if r.state == Unreachable {
		return all[:min(recoveryProbes, len(all))]
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var untried []Target
	for _, target := range all {
		if p := t.paths[r.Service]; p == nil || p.failed[target.Addr].IsZero() {
			untried = append(untried, target)
		}
	}
	if len(untried) == 0 {
		untried = all
	}
	return spread(untried, probesPerRound)
}

// spread returns up to count targets: first one of each failure domain, then others.
func spread(targets []Target, count int) []Target {
	var first, rest []Target
	seen := make(map[string]bool)
	for _, target := range targets {
		if seen[target.Domain] {
			rest = append(rest, target)
			continue
		}
		seen[target.Domain] = true
		first = append(first, target)
	}
	chosen := append(first, rest...)
	return chosen[:min(count, len(chosen))]
}

// EndRound ends a round in which the given number of endpoints was probed. The results of the probes
// must have been recorded before. A service of which no endpoint could be probed, because none is known,
// is not unreachable.
func (t *Tracker) EndRound(r Round, probed int, now time.Time) {
	t.mu.Lock()
	p := t.paths[r.Service]
	if p == nil || !p.probing { // an attempt has succeeded since the round began
		t.mu.Unlock()
		return
	}
	p.probing, p.probeAt = false, now.Add(recoveryInterval)
	to := p.state
	switch {
	case probed == 0:
		to = Reachable
		clear(p.failed)
	case p.state == Suspected:
		to = Unreachable
	}
	change, changed := p.set(r.Service, to, now)
	t.mu.Unlock()
	t.report(change, changed)
}
