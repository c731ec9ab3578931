package fairqueue

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"
)

// minRetryAfter is the minimum of RejectedError.RetryAfter.
const minRetryAfter = 100 * time.Millisecond

// noDeadline is later than any deadline.
const noDeadline = time.Duration(math.MaxInt64)

// Errors for invalid items. Pushing the same item again cannot succeed.
var (
	ErrUnknownClass = errors.New("fairqueue: no such class")
	ErrInvalidItem  = errors.New("fairqueue: cost and weight must be positive")
)

// Class is a priority class.
type Class struct {
	// Weight is the class's share of the service relative to the other classes that have items
	// queued.
	Weight float64
}

// Config configures a Queue.
type Config struct {
	// Classes are the priority classes; items refer to them by index.
	Classes []Class
	// MaxLen is the maximum number of queued items. Within one class, an account can use at
	// most half of it.
	MaxLen int
	// Rate is the initial service rate in cost units per second; SetRate changes it. Zero means
	// unknown: predicted waits are then zero.
	Rate float64
}

// Queue holds pending items and returns them in fair order. See the package comment for its
// guarantees.
type Queue[V any] struct {
	classes     []class[V]
	maxLen      int
	rate        float64
	epoch       time.Time
	random      *rand.PCG
	virtualTime float64 // start tag of the last popped class, as of that pop
	len         int
	seq         uint64
}

// New returns an empty queue. Times passed to its methods must come from the same clock as now.
func New[V any](now time.Time, cfg Config) *Queue[V] {
	q := &Queue[V]{
		classes: make([]class[V], len(cfg.Classes)),
		maxLen:  cfg.MaxLen,
		rate:    cfg.Rate,
		epoch:   now,
		// The random numbers determine only the shape of the treap. A constant seed is
		// sufficient and makes runs reproducible.
		random: rand.NewPCG(1, 2),
	}
	for i := range cfg.Classes {
		q.classes[i].weight = cfg.Classes[i].Weight
	}
	return q
}

// Len returns the number of queued items.
func (q *Queue[V]) Len() int { return q.len }

// Accounts returns the number of accounts whose state is kept, over all classes; an account
// with state in two classes counts twice.
func (q *Queue[V]) Accounts() int {
	var n int
	for i := range q.classes {
		n += len(q.classes[i].accounts)
	}
	return n
}

// SetRate sets the measured service rate in cost units per second.
func (q *Queue[V]) SetRate(rate float64) { q.rate = rate }

// Push queues item. It returns a *RejectedError if the account cannot queue more items at
// present or the predicted start is after the deadline, and another error for an unknown class
// or for a cost or weight that is not positive. A rejected item does not change the queue.
func (q *Queue[V]) Push(now time.Time, item Item[V]) (Handle[V], error) {
	if item.Account.Class < 0 || item.Account.Class >= len(q.classes) {
		return Handle[V]{}, ErrUnknownClass
	}
	if item.Cost <= 0 || item.Account.Weight <= 0 {
		return Handle[V]{}, ErrInvalidItem
	}
	c := &q.classes[item.Account.Class]
	startTag := c.nextStartTag(item.Account.ID)
	if err := q.admit(now, &item, startTag); err != nil {
		return Handle[V]{}, err
	}
	e := &entry[V]{item: item, startTag: startTag, seq: q.seq, deadlineOffset: q.deadlineOffset(item.StartBy), queued: true}
	e.priority = q.random.Uint64()
	if c.root == nil {
		c.startTag = max(c.startTag, q.virtualTime)
	}
	c.enqueue(e)
	q.seq++
	q.len++
	return Handle[V]{entry: e}, nil
}

// admit returns a *RejectedError if the account of item must not queue more items, or if item,
// with the given start tag, is predicted to start after its deadline.
func (q *Queue[V]) admit(now time.Time, item *Item[V], startTag float64) error {
	c := &q.classes[item.Account.Class]
	wait := q.predictWait(item.Account.Class, costThrough(c.root, startTag))
	if c.queuedItems(item.Account.ID) >= q.maxLen-q.len {
		return &RejectedError{Reason: QueueFull, Wait: wait, RetryAfter: max(wait, minRetryAfter)}
	}
	if item.StartBy.IsZero() {
		return nil
	}
	remaining := item.StartBy.Sub(now)
	if wait <= remaining {
		return nil
	}
	excess := wait - max(remaining, 0)
	return &RejectedError{Reason: DeadlineUnmeetable, Wait: wait, RetryAfter: max(excess, minRetryAfter)}
}

// Pop removes and returns the next item in fair order, or returns false if the queue is empty.
// It also returns items whose deadline has passed; callers should call Expire first.
func (q *Queue[V]) Pop() (Item[V], bool) {
	c := q.nextClass()
	if c == nil {
		return Item[V]{}, false
	}
	e := firstEntry(c.root)
	c.virtualTime = e.startTag
	q.virtualTime = c.startTag
	c.startTag += e.item.Cost / c.weight
	q.removeEntry(c, e)
	return e.item, true
}

// nextClass returns the class with the lowest start tag among those that have items queued, or
// nil if there is none.
func (q *Queue[V]) nextClass() *class[V] {
	var lowest *class[V]
	for i := range q.classes {
		c := &q.classes[i]
		if c.root == nil {
			continue
		}
		if lowest == nil || c.startTag < lowest.startTag {
			lowest = c
		}
	}
	return lowest
}

// Cancel removes a queued item and refunds its cost to the account. The refund affects only
// items pushed later, which never precede those that the account has already queued. Cancel
// returns false if the item is no longer queued; calling it again is safe.
func (q *Queue[V]) Cancel(h Handle[V]) bool {
	e := h.entry
	if e == nil || !e.queued {
		return false
	}
	q.removeUnserved(e)
	return true
}

// removeUnserved removes an entry that was not served and refunds its cost to the account.
func (q *Queue[V]) removeUnserved(e *entry[V]) {
	c := &q.classes[e.item.Account.Class]
	e.accountState.finishTag -= e.item.Cost / e.item.Account.Weight
	q.removeEntry(c, e)
}

// removeEntry removes e from class c. If the queue is then empty, it resets the virtual time
// and the start tags of all classes.
func (q *Queue[V]) removeEntry(c *class[V], e *entry[V]) {
	c.dequeue(e)
	c.evictIdleAccounts()
	q.len--
	if q.len > 0 {
		return
	}
	q.virtualTime = 0
	for i := range q.classes {
		q.classes[i].startTag = 0
	}
}

// Charge corrects the cost charged to an account once the actual cost of a popped item is
// known: delta is the actual minus the estimated cost. Within the class it affects only items
// that the account pushes later; it also changes the order in which the queued items of the
// class are popped relative to those of other classes. It has no effect for a class without
// queued items, since no account is waiting for its share, or if the class or weight is invalid.
func (q *Queue[V]) Charge(account Account, delta float64) {
	if account.Class < 0 || account.Class >= len(q.classes) || account.Weight <= 0 {
		return
	}
	c := &q.classes[account.Class]
	if c.root == nil {
		return
	}
	c.charge(account.ID, delta/account.Weight)
	c.startTag = max(q.virtualTime, c.startTag+delta/c.weight)
}

// deadlineOffset converts a deadline to the time since the queue's epoch; noDeadline if the
// deadline is zero.
func (q *Queue[V]) deadlineOffset(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return noDeadline
	}
	return deadline.Sub(q.epoch)
}
