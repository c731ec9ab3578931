package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/placer"
)

const model = "m"

// view is what one node knows of versions.
type view struct {
	*keeping
	state *state
}

func newView(name string) view {
	n := &Node{state: newState(zerolog.Nop())}
	n.boot.Store(&bootstrap.Node{Name: name})
	n.roster = newRoster(name, nodeEntry{}, nil, nil, nil, zerolog.Nop())
	return view{keeping: &keeping{node: n}, state: n.state}
}

// read takes the versions named since the last read, as a read that was sent now.
func (v view) read(t *testing.T, versions ...int64) {
	t.Helper()
	batch := follow.Batch{ProvenAt: time.Now()}
	for _, version := range versions {
		value, err := json.Marshal(map[string]any{"model": model, "version": version})
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: "version/" + model, Value: value})
	}
	v.state.Apply(batch)
}

func salt(version int64) string { return kept.Salt{Model: model, Version: version}.String() }

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
	s := newState(zerolog.Nop())
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
