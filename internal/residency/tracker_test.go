package residency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/residency"
)

const fetchTime = 1500 * time.Millisecond // duration of the longest fetch

var limits = residency.Limits{
	MaxFreshAge: 2800 * time.Millisecond, MaxFreeTime: 1500 * time.Millisecond,
	ReferenceTime: 9 * time.Second, FreeDelay: 13800 * time.Millisecond,
}

// TestTracker checks when parts of a policy may be referenced and freed, as it comes into force, ends
// and comes into force again.
func TestTracker(t *testing.T) {
	tracker := residency.Tracker{Limits: limits}
	south := residency.Confine("south")
	now := time.Now()
	check := func(after time.Duration, mayReference, outdated bool) {
		t.Helper()
		test.Eq(t, mayReference, tracker.MayReference(south.Key(), now.Add(after)), test.Sprint(after))
		test.Eq(t, outdated, tracker.Outdated(south.Key(), now.Add(after), 0), test.Sprint(after))
	}
	check(time.Hour, false, false) // no configuration yet
	tracker.Update([]string{south.Key()}, now, false)
	check(0, false, false)
	check(limits.MaxFreshAge+limits.MaxFreeTime+1, true, false)
	now = now.Add(time.Minute)
	tracker.Update(nil, now, true)
	check(limits.ReferenceTime-1, true, false)
	check(limits.ReferenceTime, false, false)
	check(limits.FreeDelay+1, false, true)
	test.False(t, tracker.Outdated(south.Key(), now.Add(limits.FreeDelay+1), time.Second), test.Sprint("staggered"))
	now = now.Add(time.Minute)
	tracker.Update([]string{south.Key()}, now, true)
	check(0, false, false)
	check(limits.MaxFreshAge+limits.MaxFreeTime+1, true, false)
	tracker.Update(nil, now, false)
	check(0, false, false) // read late: others may have waited already

	now = now.Add(limits.FreeDelay + 1)
	never := residency.Confine("east").Key()
	test.True(t, tracker.Outdated(never, now, 0), test.Sprint("left by a configuration before this node's start"))
	tracker.Update(nil, now, true)
	test.False(t, tracker.Outdated(never, now, 0), test.Sprint("configurations may have been missed"))
	test.True(t, tracker.MayReference("", now), test.Sprint("not confined"))
	test.False(t, tracker.Outdated("", now.Add(time.Hour), 0))
}

// simulatedNode is a node that reads a configuration that is replaced from time to time.
type simulatedNode struct {
	residency.Tracker
	confirmedAt time.Time
	version     int
	cutOff      bool
}

// read reads the newest configuration.
func (n *simulatedNode) read(version int, policies []residency.Policy, now time.Time) {
	if version != n.version {
		n.Update(residency.KeysOf(policies), now, now.Sub(n.confirmedAt) < limits.MaxFreshAge)
		n.version = version
	}
	n.confirmedAt = now
}

// mayReference is true under the conditions that a node adds to those of the tracker: a configuration
// that is not too old.
func (n *simulatedNode) mayReference(key string, now time.Time) bool {
	return now.Sub(n.confirmedAt) < limits.ReferenceTime+limits.MaxFreshAge && n.MayReference(key, now)
}

// TestReferencedPartsAreNotFreed plays two nodes that read changing configurations, are cut off and
// restart: no part is freed while the other node's fetch of it may last, or within the time that the
// freeing may take.
func TestReferencedPartsAreNotFreed(t *testing.T) {
	const step = 100 * time.Millisecond
	south := residency.Confine("south")
	references, frees := 0, 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.Now()
		nodes := [2]*simulatedNode{{Tracker: residency.Tracker{Limits: limits}}, {Tracker: residency.Tracker{Limits: limits}}}
		version, policies := 1, []residency.Policy{south}
		var referenced, freed [2]time.Time // the last decisions of each node
		for at := time.Duration(0); at < 3*time.Minute; at += step {
			now := start.Add(at)
			if random.IntN(80) == 0 {
				version++
				policies = nil
				if random.IntN(2) == 0 {
					policies = []residency.Policy{south}
				}
			}
			for i, n := range nodes {
				switch random.IntN(150) {
				case 0:
					n.cutOff = !n.cutOff
				case 1:
					nodes[i] = &simulatedNode{Tracker: residency.Tracker{Limits: limits}}
					n = nodes[i]
				}
				if !n.cutOff && random.IntN(5) == 0 {
					n.read(version, policies, now)
				}
				if n.version == 0 {
					continue
				}
				if n.mayReference(south.Key(), now) {
					referenced[i], references = now, references+1
				}
				if now.Sub(n.confirmedAt) < limits.MaxFreshAge && n.Outdated(south.Key(), now, 0) {
					freed[i], frees = now, frees+1
				}
			}
			for i := range nodes {
				other := referenced[1-i]
				must.False(t, !freed[i].IsZero() && freed[i].Equal(now) && !other.IsZero() && now.Sub(other) < fetchTime, must.Sprint(fmt.Sprint("freed during a fetch: seed ", seed, " at ", at)))
				must.False(t, !other.IsZero() && other.Equal(now) && !freed[i].IsZero() && now.Sub(freed[i]) < limits.MaxFreeTime, must.Sprint(fmt.Sprint("referenced while freed: seed ", seed, " at ", at)))
			}
		}
	}
	test.Positive(t, references)
	test.Positive(t, frees)
}
