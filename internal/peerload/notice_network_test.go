package peerload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/intervals"
)

// runTime is how long prompts run in the tests.
const runTime = 400 * time.Millisecond

// place sends a prompt to an engine, as forward does, and ends it after runTime.
func (n *networkNode) place(m *fleet.Member) {
	m.Load.Begin(100, 1000)
	n.AnnouncePlacement(m, 100, 1000)
	n.RequestReport()
	time.AfterFunc(runTime, func() {
		m.Load.FirstEvent(100)
		m.Load.End(1000)
	})
}

// placeRandomly makes each live node place the given number of prompts per second at random engines
// of its failure domain.
func (w *network) placeRandomly(perSecond int, lasts time.Duration) {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	engines := make(map[*networkNode][]*fleet.Member)
	w.forEachLive(func(n *networkNode) { engines[n] = n.localEngines() })
	for range int(lasts / step) {
		w.forEachLive(func(n *networkNode) {
			if random.Float64() < float64(perSecond)*step.Seconds() {
				local := engines[n]
				n.place(local[random.IntN(len(local))])
			}
		})
		time.Sleep(step)
	}
}

// localEngines returns the engines of the node's failure domain.
func (n *networkNode) localEngines() (local []*fleet.Member) {
	for _, m := range n.fleet.All() {
		if m.Endpoint().Domain == n.domain {
			local = append(local, m)
		}
	}
	return local
}

// traffic is what the nodes of a network sent and received per second.
type traffic struct {
	meanReceived, maxReceived, maxBytes int
	notices                             int // sent per second by all nodes
	withheld                            int64
	inUse                               int // number of nodes that count notices as in use
}

// measure returns the traffic while each node places the given number of prompts per second.
func (w *network) measure(perSecond, seconds int) (tr traffic) {
	w.placeRandomly(perSecond, time.Second)
	var before int64
	w.forEachLive(func(n *networkNode) {
		n.mu.Lock()
		n.received, n.sentBytes = 0, 0
		n.mu.Unlock()
		before += n.NoticeStats().Sent
	})
	w.placeRandomly(perSecond, time.Duration(seconds)*time.Second)
	count, sum := 0, 0
	w.forEachLive(func(n *networkNode) {
		n.mu.Lock()
		defer n.mu.Unlock()
		count++
		sum += n.received / seconds
		tr.maxReceived = max(tr.maxReceived, n.received/seconds)
		// The node pauses after a send according to its bytes, so those of the last one don't count.
		tr.maxBytes = max(tr.maxBytes, (n.sentBytes-n.maxSend)/seconds)
		tr.notices += int(n.NoticeStats().Sent) / seconds
		tr.withheld += n.NoticeStats().Withheld
		if n.NoticesInUse() {
			tr.inUse++
		}
	})
	tr.meanReceived = sum / count
	tr.notices -= int(before) / seconds
	return tr
}

// TestNoticeTraffic bounds the messages per second that a node receives and the bytes per second that
// it sends, with digests and notices together, at the prompt rate of a busy system and at twice the
// rate.
func TestNoticeTraffic(t *testing.T) {
	for _, tc := range []struct {
		nodes, domains, engines, perSecond, seconds int
		minInUse, maxInUse                          int // number of nodes
	}{
		{7, 1, 9, 30, 3, 0, 0},
		{32, 4, 60, 14, 3, 32, 32},
		{64, 4, 90, 14, 3, 64, 64},
		{64, 4, 90, 28, 3, 0, 64},
		{295, 5, 400, 14, 3, 0, 0},
	} {
		runNetwork(t, tc.nodes, tc.domains, tc.engines, func(t *testing.T, w *network) {
			tr := w.measure(tc.perSecond, tc.seconds)
			t.Logf("%+v: %+v", tc, tr)
			test.LessEq(t, 400, tr.maxReceived)
			test.LessEq(t, 1.05*intervals.MinMessageRate, float64(tr.maxBytes))
			test.Between(t, tc.minInUse, tr.inUse, tc.maxInUse)
		})
	}
}

// startPlacing has all nodes place prompts at other engines than the given one, so that notices are
// in use, and waits for all reports of it to expire.
func (w *network) startPlacing(t *testing.T, except string) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(70 * time.Millisecond):
			}
			w.forEachLive(func(n *networkNode) {
				if m := n.localEngines()[i%len(n.localEngines())]; m.ID != except {
					n.place(m)
				}
			})
		}
	}()
	time.Sleep(time.Second)
}

// member returns the node's view of an engine.
func (n *networkNode) member(id string) *fleet.Member { return n.fleet.Member(id) }

// runningAt returns how many prompts of other nodes the node knows at an engine.
func (n *networkNode) runningAt(engine string) int {
	return n.Table.Loads(time.Now()).At(engine, 0).Running
}

// TestNoticesReachDomain checks that a prompt is known to the other nodes of the failure domain within
// a message's latency, to the collectors within the interval between two digests, and that it counts
// once at each of them until it ends, and never at the node that placed it.
func TestNoticesReachDomain(t *testing.T) {
	runNetwork(t, 32, 2, 45, func(t *testing.T, w *network) {
		const engine = "i-0000000000"
		w.startPlacing(t, engine)
		domain := w.domain("d0")
		placing := domain[5:7] // at the same time
		for _, n := range placing {
			m := n.member(engine)
			m.Load.Begin(100, 1000)
			n.AnnouncePlacement(m, 100, 1000)
			n.RequestReport()
		}
		check := func(what string, nodes []*networkNode, want int) {
			for _, n := range nodes {
				expected := want
				if n == placing[0] || n == placing[1] {
					expected--
				}
				test.Eq(t, max(expected, 0), n.runningAt(engine), test.Sprint(what, " ", n.config.Node))
			}
		}
		time.Sleep(messageLatency + time.Millisecond)
		check("notice", domain[2:], 2)
		time.Sleep(40 * time.Millisecond)
		for range 60 {
			check("reports", domain, 2)
			time.Sleep(5 * time.Millisecond)
		}
		for _, n := range placing {
			n.member(engine).Load.End(1000)
		}
		time.Sleep(300 * time.Millisecond)
		check("ended", domain, 0)
	})
}

// TestLostNoticeIsReplacedByDigest checks that a node that lost a notice knows the prompt from the next
// load reports.
func TestLostNoticeIsReplacedByDigest(t *testing.T) {
	runNetwork(t, 32, 2, 45, func(t *testing.T, w *network) {
		const engine = "i-0000000000"
		w.startPlacing(t, engine)
		domain := w.domain("d0")
		receiver, sender := domain[8], domain[9]
		receiver.mu.Lock()
		receiver.loses = noticeMethod
		receiver.mu.Unlock()
		m := sender.member(engine)
		m.Load.Begin(100, 1000)
		sender.AnnouncePlacement(m, 100, 1000)
		sender.RequestReport()
		time.Sleep(messageLatency + time.Millisecond)
		test.Eq(t, 0, receiver.runningAt(engine))
		test.Eq(t, 1, domain[10].runningAt(engine))
		time.Sleep(120 * time.Millisecond)
		test.Eq(t, 1, receiver.runningAt(engine))
	})
}

// TestKilledNodesNoticesExpire checks that a prompt of a node that stops right after the notice counts
// until DigestLifetime has passed, and no longer.
func TestKilledNodesNoticesExpire(t *testing.T) {
	runNetwork(t, 32, 2, 45, func(t *testing.T, w *network) {
		const engine = "i-0000000000"
		w.startPlacing(t, engine)
		domain := w.domain("d0")
		receiver, sender := domain[8], domain[9]
		m := sender.member(engine)
		m.Load.Begin(100, 1000)
		sender.AnnouncePlacement(m, 100, 1000)
		time.Sleep(time.Microsecond)
		sender.kill()
		for range 70 {
			time.Sleep(10 * time.Millisecond)
			test.Eq(t, 1, receiver.runningAt(engine))
		}
		time.Sleep(DigestLifetime)
		test.Eq(t, 0, receiver.runningAt(engine))
	})
}
