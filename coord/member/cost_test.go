package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// newQuietPair returns two cores that contain n members each and have no queued
// updates.
func newQuietPair(n int) (a, b *core) {
	s := newSim(n, 3)
	a, b = newCore(s.nodes[0].entry, 1, simStart), newCore(s.nodes[1].entry, 2, simStart)
	for _, c := range []*core{a, b} {
		c.setRoster(simStart, s.roster())
		c.mergeMessage(&Message{From: a.self.selfReportEntry()})
		c.mergeMessage(&Message{From: b.self.selfReportEntry()})
		for _, r := range c.updateQueue {
			r.sendCount = c.maxSends()
		}
		c.appendUpdates(nil)
		c.urgentUpdates = nil
		c.takeOutbox()
	}
	return a, b
}

// runExchange runs one complete exchange with the peer.
func (c *core) runExchange(t testing.TB, peer *core) {
	r := c.byID[peer.self.id]
	c.send(r, sendOptions{})
	out := c.takeOutbox()
	must.Len(t, 1, out)
	c.completeExchange(simStart, out[0], peer.handleRequest(simStart, out[0].req), nil)
}

// TestExchangeAllocations checks that the allocations of an exchange without
// updates do not grow with the number of members.
func TestExchangeAllocations(t *testing.T) {
	for _, n := range []int{7, 1000} {
		a, b := newQuietPair(n)
		got := testing.AllocsPerRun(50, func() { a.runExchange(t, b) })
		test.LessEq(t, 4, got, test.Sprint(n))
	}
}

func BenchmarkCore(b *testing.B) {
	for _, n := range []int{7, 200, 1000} {
		x, y := newQuietPair(n)
		b.Run(fmt.Sprintf("exchange/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.runExchange(b, y)
			}
		})
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			now := simStart
			for b.Loop() {
				now = now.Add(time.Nanosecond)
				x.tick(now)
			}
		})
		b.Run(fmt.Sprintf("snapshot/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.snapshot()
			}
		})
		b.Run(fmt.Sprintf("start/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			s := newSim(n, 3)
			roster := s.roster()
			for b.Loop() {
				newCore(s.nodes[0].entry, 1, simStart).setRoster(simStart, roster)
			}
		})
	}
}
