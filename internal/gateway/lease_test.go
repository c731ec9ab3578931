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

// shares notes which part of the retry budget each node used lately.
type shares struct {
	window time.Duration
	used   map[string][]share
}

type share struct {
	part float64
	at   time.Time
}

// sum returns what all nodes together may have used in the window that ends now, if each used
// all of the largest share that it had.
func (s *shares) sum(nodes map[string]*listedNode) float64 {
	total := 0.0
	for name, n := range nodes {
		part := 0.0
		if n.Counted() {
			part = 1 / float64(n.Nodes())
		}
		s.used[name] = append(s.used[name], share{part: part, at: time.Now()})
		most := 0.0
		for _, u := range s.used[name] {
			if time.Since(u.at) <= s.window {
				most = max(most, u.part)
			}
		}
		total += most
	}
	return total
}

// TestRemovedNodesUseNoShare takes nodes out of touch, frozen or cut off from the store and the
// others at once or one after the other, for times about those at which they are marked and
// removed. All nodes together never use more than the whole budget in a window, and all are
// counted again in the end.
func TestRemovedNodesUseNoShare(t *testing.T) {
	const (
		nodes = 8
		step  = 500 * time.Millisecond
		slack = 1e-9
	)
	removed := 0
	for away := goneAfter - 10*time.Second; away < 2*goneAfter+goneGrace(0); away += 13 * time.Second {
		for _, how := range []struct {
			frozen bool
			cutAt  time.Duration // from the store, after they fell silent
		}{{frozen: true}, {}, {cutAt: goneAfter - 8*time.Second}} {
			t.Run(fmt.Sprint("away for ", away, " ", how), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSystem()
					s.startAll(t, nodes)
					all := s.nodes
					used := &shares{window: 10 * time.Second, used: make(map[string][]share)}
					begun := time.Now()
					for time.Since(begun) < away+goneGrace(0)+3*nodesWait {
						for _, lost := range []string{"n2", "n5"} {
							n := all[lost]
							n.silent = time.Since(begun) < away
							n.frozen = n.silent && how.frozen
							n.cut = n.silent && !how.frozen && time.Since(begun) >= how.cutAt
						}
						test.LessEq(t, 1+slack, used.sum(all), test.Sprint("after ", time.Since(begun)))
						if all["n0"].Nodes() < nodes {
							removed++
						}
						s.run(t, step)
					}
					s.agree(t, nodes)
					for name, n := range all {
						test.True(t, n.Counted(), test.Sprint(name))
					}
				})
			})
		}
	}
	test.Positive(t, removed)
}

// TestRemovedNodeNamesNothing has a node that the others may not count name no parts at stores,
// and free none on promises, though its configuration is current.
func TestRemovedNodeNamesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		v.knows(t, "n", "other")
		v.read(t, 1)
		v.sees(1)
		test.True(t, v.mayName(model, 1))
		own, err := json.Marshal(nodeEntry{Addr: "10.0.0.1:1"})
		must.NoError(t, err)
		tell := func(value []byte) {
			v.node.roster.Apply(follow.Batch{ProvenAt: time.Now(), Records: []follow.Record{{Key: "n", Value: value}}})
			v.read(t)
		}
		tell(nil)
		test.False(t, v.mayName(model, 1), test.Sprint("it was removed"))
		time.Sleep(time.Second)
		tell(own)
		test.False(t, v.mayName(model, 1), test.Sprint("the others may not know of it yet"))
		for range int(goneGrace(0)/nodesWait) + 1 {
			v.node.roster.Apply(follow.Batch{ProvenAt: time.Now()})
			time.Sleep(nodesWait)
		}
		v.read(t)
		test.True(t, v.mayName(model, 1))
		time.Sleep(entryProof)
		v.read(t)
		test.False(t, v.mayName(model, 1), test.Sprint("it may be removed and can't tell"))
		tell(own)
		test.False(t, v.mayName(model, 1), test.Sprint("it may have been removed and can't tell"))
	})
}

// TestOutageEndsNoLease has a node be counted at once after an outage of the store that is
// longer than a proof, as nobody can have removed it.
func TestOutageEndsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		v.knows(t, "n")
		time.Sleep(2 * entryProof)
		test.False(t, v.node.roster.Counted())
		v.node.roster.Apply(follow.Batch{ProvenAt: time.Now()})
		test.True(t, v.node.roster.Counted())
	})
}

// TestNoPartIsFreedThatARemovedNodeNames plays a node that is silent and cut off from the list
// of nodes, the configuration, or both, for random times, until the other node removes it, while
// versions are named and loaded. No part is freed within the longest fetch after it was named.
func TestNoPartIsFreedThatARemovedNodeNames(t *testing.T) {
	early := 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSystem()
			s.startAll(t, 3)
			reader, freer := newView("n2"), newView("n0")
			reader.node.roster, freer.node.roster = s.nodes["n2"].roster, s.nodes["n0"].roster
			early += playRemoved(t, random, s, freer, reader)
		})
	}
	test.Positive(t, early, test.Sprint("times that parts were freed on promises without the removed node's"))
}

// playRemoved plays some minutes and returns how often a part was freed long before time alone
// allows it, while the reader was removed.
func playRemoved(t *testing.T, random *rand.Rand, s *system, freer, reader view) (early int) {
	const (
		step     = 200 * time.Millisecond
		lasts    = 2000 // steps
		versions = 12
	)
	cutFrom, cutFor := random.IntN(400), 500+random.IntN(800)
	configCutFrom, configCutFor := cutFrom+random.IntN(1200), random.IntN(200)
	named := map[int64]time.Time{}
	replaced := map[int64]time.Time{}
	pending := []int64{1}
	newest := int64(1)
	freer.read(t, 1)
	away := s.nodes["n2"]
	away.silent = true
	for i := range lasts {
		away.cut = i >= cutFrom && i < cutFrom+cutFor
		var fresh []int64
		if i%(lasts/versions) == lasts/versions/2 {
			replaced[newest] = time.Now()
			newest++
			fresh = []int64{newest}
			pending = append(pending, newest)
		}
		freer.read(t, fresh...)
		if configCut := i >= configCutFrom && i < configCutFrom+configCutFor; !configCut {
			reader.read(t, pending...)
			pending = nil
			reader.sees(newest)
		}
		freer.sees(newest)
		freer.names()
		freer.hears(namesOf("n1", newest), int64(i+1))
		for v := int64(1); v <= newest; v++ {
			if reader.mayName(model, v) {
				named[v] = time.Now()
			}
			if !freer.Outdated(salt(v)) {
				continue
			}
			test.Greater(t, placer.FetchLimit, time.Since(named[v]), test.Sprint("version ", v, " at step ", i))
			if freer.node.roster.Nodes() == 2 && time.Since(replaced[v]) < freeAfter {
				early++
			}
		}
		s.run(t, step)
	}
	return early
}

// namesOf returns a view that promises to name nothing older than a version.
func namesOf(name string, version int64) view {
	v := newView(name)
	v.named.raise(model, version, time.Now())
	return v
}
