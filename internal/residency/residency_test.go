package residency_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/residency"
)

// names are regions whose names contain the characters that keys escape.
var names = []string{"north", "south", "a,b", "a", "b", "x/y", "%2C", "ü"}

func TestConfine(t *testing.T) {
	p := residency.Confine("south", "north", "south")
	test.True(t, p.Confined())
	test.Eq(t, []string{"north", "south"}, p.Regions())
	test.True(t, p == residency.Confine("north", "south"))
	test.NotEq(t, residency.Confine("a,b").Key(), residency.Confine("a", "b").Key())
	var all residency.Policy
	test.False(t, all.Confined())
	test.Eq(t, "", all.Key())
	test.SliceEmpty(t, all.Regions())
}

// TestIntersection checks that an intersection allows exactly the failure domains that both policies
// allow, whatever the names are.
func TestIntersection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (residency.Policy, []string) {
			if rapid.Bool().Draw(t, label+" is free") {
				return residency.Policy{}, names
			}
			regions := rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, label)
			return residency.Confine(regions...), regions
		}
		a, inA := draw("a")
		b, inB := draw("b")
		regions := residency.Map{"nowhere": ""}
		for _, name := range names {
			regions["in "+name] = name
		}
		both := a.Intersect(b)
		if both != b.Intersect(a) {
			t.Fatalf("%v is not %v", both, b.Intersect(a))
		}
		scope := regions.Scope(both)
		for _, name := range names {
			if want := slices.Contains(inA, name) && slices.Contains(inB, name); scope.Contains("in "+name) != want {
				t.Fatalf("%v contains %q: %v", both.Regions(), name, !want)
			}
		}
		if scope.Confined() == (scope.Contains("nowhere") && scope.Contains("unlisted")) {
			t.Fatal("a confined scope must not contain domains of unknown regions")
		}
	})
}

func TestMap(t *testing.T) {
	regions := residency.Map{"n1": "north", "n2": "north", "s1": "south"}
	for _, tc := range []struct {
		a, b string
		same bool
	}{{"n1", "n1", true}, {"n1", "n2", true}, {"n1", "s1", false}, {"n1", "unknown", true}, {"unknown", "unknown", true}} {
		test.Eq(t, tc.same, regions.SameRegion(tc.a, tc.b), test.Sprint(tc.a, tc.b))
	}
	test.Eq(t, []string{"east"}, regions.Unknown(residency.Confine("south", "east")))
	test.SliceEmpty(t, regions.Unknown(residency.Policy{}))
	test.False(t, residency.Map(nil).Scope(residency.Confine("north")).Contains("n1"))
}
