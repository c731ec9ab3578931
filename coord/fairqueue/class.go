package fairqueue

import "container/heap"

// account is the state of a client account that has items queued or a finish tag above the
// virtual time of its class.
type account struct {
	id string
	// finishTag is the virtual time at which the total cost accepted from the account will have
	// been served.
	finishTag float64
	// lastStartTag is the start tag of the newest item. It is a lower bound for the next one,
	// so that a refund never places a later item before an earlier one.
	lastStartTag float64
	queued       int
	// heapIndex is the position in the idle heap, or notInHeap.
	heapIndex int
}

const notInHeap = -1

// class is the state of one priority class.
type class[V any] struct {
	weight float64
	// startTag is, while items are queued, the queue's virtual time at which the next one starts,
	// and otherwise that at which the last one finished.
	startTag float64
	// virtualTime is the start tag of the item that was popped last.
	virtualTime float64
	root        *entry[V]
	accounts    map[string]*account
	idle        idleHeap
}

// nextStartTag returns the start tag that a new item of account id would get.
func (c *class[V]) nextStartTag(id string) float64 {
	a, ok := c.accounts[id]
	if !ok {
		return c.virtualTime
	}
	return max(c.virtualTime, a.finishTag, a.lastStartTag)
}

// queuedItems returns the number of items that account id has queued.
func (c *class[V]) queuedItems(id string) int {
	a, ok := c.accounts[id]
	if !ok {
		return 0
	}
	return a.queued
}

// enqueue inserts e, whose start tag is set, and updates the state of its account.
func (c *class[V]) enqueue(e *entry[V]) {
	a := c.account(e.item.Account.ID)
	if a.heapIndex != notInHeap {
		heap.Remove(&c.idle, a.heapIndex)
	}
	a.queued++
	a.lastStartTag = e.startTag
	a.finishTag = e.startTag + e.item.Cost/e.item.Account.Weight
	e.accountState = a
	c.root = insert(c.root, e)
}

// dequeue removes e from the tree and from the item count of its account.
func (c *class[V]) dequeue(e *entry[V]) {
	c.root = remove(c.root, e)
	e.accountState.queued--
	if e.accountState.queued == 0 {
		heap.Push(&c.idle, e.accountState)
	}
	e.accountState = nil
	e.queued = false
}

// charge adds delta, in units of virtual time, to the finish tag of account id.
func (c *class[V]) charge(id string, delta float64) {
	a := c.account(id)
	a.finishTag = max(a.finishTag, c.virtualTime) + delta
	if a.heapIndex != notInHeap {
		heap.Fix(&c.idle, a.heapIndex)
	} else if a.queued == 0 {
		heap.Push(&c.idle, a)
	}
	c.evictIdleAccounts()
}

// account returns the state of account id and creates it if needed.
func (c *class[V]) account(id string) *account {
	a, ok := c.accounts[id]
	if ok {
		return a
	}
	if c.accounts == nil {
		c.accounts = make(map[string]*account)
	}
	a = &account{id: id, finishTag: c.virtualTime, lastStartTag: c.virtualTime, heapIndex: notInHeap}
	c.accounts[id] = a
	return a
}

// evictIdleAccounts removes the accounts without queued items whose finish tag has been
// reached. If the class has no queued items, it removes all accounts, since no account is
// waiting for its fair share, and resets the virtual time.
func (c *class[V]) evictIdleAccounts() {
	if c.root == nil {
		c.accounts = nil
		c.idle = nil
		c.virtualTime = 0
		return
	}
	for len(c.idle) > 0 && c.idle[0].finishTag <= c.virtualTime {
		a := heap.Pop(&c.idle).(*account)
		delete(c.accounts, a.id)
	}
}

// idleHeap is a heap of the accounts without queued items, ordered by finish tag.
type idleHeap []*account

var _ heap.Interface = (*idleHeap)(nil)

func (h idleHeap) Len() int           { return len(h) }
func (h idleHeap) Less(i, j int) bool { return h[i].finishTag < h[j].finishTag }

func (h idleHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *idleHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *idleHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.heapIndex = notInHeap
	return a
}
