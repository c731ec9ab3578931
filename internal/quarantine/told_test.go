package quarantine

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// settle waits until all nodes have asked others for holds, and returns the number of messages so far.
func (nw *network) settle() (messages int) {
	time.Sleep(2 * askTries * askTimeout)
	synctest.Wait()
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.messages
}

func TestNodesThatStartAskFewOthers(t *testing.T) {
	for _, size := range []int{1, 2, 12, 295} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 1)
			nw.startAll(size)
			test.LessEq(t, 2*askedNodes*size, nw.settle(), test.Sprint(size))
		})
	}
}

func TestHoldsAreNotKnownBeforeTheListIsReadAndOthersHaveAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		listed, silent bool
		knownAfter     time.Duration
	}{
		"answers":    {listed: true},
		"no answers": {listed: true, silent: true, knownAfter: askTries * askTimeout},
		"no list":    {knownAfter: maxLearning},
	} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 1)
			nw.startAll(3)
			nw.settle()
			n := &node{net: nw, name: "late", disconnected: c.silent}
			n.Service = New(Config{
				Node: n.name, Conn: n, Topic: nw, TopicEnd: n.topicEnd, Now: time.Now, Log: zerolog.Nop(),
				Peers: func() map[string]netip.AddrPort { return nw.peersOf(n.name) },
			})
			nw.mu.Lock()
			nw.nodes[n.addr] = n
			nw.mu.Unlock()
			go func() { _ = n.Run(t.Context()) }() // it always returns nil
			synctest.Wait()
			must.False(t, n.HoldsKnown(), must.Sprint(name))
			if c.listed {
				n.PeersChanged()
			}
			synctest.Wait()
			if c.knownAfter > 0 {
				time.Sleep(c.knownAfter - time.Millisecond)
				test.False(t, n.HoldsKnown(), test.Sprint(name))
				time.Sleep(2 * time.Millisecond)
				synctest.Wait()
			}
			test.True(t, n.HoldsKnown(), test.Sprint(name))
		})
	}
}

// The network fails a test by an answer that doesn't fit into a datagram.
func TestAnswersAboutHoldsFitIntoDatagrams(t *testing.T) {
	long := strings.Repeat("e", maxEndpointBytes-4)
	for _, held := range []int{0, 10, 200} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 1)
			nw.down = true
			n := nw.start(0)
			for i := range held * holdThreshold {
				n.RecordEnd(Ending{Fingerprint: print(fmt.Sprint("held", i/holdThreshold)), Endpoint: fmt.Sprint(long, i%holdThreshold)})
			}
			for i := range 200 {
				request := print(fmt.Sprint("request", i))
				n.RecordEnd(Ending{Fingerprint: print("part"), Endpoint: fmt.Sprint(long, i), Request: &request, Account: AccountKey("account"), Depth: maxDepth})
				n.RecordEnd(Ending{Fingerprint: print(fmt.Sprint("part", i)), Endpoint: fmt.Sprint(long, i), Request: &request, Account: AccountKey("account"), Depth: maxDepth})
			}
			result, err := n.handleHolds(nil)
			must.NoError(t, err)
			answer := result.(holdsResponse)
			test.GreaterEq(t, min(held, maxEndings/holdThreshold), len(answer.Holds), test.Sprint(held))
			test.LessEq(t, maxEndings, len(answer.Endings)+holdThreshold*len(answer.Holds), test.Sprint(held))
			data, err := json.Marshal(answer)
			must.NoError(t, err)
			t.Logf("%d held: %d bytes", held, len(data))
			nw.start(1)
			nw.settle()
		})
	}
}

// restart ends a node and starts it again at its address, before the others notice.
func (nw *network) restart(nodes []*node, i int) {
	nodes[i].stop()
	nodes[i] = nw.start(i)
}

func TestNodeThatStartsAgainLearnsHoldsWithoutARecord(t *testing.T) {
	for _, size := range []int{2, 6, 82} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 1)
			nw.down = true
			nodes := nw.startAll(size)
			f := print("guilty")
			for i := range holdThreshold {
				nodes[i%size].RecordEnd(Ending{Fingerprint: f, Endpoint: fmt.Sprint("e", i)})
			}
			time.Sleep(5 * time.Second)
			for i := range size {
				nw.restart(nodes, i)
				time.Sleep(time.Second)
				synctest.Wait()
				must.False(t, nodes[i].HeldUntil(f).IsZero(), must.Sprint(size, i))
			}
			nw.set(&nw.down, false)
			time.Sleep((coordinators + 2) * recordInterval)
			test.SliceNotEmpty(t, nw.record(f), test.Sprint(size))
		})
	}
}

func TestNodeThatStartsAgainLearnsEndings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(t, 1)
		nodes := nw.startAll(3)
		f := print("guilty")
		nodes[2].RecordEnd(Ending{Fingerprint: f, Endpoint: "e0"})
		nodes[2].RecordEnd(Ending{Fingerprint: f, Endpoint: "e1"})
		time.Sleep(2 * resendFor)
		nw.restart(nodes, 2)
		time.Sleep(time.Second)
		nodes[2].RecordEnd(Ending{Fingerprint: f, Endpoint: "e2"})
		test.False(t, nodes[2].HeldUntil(f).IsZero())
	})
}

// The nodes miss all sends of the endings, as frozen ones do.
func TestHoldIsToldUntilItHasARecord(t *testing.T) {
	for _, part := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 1)
			nw.down = true
			nodes := nw.startAll(5)
			knower, others := nodes[0], nodes[1:]
			f := print("guilty")
			nw.set(&knower.disconnected, true)
			for i := range holdThreshold {
				e := Ending{Fingerprint: f, Endpoint: fmt.Sprint("e", i)}
				if part {
					request := print(fmt.Sprint("request", i))
					e.Request, e.Account = &request, AccountKey("account")
				}
				knower.RecordEnd(e)
				time.Sleep(2 * episodeGap)
			}
			time.Sleep(10 * time.Second)
			must.Eq(t, 1, holdingNodes(nodes, f))
			nw.set(&knower.disconnected, false)
			time.Sleep(10 * time.Second)
			synctest.Wait()
			test.Eq(t, len(nodes), holdingNodes(nodes, f), test.Sprint(part))
			nw.kill(knower)
			nw.set(&nw.down, false)
			time.Sleep((coordinators + 2) * recordInterval)
			test.SliceNotEmpty(t, nw.record(f), test.Sprint(part))
			test.Eq(t, len(others), holdingNodes(others, f), test.Sprint(part))
		})
	}
}

func TestHoldIsWrittenAgainIfItsRecordIsLostBeforeTheAnswer(t *testing.T) {
	for _, size := range []int{1, 5, 82} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 1)
			nodes := nw.startAll(size)
			f := print("guilty")
			nw.set(&nw.restoreAfterWrite, true)
			for i := range holdThreshold {
				nodes[0].RecordEnd(Ending{Fingerprint: f, Endpoint: fmt.Sprint("e", i)})
			}
			time.Sleep((coordinators + 2) * recordInterval)
			synctest.Wait()
			test.SliceNotEmpty(t, nw.record(f), test.Sprint(size))
		})
	}
}

// record returns the record of a hold, or nil.
func (nw *network) record(f Fingerprint) []byte {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.records[keyOf(f)]
}
