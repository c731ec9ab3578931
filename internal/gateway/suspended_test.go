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

// suspensions are the durations of suspension with which the tests run.
var suspensions = []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second}

// useHostClock makes a view use the clock of a simulated host, and returns the host.
func (v view) useHostClock() *clocktest.Host {
	h := clocktest.New()
	v.node.clock, v.state.clock, v.node.roster.clock = h.Clock, h.Clock, h.Clock
	return h
}

// TestConfigAgeCountsSuspension checks that the configuration's age includes a suspension, which
// the monotonic clock does not count: keys that were revoked meanwhile must not be accepted.
func TestConfigAgeCountsSuspension(t *testing.T) {
	for _, d := range suspensions {
		synctest.Test(t, func(t *testing.T) {
			v := newView("n")
			host := v.useHostClock()
			v.state.Apply(follow.Batch{ConfirmedAt: host.Now()})
			time.Sleep(time.Second)
			host.Suspend(d)
			_, age := v.state.Config()
			test.Eq(t, time.Second+d, age)
			test.Eq(t, time.Second+d < maxFreshConfigAge, v.configFresh())
		})
	}
}

// TestReferencesExpireDuringSuspension checks that parts of replaced weights are referenced for 9 s
// after the node read the replacement, and those of the wanted version with a configuration of up
// to 11.8 s, suspension included. Other nodes free them after that.
func TestReferencesExpireDuringSuspension(t *testing.T) {
	for _, d := range suspensions {
		synctest.Test(t, func(t *testing.T) {
			v := newListedView("n")
			host := v.useHostClock()
			for _, version := range []int64{1, 2} {
				value, err := json.Marshal(map[string]any{"model": model, "version": version})
				must.NoError(t, err)
				v.state.Apply(follow.Batch{ConfirmedAt: host.Now(), Records: []follow.Record{{Key: "version/" + model, Value: value}}})
				time.Sleep(time.Second)
			}
			must.True(t, v.mayReference(model, 1))
			must.True(t, v.mayReference(model, 2))
			host.Suspend(d)
			test.Eq(t, time.Second+d < replacedReferenceTime, v.mayReference(model, 1), test.Sprint(d))
			test.Eq(t, time.Second+d < maxReferenceConfigAge, v.mayReference(model, 2), test.Sprint(d))
		})
	}
}

// TestLeaseExpiresDuringSuspension checks that the lease of a suspended node expires: other nodes
// may remove its entry meanwhile.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		host := v.useHostClock()
		v.node.roster.setPeers = func([]peerload.Peer) {}
		value, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
		must.NoError(t, err)
		v.node.roster.Apply(follow.Batch{ConfirmedAt: host.Now(), Records: []follow.Record{{Key: "n", Value: value}}})
		must.True(t, v.node.roster.HoldsLease())
		for total := time.Duration(0); total < leaseDuration; total += 30 * time.Second {
			test.True(t, v.node.roster.HoldsLease())
			host.Suspend(30 * time.Second)
		}
		test.False(t, v.node.roster.HoldsLease())
	})
}

// TestExpiryHoldEndsAfterSuspension checks that the hold of 1.9 s on an endpoint whose entry is
// missing after an outage ends with the first read after a suspension.
func TestExpiryHoldEndsAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistryFixture()
		host := clocktest.New()
		r.registry.clock = host.Clock
		r.configure(t, 1, engines)
		r.put("e1", entryOf("engines", "ready", models))
		r.Apply(follow.Batch{Snapshot: true, Gap: minExpiryOutage + 1, Failed: true})
		must.Eq(t, "e1 ", r.ids("engines"))
		host.Suspend(5 * time.Second)
		r.Apply(follow.Batch{})
		test.Eq(t, "", r.ids("engines"))
		time.Sleep(time.Minute) // lets the timer of the hold fire
	})
}

// TestPeerReportsExpireDuringSuspension checks that the age of peers' messages includes a
// suspension.
func TestPeerReportsExpireDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		host := v.useHostClock()
		v.node.peers.Table.Record(peerload.Digest{Node: "m", Incarnation: 1, Seq: 1, Leads: true}, host.Now())
		must.True(t, v.node.peerAlive("m"))
		must.True(t, v.node.Led())
		host.Suspend(2 * time.Second)
		test.False(t, v.node.peerAlive("m"))
		host.Suspend(takeoverDelay)
		test.False(t, v.node.Led())
	})
}

// TestHealthAfterSuspension checks that an endpoint that failed before a suspension is tried again
// after it.
func TestHealthAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := clocktest.New()
		var h fleet.Health
		h.RecordEnd(host.Now())
		must.False(t, h.Usable(host.Now()))
		host.Suspend(5 * time.Second)
		test.True(t, h.Usable(host.Now()))
	})
}
