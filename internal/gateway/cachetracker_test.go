package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/placer"
)

const model = "m"

// TestReferencedPartsNotFreed simulates a node that frees parts, and one that reads the store at
// other times, may miss the first of two versions, and may be disconnected. No part may be freed
// within the longest fetch after the reader referenced it.
func TestReferencedPartsNotFreed(t *testing.T) {
	const (
		step  = 100 * time.Millisecond
		steps = 600
		fetch = placer.FetchLimit
		// cutSteps is longer than a node references parts without the store.
		cutSteps = 130
	)
	for cutFrom := 0; cutFrom < 150; cutFrom += 7 {
		t.Run(fmt.Sprint("cut from step ", cutFrom), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				freeingNode, reader := newListedView("freer"), newListedView("reader")
				referenced := map[int64]time.Time{} // when the reader last referenced a version
				pending := map[string][]int64{}
				for i := range steps {
					for version, at := range map[int64]int{2: 30, 3: 70} {
						if i == at {
							pending["freer"] = append(pending["freer"], version)
							pending["reader"] = append(pending["reader"], version)
						}
					}
					if i%9 == 0 {
						freeingNode.readVersions(t, pending["freer"]...)
						pending["freer"] = nil
					}
					if cut := i >= cutFrom && i < cutFrom+cutSteps; !cut && i%13 == 5 {
						reader.readVersions(t, pending["reader"]...)
						pending["reader"] = nil
					}
					for version := range int64(3) {
						if reader.mayReference(model, version+1) {
							referenced[version+1] = time.Now()
						}
						if freeingNode.configFresh() && freeingNode.Outdated(salt(version+1)) {
							test.Greater(t, fetch, time.Since(referenced[version+1]), test.Sprint("version ", version+1, " at step ", i))
						}
					}
					time.Sleep(step)
				}
				test.True(t, freeingNode.Outdated(salt(1)) && freeingNode.Outdated(salt(2)))
				test.False(t, freeingNode.Outdated(salt(3)))
				test.False(t, freeingNode.Outdated("another's salt"))
			})
		})
	}
}

// TestUnreferencedPartsFreedEarly checks that parts of replaced weights are freed once no engine
// has the weights and all nodes' watermarks are above them, long before freeDelay.
func TestUnreferencedPartsFreedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		freeingNode, reader := newListedView("freer"), newListedView("reader")
		freeingNode.setNodes(t, "freer", "reader")
		freeingNode.readVersions(t, 1)
		reader.readVersions(t, 1)
		freeingNode.setEngineVersion(1)
		reader.setEngineVersion(1)
		freeingNode.readVersions(t, 2)
		reader.readVersions(t, 2)
		freeingNode.receiveFrom(reader, 1)
		time.Sleep(3 * time.Second)
		test.True(t, reader.mayReference(model, 1), test.Sprint("an engine still has it"))
		freeingNode.setEngineVersion(2)
		freeingNode.referencedWatermarks()
		time.Sleep(unreferencedDelay + freeSlots*freeSlotInterval)
		test.False(t, freeingNode.Outdated(salt(1)), test.Sprint("the other node may reference it"))
		reader.setEngineVersion(2)
		freeingNode.receiveFrom(reader, 2)
		test.False(t, reader.mayReference(model, 1))
		test.True(t, reader.mayReference(model, 2))
		time.Sleep(placer.FetchLimit)
		test.False(t, freeingNode.Outdated(salt(1)), test.Sprint("a fetch may be in progress"))
		time.Sleep(unreferencedDelay - placer.FetchLimit + freeSlots*freeSlotInterval)
		test.False(t, freeingNode.Outdated(salt(1)), test.Sprint("another node may have joined"))
		freeingNode.confirmNodes(t.Context())
		test.True(t, freeingNode.Outdated(salt(1)))
		test.False(t, freeingNode.Outdated(salt(2)))
		freeingNode.setNodes(t, "freer", "reader", "silent")
		test.False(t, freeingNode.Outdated(salt(1)), test.Sprint("a node without a watermark counts"))
	})
}

// TestPartsNotFreedBeforeWatermark simulates engines that load at random times, and a reader whose
// messages arrive at random times. No part may be freed within the longest fetch after it was
// referenced.
func TestPartsNotFreedBeforeWatermark(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			freeingNode, reader := newListedView("freer"), newListedView("reader")
			freeingNode.setNodes(t, "freer", "reader")
			freeingNode.readVersions(t, 1)
			reader.readVersions(t, 1)
			loaded := [3]int{0, 30 + random.IntN(60), 90 + random.IntN(90)}
			referenced := map[int64]time.Time{}
			for i := range 300 {
				if i == 20 || i == 60 {
					version := int64(2 + i/60)
					freeingNode.readVersions(t, version)
					reader.readVersions(t, version)
				} else if random.IntN(8) == 0 {
					freeingNode.readVersions(t)
					reader.readVersions(t)
				}
				for v, at := range loaded {
					if i == at+random.IntN(4) {
						reader.setEngineVersion(int64(v + 1))
					}
					if i == at {
						freeingNode.setEngineVersion(int64(v + 1))
					}
				}
				freeingNode.referencedWatermarks()
				freeingNode.confirmNodes(t.Context())
				for version := int64(1); version <= 3; version++ {
					if reader.mayReference(model, version) {
						referenced[version] = time.Now()
					}
				}
				if random.IntN(3) == 0 {
					freeingNode.receiveFrom(reader, int64(i+1))
				}
				for version := int64(1); version <= 3; version++ {
					if freeingNode.Outdated(salt(version)) {
						test.Greater(t, placer.FetchLimit, time.Since(referenced[version]), test.Sprint("seed ", seed, " version ", version, " at step ", i))
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// TestPartsNotFreedBeforeWatermarkLargeSystem is the same with nodes whose watermarks reach the
// freeing node through the representative of their failure domain, with messages at random times.
// Parts must be freed within some seconds after the last engine has loaded.
func TestPartsNotFreedBeforeWatermarkLargeSystem(t *testing.T) {
	const maxSteps = 80 // maximum number of steps until a node has read that the last engine has loaded
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			freeingNode, others := newLargeViews(t)
			all := append([]view{freeingNode}, others...)
			for _, v := range all {
				v.readVersions(t, 1)
				v.setEngineVersion(1)
			}
			loaded := 22 + random.IntN(20)
			seen := make([]int, len(all)) // step at which each node reads that the last engine has loaded
			for i := range seen {
				seen[i] = loaded + random.IntN(maxSteps)
			}
			var referenced, freed time.Time
			started := time.Now()
			for i := range 200 {
				for j, v := range all {
					switch {
					case i == 20:
						v.readVersions(t, 2)
					case random.IntN(8) == 0:
						v.readVersions(t)
					}
					if i == seen[j] {
						v.setEngineVersion(2)
					}
				}
				freeingNode.referencedWatermarks()
				freeingNode.confirmNodes(t.Context())
				for _, v := range all {
					if v.mayReference(model, 1) {
						referenced = time.Now()
					}
				}
				for _, v := range others[1:] {
					if random.IntN(3) == 0 {
						others[0].receiveFrom(v, int64(i+1))
					}
				}
				if random.IntN(3) == 0 {
					freeingNode.receiveDomain(others[0], int64(i+1))
				}
				if freeingNode.Outdated(salt(1)) {
					test.Greater(t, placer.FetchLimit, time.Since(referenced), test.Sprint("seed ", seed, " at step ", i))
					if freed.IsZero() {
						freed = time.Now()
					}
				}
				test.False(t, freeingNode.Outdated(salt(2)))
				time.Sleep(100 * time.Millisecond)
			}
			must.False(t, freed.IsZero())
			test.Less(t, time.Duration(loaded+maxSteps)*100*time.Millisecond+unreferencedDelay+freeingNode.freeStagger()+4*time.Second, freed.Sub(started))
		})
	}
}

// TestStaleNodeReferencesNothing checks that a disconnected node does not reference parts that
// others may free.
func TestStaleNodeReferencesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newListedView("n")
		v.readVersions(t, 1)
		test.True(t, v.mayReference(model, 1))
		time.Sleep(maxReferenceConfigAge)
		test.False(t, v.mayReference(model, 1))
		v.readVersions(t, 2)
		test.False(t, v.mayReference(model, 1), test.Sprint("the time of the replacement is unknown"))
		test.True(t, v.mayReference(model, 2))
	})
}

// TestConfigVersionNeverDecreases checks that the newest valid configuration is kept.
func TestConfigVersionNeverDecreases(t *testing.T) {
	s := newState(noBounds, zerolog.Nop())
	apply := func(value string) {
		s.Apply(follow.Batch{ConfirmedAt: time.Now(), Records: []follow.Record{{Key: "config", Value: []byte(value)}}})
	}
	config, _ := s.Config()
	test.Nil(t, config)
	for _, value := range []string{`{"version":7}`, `{"version":3}`, `{`, `{"version":"x"}`} {
		apply(value)
		config, _ = s.Config()
		must.NotNil(t, config)
		test.Eq(t, 7, config.Version)
	}
	test.Eq(t, 2, s.rejected.Load())
}

func testBoot(t *testing.T) *bootstrap.Node {
	t.Helper()
	return &bootstrap.Node{Name: "n", Bounds: bootstrap.Bounds{RevokeLimit: 5 * time.Second}}
}

// TestStandbysFreeFirst checks that in a large system only the standbys free parts at first, and
// the other nodes if none of them did.
func TestStandbysFreeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := 0
		views := make([]view, 0, 85)
		for i := range 85 {
			v := newListedView(fmt.Sprint("n", i))
			v.node.roster, _ = rosterWith(t, fmt.Sprint("n", i), 85)
			v.readVersions(t, 1, 2)
			views = append(views, v)
		}
		time.Sleep(freeDelay + freeSlots*freeSlotInterval)
		for _, v := range views {
			if v.Outdated(salt(1)) {
				early++
			}
		}
		test.Eq(t, orderStandbys, early)
		time.Sleep(nonStandbyFreeDelay)
		for _, v := range views {
			test.True(t, v.Outdated(salt(1)))
		}
	})
}
