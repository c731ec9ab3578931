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

// TestNoPartIsFreedWhileItIsNamed plays a node that frees, and one that reads the
// store at other times, may miss the first of two versions, and may be cut off. No
// part is freed within the longest fetch after the reader named it.
func TestNoPartIsFreedWhileItIsNamed(t *testing.T) {
	const (
		step  = 100 * time.Millisecond
		steps = 600
		fetch = placer.FetchLimit
		// cutSteps is longer than a node names parts without the store.
		cutSteps = 130
	)
	for cutFrom := 0; cutFrom < 150; cutFrom += 7 {
		t.Run(fmt.Sprint("cut from step ", cutFrom), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				freer, reader := newView("freer"), newView("reader")
				named := map[int64]time.Time{} // when the reader last named a version
				pending := map[string][]int64{}
				for i := range steps {
					for version, at := range map[int64]int{2: 30, 3: 70} {
						if i == at {
							pending["freer"] = append(pending["freer"], version)
							pending["reader"] = append(pending["reader"], version)
						}
					}
					if i%9 == 0 {
						freer.read(t, pending["freer"]...)
						pending["freer"] = nil
					}
					if cut := i >= cutFrom && i < cutFrom+cutSteps; !cut && i%13 == 5 {
						reader.read(t, pending["reader"]...)
						pending["reader"] = nil
					}
					for version := range int64(3) {
						if reader.mayName(model, version+1) {
							named[version+1] = time.Now()
						}
						if freer.fresh() && freer.Outdated(salt(version+1)) {
							test.Greater(t, fetch, time.Since(named[version+1]), test.Sprint("version ", version+1, " at step ", i))
						}
					}
					time.Sleep(step)
				}
				test.True(t, freer.Outdated(salt(1)) && freer.Outdated(salt(2)))
				test.False(t, freer.Outdated(salt(3)))
				test.False(t, freer.Outdated("another's salt"))
			})
		})
	}
}

// TestPromisedPartsAreFreedSooner frees parts of replaced weights once no engine has them and
// all nodes have said so, long before time alone would allow it.
func TestPromisedPartsAreFreedSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		freer, reader := newView("freer"), newView("reader")
		freer.knows(t, "freer", "reader")
		freer.read(t, 1)
		reader.read(t, 1)
		freer.sees(1)
		reader.sees(1)
		freer.read(t, 2)
		reader.read(t, 2)
		freer.hears(reader, 1)
		time.Sleep(3 * time.Second)
		test.True(t, reader.mayName(model, 1), test.Sprint("an engine has it yet"))
		freer.sees(2)
		freer.names()
		time.Sleep(unnamedFor + freeRanks*freeSpread)
		test.False(t, freer.Outdated(salt(1)), test.Sprint("the other node may name it"))
		reader.sees(2)
		freer.hears(reader, 2)
		test.False(t, reader.mayName(model, 1))
		test.True(t, reader.mayName(model, 2))
		time.Sleep(placer.FetchLimit)
		test.False(t, freer.Outdated(salt(1)), test.Sprint("a fetch may be under way"))
		time.Sleep(unnamedFor - placer.FetchLimit + freeRanks*freeSpread)
		test.True(t, freer.Outdated(salt(1)))
		test.False(t, freer.Outdated(salt(2)))
		freer.knows(t, "freer", "reader", "silent")
		test.False(t, freer.Outdated(salt(1)), test.Sprint("a node that said nothing counts"))
	})
}

// TestNoPartIsFreedBeforeItsPromise plays engines that load at random times, and a reader that
// is heard at random times. No part is freed within the longest fetch after it was named.
func TestNoPartIsFreedBeforeItsPromise(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			freer, reader := newView("freer"), newView("reader")
			freer.knows(t, "freer", "reader")
			freer.read(t, 1)
			reader.read(t, 1)
			loaded := [3]int{0, 30 + random.IntN(60), 90 + random.IntN(90)}
			named := map[int64]time.Time{}
			for i := range 300 {
				if i == 20 || i == 60 {
					version := int64(2 + i/60)
					freer.read(t, version)
					reader.read(t, version)
				} else if random.IntN(8) == 0 {
					freer.read(t)
					reader.read(t)
				}
				for v, at := range loaded {
					if i == at+random.IntN(4) {
						reader.sees(int64(v + 1))
					}
					if i == at {
						freer.sees(int64(v + 1))
					}
				}
				freer.names()
				for version := int64(1); version <= 3; version++ {
					if reader.mayName(model, version) {
						named[version] = time.Now()
					}
				}
				if random.IntN(3) == 0 {
					freer.hears(reader, int64(i+1))
				}
				for version := int64(1); version <= 3; version++ {
					if freer.Outdated(salt(version)) {
						test.Greater(t, placer.FetchLimit, time.Since(named[version]), test.Sprint("seed ", seed, " version ", version, " at step ", i))
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// TestNoPartIsFreedBeforeItsPromiseInALargeSystem plays the same with nodes of which the freer
// hears by the speaker of their failure domain, who hears them, and is heard, at random times. It
// frees within some seconds after the last engine has loaded.
func TestNoPartIsFreedBeforeItsPromiseInALargeSystem(t *testing.T) {
	const seenLate = 80 // steps after which all nodes know that the last engine has loaded
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			freer, others := newLargeViews(t)
			all := append([]view{freer}, others...)
			for _, v := range all {
				v.read(t, 1)
				v.sees(1)
			}
			loaded := 22 + random.IntN(20)
			seen := make([]int, len(all)) // when each node knows that the last engine has loaded
			for i := range seen {
				seen[i] = loaded + random.IntN(seenLate)
			}
			var named, freed time.Time
			begun := time.Now()
			for i := range 200 {
				for j, v := range all {
					switch {
					case i == 20:
						v.read(t, 2)
					case random.IntN(8) == 0:
						v.read(t)
					}
					if i == seen[j] {
						v.sees(2)
					}
				}
				freer.names()
				for _, v := range all {
					if v.mayName(model, 1) {
						named = time.Now()
					}
				}
				for _, v := range others[1:] {
					if random.IntN(3) == 0 {
						others[0].hears(v, int64(i+1))
					}
				}
				if random.IntN(3) == 0 {
					freer.hearsDomain(others[0], int64(i+1))
				}
				if freer.Outdated(salt(1)) {
					test.Greater(t, placer.FetchLimit, time.Since(named), test.Sprint("seed ", seed, " at step ", i))
					if freed.IsZero() {
						freed = time.Now()
					}
				}
				test.False(t, freer.Outdated(salt(2)))
				time.Sleep(100 * time.Millisecond)
			}
			must.False(t, freed.IsZero())
			test.Less(t, time.Duration(loaded+seenLate)*100*time.Millisecond+unnamedFor+freer.turn()+4*time.Second, freed.Sub(begun))
		})
	}
}

// TestStaleNodeNamesNothing keeps a node that is cut off from naming parts that
// others may free.
func TestStaleNodeNamesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView("n")
		v.read(t, 1)
		test.True(t, v.mayName(model, 1))
		time.Sleep(staleNaming)
		test.False(t, v.mayName(model, 1))
		v.read(t, 2)
		test.False(t, v.mayName(model, 1), test.Sprint("it can't tell for how long it was replaced"))
		test.True(t, v.mayName(model, 2))
	})
}

// TestConfigNeverFalls keeps the newest version, and the last good one.
func TestConfigNeverFalls(t *testing.T) {
	s := newState(noBounds, zerolog.Nop())
	apply := func(value string) {
		s.Apply(follow.Batch{ProvenAt: time.Now(), Records: []follow.Record{{Key: "config", Value: []byte(value)}}})
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

func bootOf(t *testing.T) *bootstrap.Node {
	t.Helper()
	return &bootstrap.Node{Name: "n", Bounds: bootstrap.Bounds{Revoke: 5 * time.Second}}
}

// TestFewFree has few nodes of a large system free parts, and the others where none of
// these did.
func TestFewFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := 0
		views := make([]view, 0, 85)
		for i := range 85 {
			v := newView(fmt.Sprint("n", i))
			v.node.roster, _ = rosterOf(t, fmt.Sprint("n", i), 85)
			v.read(t, 1, 2)
			views = append(views, v)
		}
		time.Sleep(freeAfter + freeRanks*freeSpread)
		for _, v := range views {
			if v.Outdated(salt(1)) {
				early++
			}
		}
		test.Eq(t, standbys, early)
		time.Sleep(freeOthers)
		for _, v := range views {
			test.True(t, v.Outdated(salt(1)))
		}
	})
}
