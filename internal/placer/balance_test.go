package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/peerload"
)

// slotsEach is the number of slots of the engines here.
const slotsEach = 12

// newDomains has four engines in each of three failure domains, of which so many slots are taken.
func newDomains(t *testing.T, north, south, west int) *world {
	t.Helper()
	w := newWorld(t, source{})
	w.Whole = func() bool { return false }
	random := rand.New(rand.NewPCG(1, 2))
	w.Random = random.Float64
	for _, domain := range []string{"south", "west"} {
		must.NoError(t, w.Peers.TakeOuter(&peerload.OuterLoad{Node: "n", Domain: domain, Incarnation: 1, Seq: 1}, time.Now()))
	}
	number := 0
	for domain, running := range map[string]int{"north": north, "south": south, "west": west} {
		for i := range 4 {
			number++
			w.Fleet.Update(&fleet.Endpoint{
				ID: fmt.Sprint(domain, i), Service: "s", Addr: addr(number), Domain: domain, Slots: slotsEach,
				Weights: []fleet.Weights{{Model: model, Version: 1}},
			}, time.Now())
		}
		for _, m := range w.Fleet.Members("s") {
			for range running {
				if m.Endpoint().Domain == domain {
					m.Load.Begin(0, 1000)
				}
			}
		}
	}
	return w
}

// addEngines adds engines e0, e1 and so on to this node's failure domain, with a version of the weights each.
func (w *world) addEngines(n int, version func(i int) int64) {
	for i := range n {
		w.Fleet.Update(&fleet.Endpoint{
			ID: fmt.Sprint("e", i), Service: "s", Addr: addr(i), Domain: "north", Slots: slotsEach,
			Weights: []fleet.Weights{{Model: model, Version: version(i)}},
		}, time.Now())
	}
}

// TestPromptsGoWhereEnginesAreEmptier sends a share of the prompts to other failure domains that
// rises with how much fuller the engines of the own one are, to each by what it has to spare, and
// none where they are emptier or equally full. Before, all stayed while four engines were left.
func TestPromptsGoWhereEnginesAreEmptier(t *testing.T) {
	for _, tc := range []struct {
		north, south, west    int // slots taken of each engine
		leastSouth, mostSouth int // of 100 prompts
		leastWest, mostWest   int
	}{
		{6, 6, 6, 0, 0, 0, 0},
		{6, 12, 6, 0, 0, 0, 0},
		{9, 6, 9, 15, 35, 0, 0},
		{12, 6, 6, 18, 32, 18, 32},
		{12, 9, 6, 0, 0, 40, 60},
		{40, 3, 3, 18, 32, 18, 32},
	} {
		w := newDomains(t, tc.north, tc.south, tc.west)
		went := make(map[string]int)
		for range 100 {
			p, ok := w.Place(query())
			test.True(t, ok)
			went[p.Member.Endpoint().Domain]++
		}
		test.Between(t, tc.leastSouth, went["south"], tc.mostSouth, test.Sprint(tc))
		test.Between(t, tc.leastWest, went["west"], tc.mostWest, test.Sprint(tc))
	}
}

// TestUnknownDomainsGetNothing keeps prompts from a failure domain that nobody tells the load of, as
// its collectors are lost or cut off: its engines look empty.
func TestUnknownDomainsGetNothing(t *testing.T) {
	w := newDomains(t, 12, 6, 0)
	w.Peers = peerload.NewTable()
	for range 100 {
		p, ok := w.Place(query())
		test.True(t, ok)
		test.Eq(t, "north", p.Member.Endpoint().Domain)
	}
	must.NoError(t, w.Peers.TakeOuter(&peerload.OuterLoad{Node: "n", Domain: "south", Incarnation: 1, Seq: 1}, time.Now()))
	south := 0
	for range 100 {
		p, ok := w.Place(query())
		test.True(t, ok)
		test.NotEq(t, "west", p.Member.Endpoint().Domain)
		if p.Member.Endpoint().Domain == "south" {
			south++
		}
	}
	test.Positive(t, south)
}

// TestAwayPromptsSpread has prompts that go to another failure domain use all its engines, though
// one looks the least busy to all nodes.
func TestAwayPromptsSpread(t *testing.T) {
	w := newDomains(t, 30, 6, 30)
	for _, m := range w.Fleet.Members("s") {
		if m.ID == "south0" {
			m.Load.End(1000)
		}
	}
	went := make(map[string]int)
	for range 400 {
		p, ok := w.Place(query())
		test.True(t, ok)
		went[p.Member.ID]++
	}
	for i := range 4 {
		test.Positive(t, went[fmt.Sprint("south", i)], test.Sprint("south", i))
	}
}

// TestNewEngineDrawsFewNodes has the nodes of a failure domain place prompts between two messages on
// one another's load, when an engine has just come. To all of them it looks the least busy; it gets
// a share that is bounded by the number of engines of which each chooses. Before, it got all.
func TestNewEngineDrawsFewNodes(t *testing.T) {
	w := newWorld(t, source{})
	w.Whole = func() bool { return false }
	random := rand.New(rand.NewPCG(3, 4))
	w.Random = random.Float64
	const engines, prompts = 40, 2000
	w.addEngines(engines, func(int) int64 { return 1 })
	for _, m := range w.Fleet.Members("s") {
		for range 9 {
			if m.ID != "e0" {
				m.Load.Begin(500, 6000)
			}
		}
	}
	went := make(map[string]int)
	for range prompts {
		p, ok := w.Place(query())
		test.True(t, ok)
		went[p.Member.ID]++
	}
	test.Between(t, prompts/engines, went["e0"], 3*prompts/engines, test.Sprint("neither all nor unused"))
}

// TestEnginesThatLookIdleToAllAreShared has nodes place prompts before they hear of each other's, where
// two of twenty engines have just loaded new weights. These get more than the others, but not all:
// before, each node sent all its prompts there, and 11 with 50,000 tokens lay before each new one.
func TestEnginesThatLookIdleToAllAreShared(t *testing.T) {
	const engines, prompts = 20, 2000
	for _, tc := range []struct {
		name        string
		others      int // nodes
		least, most int // prompts on new weights
	}{
		{"a node alone", 0, prompts, prompts},
		{"among 24 nodes", 23, 3 * prompts / engines, prompts / 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, source{})
			w.versions.wanted, w.versions.age = 2, 5*time.Second
			w.VersionApply = func() time.Duration { return time.Hour }
			random := rand.New(rand.NewPCG(5, 6))
			w.Random = random.Float64
			now := time.Now()
			w.Now = func() time.Time { return now }
			w.Unheard = func() (int, time.Duration) { return tc.others, 200 * time.Millisecond }
			w.addEngines(engines, func(i int) int64 {
				if i < 2 {
					return 2
				}
				return 1
			})
			q := query()
			q.Attributes.Parts, q.Attributes.PromptTokens = nil, 8000
			onNew := 0
			for range prompts {
				now = now.Add(100 * time.Millisecond) // 10 a second of each node
				p, ok := w.Place(q)
				must.True(t, ok)
				if p.Member.ID == "e0" || p.Member.ID == "e1" {
					onNew++
				}
			}
			test.Between(t, tc.least, onNew, tc.most)
		})
	}
}

// TestRoomAnywhereNearIsFound has the only engine of the failure domain with room take every prompt.
// A node looks at those to which it keeps connections and two others; callers were refused and came
// back late where these were full, though others had room: 105 of 480 tries of the largest prompts
// in the 4 s after new weights were named.
func TestRoomAnywhereNearIsFound(t *testing.T) {
	w := newWorld(t, source{})
	w.Whole = func() bool { return false }
	q := query()
	q.Service.Engine.KVTokens = 100_000
	const engines = 40
	w.addEngines(engines, func(int) int64 { return 1 })
	for _, m := range w.Fleet.Members("s") {
		if m.ID != "e7" {
			m.Load.Begin(0, 100_000)
		}
	}
	for range 20 {
		p, ok := w.Place(q)
		must.True(t, ok)
		test.Eq(t, "e7", p.Member.ID)
	}
}

// TestRoomIsLeftForWhatIsNotTold refuses a prompt at an engine that it would fill to more than 0.85,
// in a large system, and takes it in a small one.
func TestRoomIsLeftForWhatIsNotTold(t *testing.T) {
	for _, whole := range []bool{true, false} {
		w := newWorld(t, source{}, 1)
		w.Whole = func() bool { return whole }
		q := query()
		q.Service.Engine.KVTokens = 100_000
		q.Attributes.PromptTokens = 11_500
		w.members[0].Load.Begin(0, 80_000)
		p, ok := w.Place(q)
		test.Eq(t, whole, ok)
		if !whole {
			test.Eq(t, "no_room", p.Reason)
		}
	}
}

// TestRoomyMemoryIsFilled takes a prompt at an engine that it fills to more than 0.85 where engines hold
// many such prompts. Callers of the largest were refused for want of room, and came back late, by
// engines that held 94,000 of 149,000 tokens by their own reports: the nodes believed in 131,000, as
// prompts that are on their way or half read hold less than they will.
func TestRoomyMemoryIsFilled(t *testing.T) {
	w := newWorld(t, source{}, 1)
	w.Whole = func() bool { return false }
	q := query()
	q.Service.Engine.KVTokens = 100_000
	q.Attributes.PromptTokens = 3000
	w.members[0].Load.Begin(0, 90_000)
	_, ok := w.Place(q)
	test.True(t, ok)
	w.members[0].Load.Begin(0, 8000)
	p, ok := w.Place(q)
	test.False(t, ok)
	test.Eq(t, "no_room", p.Reason)
}
