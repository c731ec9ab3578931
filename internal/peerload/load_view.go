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
	sums, _ := t.directLoadsLocked(now)
	domainSums, _ := t.domainLoadSums(now)
	sums.merge(domainSums)
	return LoadView{reported: sums, noticed: t.pendingNotices(nil, now)}
}
