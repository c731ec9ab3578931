package policybench

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time. Events of the same time run in the order in which
// they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

var _ heap.Interface = (*eventHeap)(nil)

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// clock is a virtual clock with its pending events.
type clock struct {
	at      time.Duration
	seq     uint64
	pending eventHeap
}

var epoch = time.Unix(0, 0)

func (c *clock) now() time.Time { return epoch.Add(c.at) }

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.pending, event{c.at + max(0, d), c.seq, do})
}

func (c *clock) until(t time.Time, do func()) { c.after(t.Sub(c.now()), do) }

// run runs the events up to end.
func (c *clock) run(end time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		e := heap.Pop(&c.pending).(event)
		c.at = e.at
		e.do()
	}
	c.at = end
}
