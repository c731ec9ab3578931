package peerload

import "time"

// LoadView is the load that peers report at one time, with their prompts that the reports don't
// include yet.
type LoadView struct {
	reported Sums
	noticed  Sums
	age      time.Duration
}

// At returns the load at one start of an endpoint, given in Unix milliseconds. Reports without a
// start count for each start.
func (v LoadView) At(id string, startedMs int64) Sum {
	unknown, started := keyOf(id, 0), keyOf(id, startTagOf(startedMs))
	sum := v.reported.at(unknown, started)
	if len(v.noticed) > 0 {
		sum = sum.plus(v.noticed.at(unknown, started))
	}
	return sum
}

// Noticed returns the number of prompts in At that are known from notices only.
func (v LoadView) Noticed(id string, startedMs int64) int {
	return v.noticed.at(keyOf(id, 0), keyOf(id, startTagOf(startedMs))).Running
}

// Age returns the age of the collector's aggregate that the view is based on, or 0 if it is based on
// the peers' own digests.
func (v LoadView) Age() time.Duration { return v.age }

// Loads returns the load that the peers report, and the prompts that they announced since. It is
// based on a collector's aggregate if that covers more, or nearly as many, nodes as send digests to
// this node directly, else on these digests.
func (t *Table) Loads(now time.Time) LoadView {
	t.mu.Lock()
	defer t.mu.Unlock()
	if best := t.bestAggregate(now); best != nil {
		return LoadView{reported: best.loadSums(), noticed: t.pendingNotices(best, now), age: now.Sub(best.at)}
	}
	return t.directView(now)
}

// cachedView is a view based on the peers' own digests. It is valid while changes and notices are the
// current versions of the table, and until the first of its reports expires.
type cachedView struct {
	view             LoadView
	changes, notices int64
	until            time.Time
}

// directView returns the view based on the peers' own digests. It is cached, because prompts that wait
// for room ask for it far more often than messages arrive.
func (t *Table) directView(now time.Time) LoadView {
	c := &t.direct
	if c.changes == t.changes && c.notices == t.notices.version && !now.After(c.until) {
		return c.view
	}
	sums, _ := t.directLoadsLocked(now)
	domainSums, _ := t.domainLoadSums(now)
	sums.merge(domainSums)
	view := LoadView{reported: sums, noticed: t.pendingNotices(nil, now)}
	*c = cachedView{view: view, changes: t.changes, notices: t.notices.version, until: t.nextExpiry(now)}
	return view
}

// nextExpiry returns the time at which the first of the current digests, domain loads and notices
// expires.
func (t *Table) nextExpiry(now time.Time) time.Time {
	next := now.Add(DigestLifetime)
	for _, p := range t.peers {
		if expires := p.at.Add(DigestLifetime); !expires.Before(now) && expires.Before(next) {
			next = expires
		}
	}
	for _, d := range t.domainLoads {
		if expires := d.at.Add(domainLoadLifetime); !expires.Before(now) && expires.Before(next) {
			next = expires
		}
	}
	if t.notices.count > 0 && t.notices.cachedUntil.Before(next) {
		next = t.notices.cachedUntil
	}
	return next
}
