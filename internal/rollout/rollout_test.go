package rollout

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/config/configtest"
	"github.com/cherryward/cherryward/internal/result"
)

func TestPlan(t *testing.T) {
	v := func(version string) Weights { return Weights{"m", version, ""} }
	a := func(version string) Weights { return Weights{"m", version, "a"} }
	held := func(ws ...Weights) (out []enginewire.Loaded) {
		for _, w := range ws {
			out = append(out, enginewire.Loaded{Model: w.Model, Version: w.Version, Adapter: w.Adapter})
		}
		return out
	}
	loading := []enginewire.Loaded{{Model: "m", Version: "v2", Loading: true}}
	want := DesiredState{Targets: []Target{{Model: "m", Version: "v2", Adapters: []string{"a"}, Eligible: []string{"v1", "v2"}}}}
	none := DesiredState{Targets: []Target{{Model: "m", Eligible: []string{"v1"}}}}
	leaving := DesiredState{Leaving: true, Targets: want.Targets}
	for _, c := range []struct {
		name   string
		want   DesiredState
		loaded []enginewire.Loaded
		steps  []Action
	}{
		{"empty", want, nil, []Action{{Load, v("v2")}}},
		{"settled", want, held(v("v2"), a("v2")), nil},
		{"adapter next", want, held(v("v2")), []Action{{Load, a("v2")}}},
		{"replace the bare model first", want, held(a("v1"), v("v1")), []Action{{Replace, v("v1")}}},
		{"replace the adapter next", want, held(a("v1")), []Action{{Replace, a("v1")}}},
		{"extra", want, held(v("v1"), v("v2"), a("v2")), []Action{{Unload, v("v1")}}},
		{"not configured", want, held(v("v0"), v("v2"), a("v2")), []Action{{Unload, v("v0")}}},
		{"loading", want, loading, []Action{{Await, v("v2")}}},
		{"loading beside", want, append(held(v("v1")), loading...), []Action{{Await, v("v2")}}},
		{"withdrawn", none, held(v("v1"), v("v2")), []Action{{Unload, v("v2")}}},
		{"superseded", DesiredState{Targets: []Target{{Model: "m", Version: "v1", Eligible: []string{"v1", "v2"}}}}, loading, []Action{{Unload, v("v2")}, {Load, v("v1")}}},
		{"leaving", leaving, held(v("v0"), v("v1")), []Action{{Unload, v("v0")}}},
		{"other model", DesiredState{}, held(v("v1")), []Action{{Unload, v("v1")}}},
	} {
		must.Eq(t, c.steps, Plan(c.want, c.loaded), must.Sprint(c.name))
	}
}

func TestMinAvailable(t *testing.T) {
	for _, c := range []struct {
		share   float64
		n, want int
	}{{0, 9, 5}, {0.7, 9, 7}, {1, 9, 8}, {0.9, 1, 0}, {0.01, 3, 1}} {
		must.Eq(t, c.want, minAvailable(&pb.Model{RolloutMinAvailable: c.share}, c.n), must.Sprint(c))
	}
}

// versionsOf returns a configuration with a model on v2 and the versions v1 and v2, one of them
// optionally withdrawn.
func versionsOf(withdrawn ...string) *config.View {
	view := config.NewView()
	put := func(kind config.Kind, v config.Value) {
		view = view.With(config.Entry{Revision: view.Applied() + 1, Kind: kind, Name: v.GetName(), Value: v})
	}
	for _, v := range []string{"v1", "v2"} {
		gone := len(withdrawn) > 0 && withdrawn[0] == v
		put(config.KindVersion, &pb.ModelVersion{Name: config.VersionName("m", v), Model: "m", Version: v, Withdrawn: gone})
	}
	put(config.KindModel, &pb.Model{Name: "m", Version: "v2"})
	return view
}

// TestServingVersion checks that, while the share of the configured version grows, a conversation never
// goes back to the old version, never gets a version that no engine holds, and never a withdrawn one.
func TestServingVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		draw := rapid.Float64Range(0, 0.999999).Draw(t, "draw")
		moved := 0
		for n := range engines + 1 {
			holders := []Holders{{Version: "v0", Count: 3}, {Version: "v1", Count: engines - n}, {Version: "v2", Count: n}}
			got, ok := ServingVersion(versionsOf(), "m", holders, draw)
			must.True(t, ok)
			must.True(t, got == "v2" && n > 0 || got == "v1" && n < engines, must.Sprint(got, n))
			must.False(t, got == "v1" && moved > 0, must.Sprint("went back to v1 at", n))
			if got == "v2" {
				moved = n
			}
			got, ok = ServingVersion(versionsOf("v1"), "m", holders, draw)
			must.True(t, ok && got == "v2")
			got, ok = ServingVersion(versionsOf("v2"), "m", holders, draw)
			must.Eq(t, n < engines, ok, must.Sprint(got))
			must.True(t, !ok || got == "v1")
		}
	})
	for _, unknown := range [][]Holders{nil, {{Version: "v0", Count: 1}}} {
		got, ok := ServingVersion(versionsOf(), "m", unknown, 0.5)
		must.True(t, ok && got == "v2")
	}
	next, ok := latestExcept(versionsOf(), "m", []string{"v2"})
	must.True(t, ok && next == "v1")
	_, ok = latestExcept(versionsOf("v1"), "m", []string{"v2"})
	must.False(t, ok)
}

// TestRevertChange checks the change that reverts a rollout, alone and against a concurrent change by an
// operator.
func TestRevertChange(t *testing.T) {
	log := configtest.New()
	sim := &simulation{t: t, config: log}
	for _, v := range []string{"v1", "v2", "v3"} {
		sim.put(&pb.ModelVersion{Name: config.VersionName("m", v), Model: "m", Version: v})
	}
	sim.put(&pb.Model{Name: "m", Version: "v1", MaxContextTokens: 7})
	sim.setVersion("v2")
	sim.put(&pb.ModelVersion{Name: "m@v4", Model: "m", Version: "v4"}) // does not change the model
	seen := log.View()
	f := modelEngines{size: 3}
	f.target, _ = targetOf(seen, "m")
	for i, held := range []Holding{{Version: "v2", Failed: failRuns}, {Version: "v1"}, {Version: "v1"}} {
		f.engines = append(f.engines, Report{Model: "m", Engine: fmt.Sprint(i), Holdings: []Holding{held}})
	}
	must.Eq(t, Failed, f.stage())
	must.Eq(t, []Holders{{Version: "v1", Count: 2, Engines: []string{"1", "2"}}}, f.holders())
	change, ok := revertChange(seen, f)
	must.True(t, ok)
	again, _ := revertChange(seen, f)
	must.Eq(t, change, again)
	for range 2 { // from two nodes
		_, err := log.Propose(t.Context(), change)
		must.NoError(t, err)
	}
	back, _ := log.View().Model("m")
	must.Eq(t, "v1", back.GetVersion())

	sim.setVersion("v2")
	change, ok = revertChange(log.View(), f)
	must.True(t, ok)
	sim.setVersion("v3")
	_, err := log.Propose(t.Context(), change)
	must.True(t, result.Is(err, result.RevisionConflict))
	model, _ := log.View().Model("m")
	must.Eq(t, "v3", model.GetVersion())
	_, ok = revertChange(log.View(), f)
	must.False(t, ok)
}
