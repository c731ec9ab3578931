package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// hold ends endpoints under a request at several nodes, so that all hold it.
func hold(t *testing.T, nodes []*node, f Fingerprint, endpoints string) {
	t.Helper()
	for i := range holdThreshold {
		nodes[i].RecordEnd(Ending{Fingerprint: f, Endpoint: fmt.Sprint(endpoints, i)})
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
	must.Eq(t, len(nodes), holdingNodes(nodes, f))
}

// startHolding starts five nodes that hold a request, with a record.
func startHolding(t *testing.T) (nw *network, nodes []*node, f Fingerprint) {
	t.Helper()
	nw = newNetwork(t, 1)
	nodes = nw.startAll(5)
	f = print("guilty")
	hold(t, nodes, f, "before")
	return nw, nodes, f
}

func TestRemovalAfterAnOutageKeepsANewerHold(t *testing.T) {
	for remover := range 5 {
		synctest.Test(t, func(t *testing.T) {
			nw, nodes, f := startHolding(t)
			nw.set(&nw.down, true)
			must.True(t, nodes[remover].Clear(f))
			time.Sleep(time.Second)
			hold(t, nodes, f, "after")
			nw.set(&nw.down, false)
			time.Sleep(10 * time.Second)
			synctest.Wait()
			test.Eq(t, len(nodes), holdingNodes(nodes, f), test.Sprint(remover))
			test.SliceNotEmpty(t, nw.record(f), test.Sprint(remover))
		})
	}
}

// The node that removes the record can reach the store before those that hold the request anew.
func TestRemovalBeforeTheNewerRecordKeepsTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, nodes, f := startHolding(t)
		nw.set(&nw.down, true)
		remover, others := nodes[4], nodes[:4]
		must.True(t, remover.Clear(f))
		time.Sleep(time.Second)
		nw.set(&remover.disconnected, true)
		hold(t, others, f, "after")
		end := remover.topicEnd()
		must.NoError(t, nw.write(keyOf(f), nil, &end))
		synctest.Wait()
		test.Eq(t, len(others), holdingNodes(others, f))
		nw.set(&nw.down, false)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		test.Eq(t, len(nodes), holdingNodes(nodes, f))
		test.SliceNotEmpty(t, nw.record(f))
	})
}

func TestRemovalExecutedLateKeepsANewerHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, nodes, f := startHolding(t)
		nw.set(&nw.lateRemovals, true)
		must.True(t, nodes[4].Clear(f))
		time.Sleep(time.Second)
		hold(t, nodes, f, "after")
		nw.set(&nw.lateRemovals, false)
		time.Sleep(2 * lateBy)
		synctest.Wait()
		test.Eq(t, len(nodes), holdingNodes(nodes, f))
		test.SliceNotEmpty(t, nw.record(f))
	})
}

// The node that removes the record has the one that was read before the outage of its paths.
func TestRemovalOfAnExpiredHoldKeepsAProlongedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, nodes, f := startHolding(t)
		remover := nodes[0].coordinators(f, nodes[0].config.Peers())[0]
		var others []*node
		for _, n := range nodes {
			if n.name != remover {
				others = append(others, n)
				continue
			}
			nw.set(&n.disconnected, true)
			nw.set(&n.unreading, true)
		}
		time.Sleep(firstHold + retention - 5*time.Minute)
		others[0].RecordEnd(Ending{Fingerprint: f, Endpoint: "later"})
		time.Sleep(7 * time.Minute)
		synctest.Wait()
		test.Eq(t, len(others), holdingNodes(others, f))
		test.SliceNotEmpty(t, nw.record(f))
	})
}
