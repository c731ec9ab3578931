package fairqueue

import (
	"math"
	"time"
)

// maxWait limits predictions to the range of a time.Duration.
const maxWait = 365 * 24 * time.Hour

// predictWait returns the predicted time until class c has received the service ahead, in cost
// units, while the other classes receive their weighted shares. It is zero if the service rate
// is unknown. The prediction uses the fluid model of fair queueing and only the items queued
// now: later arrivals can only lengthen the wait. Items that were already popped are not
// counted.
func (q *Queue[V]) predictWait(c int, ahead float64) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	own := &q.classes[c]
	start := own.startTag
	if own.root == nil {
		start = max(start, q.virtualTime)
	}
	targetTag := start + ahead/own.weight
	total := ahead
	for i := range q.classes {
		other := &q.classes[i]
		if i == c || other.root == nil {
			continue
		}
		share := max(0, targetTag-other.startTag) * other.weight
		total += min(share, other.root.subtreeCost)
	}
	seconds := total / q.rate
	return time.Duration(math.Min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// Expire removes and returns the items that can no longer start before their deadlines, so that
// the caller can reject them at once. They were not executed. Subtrees in which every deadline
// can be met are skipped; the cost is O((k+1) log n) for k expired items, and up to O(n) when
// many items are close to expiry.
func (q *Queue[V]) Expire(now time.Time) []Item[V] {
	elapsed := now.Sub(q.epoch)
	var expired []*entry[V]
	for i := range q.classes {
		expired, _ = q.collectLate(expired, i, q.classes[i].root, elapsed, 0)
	}
	if len(expired) == 0 {
		return nil
	}
	items := make([]Item[V], len(expired))
	for i, e := range expired {
		items[i] = e.item
		q.removeUnserved(e)
	}
	return items
}

// collectLate appends to out the entries of subtree e that cannot start before their deadlines
// if the service ahead, in cost units, is given first. It returns out and the total cost of the
// remaining entries.
func (q *Queue[V]) collectLate(out []*entry[V], c int, e *entry[V], elapsed time.Duration, ahead float64) ([]*entry[V], float64) {
	if e == nil {
		return out, 0
	}
	if e.earliestDeadline >= elapsed+q.predictWait(c, ahead+e.subtreeCost) {
		return out, e.subtreeCost
	}
	out, remaining := q.collectLate(out, c, e.left, elapsed, ahead)
	if e.deadlineOffset < elapsed+q.predictWait(c, ahead+remaining) {
		out = append(out, e)
	} else {
		remaining += e.item.Cost
	}
	out, right := q.collectLate(out, c, e.right, elapsed, ahead+remaining)
	return out, remaining + right
}
