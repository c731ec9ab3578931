package forward_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/standin/modelserver"
)

// lentSlots is a forward.Placer that lends slots of one endpoint, and a forward.BrittleServices.
type lentSlots struct {
	forward.Placer
	mu                            sync.Mutex
	free, lent, refused, returned int
	reported                      []int
}

func (l *lentSlots) Place(q *forward.Query) (forward.Placement, bool) {
	p, ok := l.Placer.Place(q)
	if ok {
		p.Borrow = l.borrow
		p.OnRefusal = func() time.Duration { return time.Second }
	}
	return p, ok
}

func (l *lentSlots) borrow(context.Context) forward.Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free == 0 {
		return nil
	}
	l.free--
	l.lent++
	return l
}

func (l *lentSlots) Release(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free++
	l.returned++
	if refused {
		l.refused++
	}
}

func (l *lentSlots) Record(_ string, refusals int) bool {
	l.reported = append(l.reported, refusals)
	return true
}

// newBrittleHandler returns a handler whose requests need slots.
func newBrittleHandler(t *testing.T, free int, models ...string) (*testHandler, *lentSlots) {
	t.Helper()
	h := newTestHandler(t, models...)
	slots := &lentSlots{Placer: h.placer, free: free}
	h.handler.Placer, h.handler.Brittle = slots, slots
	return h, slots
}

// TestEachSendToABrittleEndpointTakesASlot checks that requests, repeats and streams return the slots that they
// took, and that refusals are told.
func TestEachSendToABrittleEndpointTakesASlot(t *testing.T) {
	h, slots := newBrittleHandler(t, 1, "", "")
	test.Eq(t, http.StatusOK, h.do(t, http.MethodGet, recordPath, "", nil).status)
	test.Eq(t, 1, slots.lent)
	h.servers[0].SetFaults(modelserver.Faults{RejectRequests: true, Brittle: "3"})
	test.Eq(t, http.StatusOK, h.do(t, http.MethodGet, recordPath, "", nil).status)
	test.Eq(t, 3, slots.lent, test.Sprint("the repeat takes its own"))
	test.Eq(t, 1, slots.refused)
	test.Eq(t, 3, slots.returned)
	test.Eq(t, []int{3}, slots.reported)
}

// TestStreamHeadTellsThatAServiceIsBrittle checks that the word counts as soon as a stream begins.
func TestStreamHeadTellsThatAServiceIsBrittle(t *testing.T) {
	h, slots := newBrittleHandler(t, 1, "model")
	h.servers[0].SetFaults(modelserver.Faults{Brittle: "0"})
	test.Eq(t, http.StatusOK, h.do(t, http.MethodPost, streamPath, "x", nil).status)
	test.Eq(t, []int{0}, slots.reported)
	test.Eq(t, 1, slots.returned)
	h.servers[0].SetFaults(modelserver.Faults{Brittle: "many"})
	h.do(t, http.MethodPost, streamPath, "x", nil)
	test.Eq(t, []int{0}, slots.reported, test.Sprint("an unreadable number changes nothing"))
}

// TestRequestWithoutASlotIsRefusedInTime checks that a caller waits no longer for a slot than for an endpoint, and
// is told when to come back.
func TestRequestWithoutASlotIsRefusedInTime(t *testing.T) {
	h, _ := newBrittleHandler(t, 0, "")
	began := time.Now()
	answer := h.do(t, http.MethodGet, recordPath, "", nil)
	test.Eq(t, http.StatusServiceUnavailable, answer.status)
	test.Eq(t, "1.000", answer.header.Get("Retry-After"))
	test.Less(t, time.Second, time.Since(began))
	must.SliceEmpty(t, h.servers[0].Runs())
}
