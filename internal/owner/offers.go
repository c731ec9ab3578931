package owner

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/placement"
)

// maxOffers is the maximum number of queued offers. If the queue is full, the offer
// with the earliest decision time is discarded. At about 5 KB each, the queue takes up
// to 20 MB.
const maxOffers = 4096

// offers holds finished turns until their export is decided. A conversation has at
// most one offer: when it continues, the offer of its previous turn is discarded.
type offers struct {
	mu     sync.Mutex
	byTurn map[kvcache.Fingerprint]*pendingOffer
	queue  offerQueue
}

// pendingOffer is the offer of one finished turn.
type pendingOffer struct {
	req      *offerRequest
	uses     int // number of the conversation's turns so far
	ended    time.Time
	decideAt time.Time
	index    int // position in the queue, -1 if not queued
}

// turnKey returns the fingerprint of the turn's last complete chunk, which
// identifies the turn.
func (p *pendingOffer) turnKey() kvcache.Fingerprint {
	return p.req.Prompt.Chain[len(p.req.Prompt.Chain)-1]
}

func newOffers() *offers {
	return &offers{byTurn: make(map[kvcache.Fingerprint]*pendingOffer)}
}

// add queues an offer. It replaces an earlier offer of the same turn.
func (o *offers) add(p *pendingOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) >= maxOffers {
		o.remove(o.queue[0])
	}
	if old := o.byTurn[p.turnKey()]; old != nil {
		o.remove(old)
	}
	o.byTurn[p.turnKey()] = p
	heap.Push(&o.queue, p)
}

// discardTurn discards the offer of a turn whose conversation has continued.
func (o *offers) discardTurn(turn kvcache.Fingerprint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.byTurn[turn]; p != nil {
		o.remove(p)
	}
}

func (o *offers) remove(p *pendingOffer) {
	delete(o.byTurn, p.turnKey())
	if p.index >= 0 {
		heap.Remove(&o.queue, p.index)
	}
}

// popReady removes and returns from the queue the offer with the earliest decision time,
// or returns nil if that time has not been reached.
func (o *offers) popReady(now time.Time) *pendingOffer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 || now.Before(o.queue[0].decideAt) {
		return nil
	}
	return heap.Pop(&o.queue).(*pendingOffer)
}

// requeue queues an offer again if its link was busy or its export was not profitable.
// It discards the offer if its turn ended more than placement.ExportUntil ago, and does
// nothing if the offer was discarded or replaced in the meantime.
func (o *offers) requeue(now time.Time, p *pendingOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byTurn[p.turnKey()] != p {
		return
	}
	if now.Sub(p.ended) > placement.ExportUntil {
		o.remove(p)
		return
	}
	p.decideAt = now.Add(placement.ExportRetry)
	heap.Push(&o.queue, p)
}

// finish removes an offer after its final decision.
func (o *offers) finish(p *pendingOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byTurn[p.turnKey()] == p {
		o.remove(p)
	}
}

// offerQueue is a heap of offers ordered by the time at which they are decided.
type offerQueue []*pendingOffer

var _ heap.Interface = (*offerQueue)(nil)

// Len implements heap.Interface.
func (q offerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q offerQueue) Less(i, j int) bool { return q[i].decideAt.Before(q[j].decideAt) }

// Swap implements heap.Interface.
func (q offerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *offerQueue) Push(x any) {
	p := x.(*pendingOffer)
	p.index = len(*q)
	*q = append(*q, p)
}

// Pop implements heap.Interface.
func (q *offerQueue) Pop() any {
	last := len(*q) - 1
	p := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	p.index = -1
	return p
}
