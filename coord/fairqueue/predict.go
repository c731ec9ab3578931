package fairqueue

import (
	"math"
	"time"
)

// maxWait limits predictions to the range of a time.Duration.
const maxWait = 365 * 24 * time.Hour

// predictWait returns the predicted time until the class with the given index has received
// costAhead units of service while the other classes receive their weighted shares. It is zero
// if the service rate is unknown. The prediction uses the fluid model of fair queueing and only
// the items queued now: later arrivals can only lengthen the wait. Items that were already
// popped are not counted.
func (q *Queue[V]) predictWait(classIndex int, costAhead float64) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	own := &q.classes[classIndex]
	start := own.startTag
	if own.root == nil {
		start = max(start, q.virtualTime)
	}
	targetTag := start + costAhead/own.weight
	total := costAhead
	for i := range q.classes {
		other := &q.classes[i]
		if i == classIndex || other.root == nil {
			continue
		}
		share := max(0, targetTag-other.startTag) * other.weight
		total += min(share, other.root.subtreeCost)
	}
	seconds := total / q.rate
	return time.Duration(math.Min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// Expire removes and returns the items that are predicted not to start before their deadlines,
// so that the caller can reject them at once. They were not executed. Subtrees in which every
// deadline can be met are skipped; the cost is O((k+1) log n) for k expired items, and up to
// O(n) when many items are close to expiry.
func (q *Queue[V]) Expire(now time.Time) []Item[V] {
	elapsed := now.Sub(q.epoch)
	var expired []*entry[V]
	for i := range q.classes {
		expired, _ = q.collectExpired(expired, i, q.classes[i].root, elapsed, 0)
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

// collectExpired appends to out the entries of subtree e that are predicted not to start before
// their deadlines if costAhead units of service are served first. It returns out and the total
// cost of the remaining entries of the subtree.
func (q *Queue[V]) collectExpired(out []*entry[V], classIndex int, e *entry[V], elapsed time.Duration, costAhead float64) ([]*entry[V], float64) {
	if e == nil {
		return out, 0
	}
	if e.earliestDeadline >= elapsed+q.predictWait(classIndex, costAhead+e.subtreeCost) {
		return out, e.subtreeCost
	}
	out, remaining := q.collectExpired(out, classIndex, e.left, elapsed, costAhead)
	if e.deadlineOffset < elapsed+q.predictWait(classIndex, costAhead+remaining) {
		out = append(out, e)
	} else {
		remaining += e.item.Cost
	}
	out, right := q.collectExpired(out, classIndex, e.right, elapsed, costAhead+remaining)
	return out, remaining + right
}
