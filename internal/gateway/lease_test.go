package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/placer"
)

// shares records the share of the retry budget that each node may use over time.
type shares struct {
	window time.Duration
	used   map[string][]share
}

type share struct {
	fraction float64
	at       time.Time
}

// sum records the present share of each node and returns the part of the budget that all nodes
// together may have used in the window that ends now, if each used the largest share it had in that
// window.
func (s *shares) sum(nodes map[string]*simNode) float64 {
	total := 0.0
	for name, n := range nodes {
		fraction := 0.0
		if n.HoldsLease() {
			fraction = 1 / float64(n.Nodes())
		}
		s.used[name] = append(s.used[name], share{fraction: fraction, at: time.Now()})
		largest := 0.0
		for _, u := range s.used[name] {
			if time.Since(u.at) <= s.window {
				largest = max(largest, u.fraction)
			}
		}
		total += largest
	}
	return total
}

// TestRemovedNodesKeepRetryBudget freezes nodes or disconnects them from the store and the others,
// together or one after the other, for durations around those at which they are marked and removed.
// All nodes together must never use more than the whole budget in a window, and in the end all
// nodes must be counted again.
func TestRemovedNodesKeepRetryBudget(t *testing.T) {
	const (
		nodes = 8
		step  = 500 * time.Millisecond
		slack = 1e-9
	)
	removed := 0
	for away := silenceTimeout - 10*time.Second; away < 2*silenceTimeout+removalGrace(0); away += 13 * time.Second {
		for _, how := range []struct {
			frozen bool
			cutAt  time.Duration // disconnection from the store, after the messages ceased
		}{{frozen: true}, {}, {cutAt: silenceTimeout - 8*time.Second}} {
			t.Run(fmt.Sprint("away for ", away, " ", how), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newCluster()
					s.startAll(t, nodes)
					all := s.nodes
					used := &shares{window: 10 * time.Second, used: make(map[string][]share)}
					started := time.Now()
					for time.Since(started) < away+removalGrace(0)+3*nodesWait {
						for _, lost := range []string{"n2", "n5"} {
							n := all[lost]
							n.silent = time.Since(started) < away
							n.frozen = n.silent && how.frozen
							n.disconnected = n.silent && !how.frozen && time.Since(started) >= how.cutAt
						}
						test.LessEq(t, 1+slack, used.sum(all), test.Sprint("after ", time.Since(started)))
						if all["n0"].Nodes() < nodes {
							removed++
						}
						s.run(t, step)
					}
					s.requireCount(t, nodes)
					for name, n := range all {
						test.True(t, n.HoldsLease(), test.Sprint(name))
					}
				})
			})
		}
	}
	test.Positive(t, removed)
}

// TestRemovedNodeReferencesNothing checks that a node that the others may not count references no
// parts at stores, even if its configuration is current.
func TestRemovedNodeReferencesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		v.setNodes(t, "n", "other")
		v.readVersions(t, 1)
		v.setEngineVersion(1)
		test.True(t, v.mayReference(model, 1))
		own, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
		must.NoError(t, err)
		applyEntry := func(value []byte) {
			v.node.roster.Apply(follow.Batch{ConfirmedAt: time.Now(), Records: []follow.Record{{Key: "n", Value: value}}})
			v.readVersions(t)
		}
		applyEntry(nil)
		test.False(t, v.mayReference(model, 1), test.Sprint("the entry was removed"))
		time.Sleep(time.Second)
		applyEntry(own)
		test.False(t, v.mayReference(model, 1), test.Sprint("the others may not have read the entry yet"))
		for range int(removalGrace(0)/nodesWait) + 1 {
			v.node.roster.Apply(follow.Batch{ConfirmedAt: time.Now()})
			time.Sleep(nodesWait)
		}
		v.readVersions(t)
		test.True(t, v.mayReference(model, 1))
		time.Sleep(leaseDuration)
		v.readVersions(t)
		test.False(t, v.mayReference(model, 1), test.Sprint("the entry may have been removed, without a read that shows it"))
		applyEntry(own)
		test.False(t, v.mayReference(model, 1), test.Sprint("the entry may have been removed and written again"))
	})
}

// TestLeaseResumesAfterOutage checks that a node is counted at once after a store outage that is
// longer than the lease, since no other node can have removed its entry.
func TestLeaseResumesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		v.setNodes(t, "n")
		time.Sleep(2 * leaseDuration)
		test.False(t, v.node.roster.HoldsLease())
		v.node.roster.Apply(follow.Batch{ConfirmedAt: time.Now()})
		test.True(t, v.node.roster.HoldsLease())
	})
}

// TestPartsOfRemovedNodeNotFreed simulates a node that sends no messages and is disconnected from
// the list of nodes, the configuration, or both, for random times, until another node removes it,
// while versions are announced and loaded. No part may be freed within the longest fetch after it
// was referenced.
func TestPartsOfRemovedNodeNotFreed(t *testing.T) {
	early := 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newCluster()
			s.startAll(t, 3)
			reader, freeingNode := newView("n2"), newView("n0")
			reader.node.roster, freeingNode.node.roster = s.nodes["n2"].roster, s.nodes["n0"].roster
			early += simulateRemovedNode(t, random, s, freeingNode, reader)
		})
	}
	test.Positive(t, early, test.Sprint("times that parts were freed early without the removed node's watermark"))
}

// simulateRemovedNode simulates some minutes and returns how often a part was freed before
// freeDelay while the reader was removed.
func simulateRemovedNode(t *testing.T, random *rand.Rand, s *cluster, freeingNode, reader view) (early int) {
	const (
		step     = 200 * time.Millisecond
		steps    = 2000
		versions = 12
	)
	cutFrom, cutFor := random.IntN(400), 500+random.IntN(800)
	configCutFrom, configCutFor := cutFrom+random.IntN(1200), random.IntN(200)
	referenced := map[int64]time.Time{}
	replaced := map[int64]time.Time{}
	pending := []int64{1}
	newest := int64(1)
	freeingNode.readVersions(t, 1)
	away := s.nodes["n2"]
	away.silent = true
	for i := range steps {
		away.disconnected = i >= cutFrom && i < cutFrom+cutFor
		var fresh []int64
		if i%(steps/versions) == steps/versions/2 {
			replaced[newest] = time.Now()
			newest++
			fresh = []int64{newest}
			pending = append(pending, newest)
		}
		freeingNode.readVersions(t, fresh...)
		if configCut := i >= configCutFrom && i < configCutFrom+configCutFor; !configCut {
			reader.readVersions(t, pending...)
			pending = nil
			reader.setEngineVersion(newest)
		}
		freeingNode.setEngineVersion(newest)
		freeingNode.referencedWatermarks()
		freeingNode.confirmNodes(t.Context())
		freeingNode.receiveFrom(viewReferencing("n1", newest), int64(i+1))
		for v := int64(1); v <= newest; v++ {
			if reader.mayReference(model, v) {
				referenced[v] = time.Now()
			}
			if !freeingNode.Outdated(salt(v)) {
				continue
			}
			test.Greater(t, placer.FetchLimit, time.Since(referenced[v]), test.Sprint("version ", v, " at step ", i))
			if freeingNode.node.roster.Nodes() == 2 && time.Since(replaced[v]) < freeDelay {
				early++
			}
		}
		s.run(t, step)
	}
	return early
}

// viewReferencing returns a view whose watermark is at a version.
func viewReferencing(name string, version int64) view {
	v := newView(name)
	v.watermarks.raise(model, version, time.Now())
	return v
}
