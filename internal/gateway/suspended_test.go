package gateway

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/peerload"
)

// suspensions are for how long the tests' hosts are suspended.
var suspensions = []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second}

// onHost gives a view the clock of a host of its own.
func (v view) onHost() *clocktest.Host {
	h := clocktest.New()
	v.node.clock, v.state.clock, v.node.roster.clock = h.Clock, h.Clock, h.Clock
	return h
}

// TestSuspendedNodeKnowsItsAge: a host is suspended for seconds that its steady clock doesn't count.
// Its configuration is older by as much: keys that were revoked meanwhile must not be accepted.
func TestSuspendedNodeKnowsItsAge(t *testing.T) {
	for _, d := range suspensions {
		synctest.Test(t, func(t *testing.T) {
			v := newView("n")
			host := v.onHost()
			v.state.Apply(follow.Batch{ProvenAt: host.Now()})
			time.Sleep(time.Second)
			host.Suspend(d)
			_, age := v.state.Config()
			test.Eq(t, time.Second+d, age)
			test.Eq(t, time.Second+d < namingAge, v.fresh())
		})
	}
}

// TestSuspendedNodeNamesNoFreedParts: parts of replaced weights are named for 9 s after the node saw
// these replaced, and of the wanted ones on a proof of 11.8 s. Others free them then, however long
// this node's host was suspended.
func TestSuspendedNodeNamesNoFreedParts(t *testing.T) {
	for _, d := range suspensions {
		synctest.Test(t, func(t *testing.T) {
			v := newView("n")
			host := v.onHost()
			for _, version := range []int64{1, 2} {
				value, err := json.Marshal(map[string]any{"model": model, "version": version})
				must.NoError(t, err)
				v.state.Apply(follow.Batch{ProvenAt: host.Now(), Records: []follow.Record{{Key: "version/" + model, Value: value}}})
				time.Sleep(time.Second)
			}
			must.True(t, v.mayName(model, 1))
			must.True(t, v.mayName(model, 2))
			host.Suspend(d)
			test.Eq(t, time.Second+d < nameOldFor, v.mayName(model, 1), test.Sprint(d))
			test.Eq(t, time.Second+d < staleNaming, v.mayName(model, 2), test.Sprint(d))
		})
	}
}

// TestSuspendedNodeIsNotCounted: the others remove the entry of a node that is silent for long. One
// that was suspended meanwhile knows that they may have.
func TestSuspendedNodeIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		host := v.onHost()
		v.node.roster.set = func([]peerload.Peer) {}
		value, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
		must.NoError(t, err)
		v.node.roster.Apply(follow.Batch{ProvenAt: host.Now(), Records: []follow.Record{{Key: "n", Value: value}}})
		must.True(t, v.node.roster.Counted())
		for total := time.Duration(0); total < entryProof; total += 30 * time.Second {
			test.True(t, v.node.roster.Counted())
			host.Suspend(30 * time.Second)
		}
		test.False(t, v.node.roster.Counted())
	})
}

// TestSuspendedNodeForgetsLapsedEntries: an endpoint whose entry is missing after an outage is held
// for 1.9 s. A suspension ends the hold with the first read after it.
func TestSuspendedNodeForgetsLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistered()
		host := clocktest.New()
		r.registry.clock = host.Clock
		r.configure(t, 1, engines)
		r.put("e1", entryOf("engines", "ready", models))
		r.Apply(follow.Batch{Snapshot: true, Gap: lapseOutage + 1, Failed: true})
		must.Eq(t, "e1 ", r.ids("engines"))
		host.Suspend(5 * time.Second)
		r.Apply(follow.Batch{})
		test.Eq(t, "", r.ids("engines"))
		time.Sleep(time.Minute) // the doubt's timer ends
	})
}

// TestSuspendedNodeTrustsNoOldLoad: what peers told before the suspension is as old as it.
func TestSuspendedNodeTrustsNoOldLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		host := v.onHost()
		v.node.peers.Table.Take(peerload.Digest{Node: "m", Incarnation: 1, Seq: 1, Leads: true}, host.Now())
		must.True(t, v.node.heard("m"))
		must.True(t, v.node.Led())
		host.Suspend(2 * time.Second)
		test.False(t, v.node.heard("m"))
		host.Suspend(takeoverTime)
		test.False(t, v.node.Led())
	})
}

// TestHealthAfterASuspension: an endpoint that failed before the suspension may be sound again.
func TestHealthAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := clocktest.New()
		var h fleet.Health
		h.Ended(host.Now())
		must.False(t, h.Usable(host.Now()))
		host.Suspend(5 * time.Second)
		test.True(t, h.Usable(host.Now()))
	})
}
