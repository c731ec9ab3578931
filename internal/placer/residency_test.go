package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/residency"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
)

// inland and coast are the regions of the failure domains north and east.
var twoRegions = residency.Map{"north": "inland", "east": "coast"}

func confined(q *forward.Query, regions ...string) *forward.Query {
	q.Residency = residency.Confine(regions...)
	return q
}

// TestConfinedRequestsStayInTheirRegions checks that a confined request is sent to endpoints of its
// regions only, first attempts and retries alike, even where these fail and another region's endpoint
// holds its parts.
func TestConfinedRequestsStayInTheirRegions(t *testing.T) {
	fx := newFixture(t, fakeEvents{addr(2): shared(1, "")}, 1, 1, 1)
	fx.setDomains("north", "north", "east")
	fx.Regions = twoRegions
	plain := &forward.Query{Route: &routing.Route{}, Service: &routing.Service{Name: "s"}, Attributes: &forward.Attributes{}}
	for _, fullMesh := range []bool{true, false} {
		fx.FullMesh = func() bool { return fullMesh }
		for _, q := range []*forward.Query{confined(query(), "inland"), confined(plain, "inland")} {
			for _, tried := range [][]string{nil, {"e0"}, {"e0", "e1"}} {
				q.Tried = tried
				p, ok := fx.Place(q)
				must.Eq(t, len(tried) < 2, ok)
				if ok {
					test.NotEq(t, "e2", p.Member.ID)
					test.SliceNotContains(t, p.Attempt.Sources, addr(2))
				}
			}
			q.Tried = nil
			for _, m := range fx.Fleet.Members("s") {
				m.Health.RecordFailure(time.Now(), m.ID != "e2")
			}
			p, ok := fx.Place(q)
			must.True(t, ok)
			test.NotEq(t, "e2", p.Member.ID, test.Sprint("the only endpoint that does not fail"))
		}
	}
}

// TestNodeOutsideForwards checks that a node sends a confined request to endpoints of a region other
// than its own, with few engines there and many here.
func TestNodeOutsideForwards(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1, 1, 1, 1)
	fx.setDomains("north", "north", "north", "north", "north", "east")
	fx.Regions = twoRegions
	for _, fullMesh := range []bool{true, false} {
		fx.FullMesh = func() bool { return fullMesh }
		p, ok := fx.Place(confined(query(), "coast"))
		must.True(t, ok)
		test.Eq(t, "e5", p.Member.ID)
	}
}

// TestNoEndpointInRegion checks that a request without an endpoint in its regions is refused at once,
// with its own code and a time to come back.
func TestNoEndpointInRegion(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	fx.setDomains("north", "north", "unlisted")
	fx.Regions = twoRegions
	for _, regions := range [][]string{{"coast"}, {"nowhere"}, {}} {
		p, ok := fx.Place(confined(query(), regions...))
		must.False(t, ok)
		test.Zero(t, p.RetryDelay(time.Hour))
		test.Eq(t, "region", p.Reason)
		test.Eq(t, result.NoEndpointInRegion, p.RefusalCode)
		test.Positive(t, p.OnRefusal())
	}
}

// TestConfinedPartsAreSeparate checks that a confined prompt uses no parts of others, saves its parts
// in its regions only, and fetches them from there.
func TestConfinedPartsAreSeparate(t *testing.T) {
	const coastStore = "10.9.0.2:1"
	saltOfConfined := kvindex.Salt{Model: model, Version: 1, Residency: residency.Confine("inland").Key()}.String()
	fx := newFixture(t, fakeEvents{store: shared(1, ""), addr(0): shared(1, "")}, 1, 1)
	fx.Regions = twoRegions
	q := confined(query(), "inland")
	p, ok := fx.Place(q)
	must.True(t, ok)
	test.Eq(t, saltOfConfined, p.Attempt.Salt)
	test.Nil(t, p.Attempt.Sources)
	test.Zero(t, p.Cached)

	other := kvindex.NewHolder(coastStore, coastStore, "east")
	other.Tokens = 1_000_000_000
	fx.KVIndex.Replace(nil, []*kvindex.Holder{other})
	p, ok = fx.Place(q)
	must.True(t, ok)
	test.Nil(t, p.Attempt.Targets, test.Sprint("the only store is outside"))
	q.Residency = residency.Policy{}
	p, ok = fx.Place(q)
	must.True(t, ok)
	test.Eq(t, []string{coastStore, coastStore, ""}, p.Attempt.Targets)
}

// TestPartsInOtherRegionAreReadAgain checks that a large part is fetched from a store of this region,
// and read rather than fetched from one in another region, whose transfer would take too long.
func TestPartsInOtherRegionAreReadAgain(t *testing.T) {
	for domain, want := range map[string]bool{"north": true, "east": false} {
		fx := newFixture(t, fakeEvents{store: shared(1, "")}, 1)
		keep := fx.KVIndex.Stores()[0]
		keep.Domain, keep.Mbps = domain, 20_000
		fx.Regions = twoRegions
		p, ok := fx.Place(query())
		must.True(t, ok)
		test.Eq(t, want, p.Fetched >= 9000, test.Sprint(domain))
	}
}

// TestPromptsStayInTheRegion checks that prompts move within the region as between any failure
// domains, and to another region only where this one is far busier: answers from there arrive later,
// and all traffic between regions shares one link.
func TestPromptsStayInTheRegion(t *testing.T) {
	for _, tc := range []struct {
		north, south, west int // occupied slots of each engine; west is another region
		minSouth, maxSouth int // of 100 prompts
		minWest, maxWest   int
	}{
		{6, 6, 3, 0, 0, 0, 0},
		{12, 6, 6, 30, 70, 0, 0},
		{9, 9, 6, 0, 0, 0, 0},
		{24, 24, 6, 0, 0, 30, 70},
		{60, 12, 6, 15, 35, 30, 70},
	} {
		fx := newDomains(t, tc.north, tc.south, tc.west)
		fx.Regions = residency.Map{"north": "inland", "south": "inland", "west": "coast"}
		placed := make(map[string]int)
		for range 100 {
			p, ok := fx.Place(query())
			test.True(t, ok)
			placed[p.Member.Endpoint().Domain]++
		}
		test.Between(t, tc.minSouth, placed["south"], tc.maxSouth, test.Sprint(tc))
		test.Between(t, tc.minWest, placed["west"], tc.maxWest, test.Sprint(tc))
	}
}

// TestOwnRegionIsUsedWithoutOwnEngines checks that a node without engines in its failure domain uses
// those of its region, and those of others only if there are hardly any.
func TestOwnRegionIsUsedWithoutOwnEngines(t *testing.T) {
	for region, want := range map[string]string{"inland": "south", "coast": "west"} {
		fx := newDomains(t, 0, 0, 0)
		fx.Domain = "here"
		fx.Regions = residency.Map{"here": region, "north": "hills", "south": "inland", "west": "coast"}
		for range 50 {
			p, ok := fx.Place(query())
			must.True(t, ok)
			test.Eq(t, want, p.Member.Endpoint().Domain)
		}
	}
}
