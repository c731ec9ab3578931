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

// slotsPerEngine is the number of slots of each engine in these tests.
const slotsPerEngine = 12

// newDomains returns a fixture with four engines in each of three failure domains, with the given
// number of occupied slots on each engine.
func newDomains(t *testing.T, north, south, west int) *fixture {
	t.Helper()
	fx := newFixture(t, fakeEvents{})
	fx.FullMesh = func() bool { return false }
	random := rand.New(rand.NewPCG(1, 2))
	fx.Random = random.Float64
	for _, domain := range []string{"south", "west"} {
		must.NoError(t, fx.PeerLoads.RecordDomainLoad(&peerload.DomainLoad{Node: "n", Domain: domain, Incarnation: 1, Seq: 1}, time.Now()))
	}
	number := 0
	for domain, running := range map[string]int{"north": north, "south": south, "west": west} {
		for i := range 4 {
			number++
			fx.Fleet.Update(&fleet.Endpoint{
				ID: fmt.Sprint(domain, i), Service: "s", Addr: addr(number), Domain: domain, Slots: slotsPerEngine,
				Weights: []fleet.Weights{{Model: model, Version: 1}},
			}, time.Now())
		}
		for _, m := range fx.Fleet.Members("s") {
			for range running {
				if m.Endpoint().Domain == domain {
					m.Load.Begin(0, 1000)
				}
			}
		}
	}
	return fx
}

// addEngines adds engines e0, e1, ... to this node's failure domain; version returns the version of
// the weights of each.
func (fx *fixture) addEngines(n int, version func(i int) int64) {
	for i := range n {
		fx.Fleet.Update(&fleet.Endpoint{
			ID: fmt.Sprint("e", i), Service: "s", Addr: addr(i), Domain: "north", Slots: slotsPerEngine,
			Weights: []fleet.Weights{{Model: model, Version: version(i)}},
		}, time.Now())
	}
}

// TestPromptsMoveToLessUtilizedDomains checks that the share of prompts sent to other failure
// domains grows with how far the utilization of this domain exceeds theirs, that each gets prompts
// in proportion to its spare slots, and that none are sent where the other domains are equally or
// more utilized.
func TestPromptsMoveToLessUtilizedDomains(t *testing.T) {
	for _, tc := range []struct {
		north, south, west int // occupied slots of each engine
		minSouth, maxSouth int // of 100 prompts
		minWest, maxWest   int
	}{
		{6, 6, 6, 0, 0, 0, 0},
		{6, 12, 6, 0, 0, 0, 0},
		{9, 6, 9, 15, 35, 0, 0},
		{12, 6, 6, 18, 32, 18, 32},
		{12, 9, 6, 0, 0, 40, 60},
		{40, 3, 3, 18, 32, 18, 32},
	} {
		fx := newDomains(t, tc.north, tc.south, tc.west)
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

// TestUnreportedDomainsGetNoPrompts checks that no prompt is sent to a failure domain without load
// reports, because its collectors failed or are unreachable: its engines only appear idle.
func TestUnreportedDomainsGetNoPrompts(t *testing.T) {
	fx := newDomains(t, 12, 6, 0)
	fx.PeerLoads = peerload.NewTable()
	for range 100 {
		p, ok := fx.Place(query())
		test.True(t, ok)
		test.Eq(t, "north", p.Member.Endpoint().Domain)
	}
	must.NoError(t, fx.PeerLoads.RecordDomainLoad(&peerload.DomainLoad{Node: "n", Domain: "south", Incarnation: 1, Seq: 1}, time.Now()))
	south := 0
	for range 100 {
		p, ok := fx.Place(query())
		test.True(t, ok)
		test.NotEq(t, "west", p.Member.Endpoint().Domain)
		if p.Member.Endpoint().Domain == "south" {
			south++
		}
	}
	test.Positive(t, south)
}

// TestRemotePromptsSpread checks that prompts sent to another failure domain use all its engines,
// though one has the lowest reported load.
func TestRemotePromptsSpread(t *testing.T) {
	fx := newDomains(t, 30, 6, 30)
	for _, m := range fx.Fleet.Members("s") {
		if m.ID == "south0" {
			m.Load.End(1000)
		}
	}
	placed := make(map[string]int)
	for range 400 {
		p, ok := fx.Place(query())
		test.True(t, ok)
		placed[p.Member.ID]++
	}
	for i := range 4 {
		test.Positive(t, placed[fmt.Sprint("south", i)], test.Sprint("south", i))
	}
}

// TestNewEngineGetsBoundedShare has the nodes of a failure domain place prompts between two load
// reports, just after an engine joined. The engine has the lowest load in the view of all of them.
// Its share must be bounded by the number of engines among which each node chooses; otherwise it
// would get all prompts.
func TestNewEngineGetsBoundedShare(t *testing.T) {
	fx := newFixture(t, fakeEvents{})
	fx.FullMesh = func() bool { return false }
	random := rand.New(rand.NewPCG(3, 4))
	fx.Random = random.Float64
	const engines, prompts = 40, 2000
	fx.addEngines(engines, func(int) int64 { return 1 })
	for _, m := range fx.Fleet.Members("s") {
		for range 9 {
			if m.ID != "e0" {
				m.Load.Begin(500, 6000)
			}
		}
	}
	placed := make(map[string]int)
	for range prompts {
		p, ok := fx.Place(query())
		test.True(t, ok)
		placed[p.Member.ID]++
	}
	test.Between(t, prompts/engines, placed["e0"], 3*prompts/engines, test.Sprint("the new engine gets some of the prompts, but not all"))
}

// TestIdleEnginesGetBoundedShare has nodes place prompts before they receive each other's load
// reports, where two of twenty engines have just loaded new weights. The two must get more prompts
// than others, but not all: if each node sent all its prompts there, each new prompt would be
// queued behind many others.
func TestIdleEnginesGetBoundedShare(t *testing.T) {
	const engines, prompts = 20, 2000
	for _, tc := range []struct {
		name           string
		others         int // nodes
		minNew, maxNew int // prompts on new weights
	}{
		{"a node alone", 0, prompts, prompts},
		{"among 24 nodes", 23, 3 * prompts / engines, prompts / 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t, fakeEvents{})
			fx.versions.wanted, fx.versions.age = 2, 5*time.Second
			fx.VersionApplyLimit = func() time.Duration { return time.Hour }
			random := rand.New(rand.NewPCG(5, 6))
			fx.Random = random.Float64
			now := time.Now()
			fx.Now = func() time.Time { return now }
			fx.ReportLag = func() (int, time.Duration) { return tc.others, 200 * time.Millisecond }
			fx.addEngines(engines, func(i int) int64 {
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
				p, ok := fx.Place(q)
				must.True(t, ok)
				if p.Member.ID == "e0" || p.Member.ID == "e1" {
					onNew++
				}
			}
			test.Between(t, tc.minNew, onNew, tc.maxNew)
		})
	}
}

// TestFindsRoomAtUnsampledEngine checks that the only engine of the failure domain with free memory
// gets every prompt. A node first considers only engines with an open connection and two others. If
// it did not consider all others after that, callers would be refused and retry late though some
// engine has room. This affects the largest prompts most, just after new weights were published.
func TestFindsRoomAtUnsampledEngine(t *testing.T) {
	fx := newFixture(t, fakeEvents{})
	fx.FullMesh = func() bool { return false }
	q := query()
	q.Service.Engine.KVTokens = 100_000
	const engines = 40
	fx.addEngines(engines, func(int) int64 { return 1 })
	for _, m := range fx.Fleet.Members("s") {
		if m.ID != "e7" {
			m.Load.Begin(0, 100_000)
		}
	}
	for range 20 {
		p, ok := fx.Place(q)
		must.True(t, ok)
		test.Eq(t, "e7", p.Member.ID)
	}
}

// TestReservesMemoryForUnreportedPrompts checks that a node of a large system refuses a prompt that
// would fill an engine's memory beyond 0.85, and that a node of a small system accepts it.
func TestReservesMemoryForUnreportedPrompts(t *testing.T) {
	for _, fullMesh := range []bool{true, false} {
		fx := newFixture(t, fakeEvents{}, 1)
		fx.FullMesh = func() bool { return fullMesh }
		q := query()
		q.Service.Engine.KVTokens = 100_000
		q.Attributes.PromptTokens = 11_500
		fx.members[0].Load.Begin(0, 80_000)
		p, ok := fx.Place(q)
		test.Eq(t, fullMesh, ok)
		if !fullMesh {
			test.Eq(t, "no_room", p.Reason)
		}
	}
}

// TestFillsMemoryThatHoldsManyPrompts checks that a prompt may fill an engine's memory beyond 0.85
// where it holds many such prompts. Otherwise callers of the largest prompts are refused and retry
// late though there is room: the nodes' estimate exceeds the memory in use, as prompts in transit
// or partly read do not hold all of their memory yet.
func TestFillsMemoryThatHoldsManyPrompts(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1)
	fx.FullMesh = func() bool { return false }
	q := query()
	q.Service.Engine.KVTokens = 100_000
	q.Attributes.PromptTokens = 3000
	fx.members[0].Load.Begin(0, 90_000)
	_, ok := fx.Place(q)
	test.True(t, ok)
	fx.members[0].Load.Begin(0, 8000)
	p, ok := fx.Place(q)
	test.False(t, ok)
	test.Eq(t, "no_room", p.Reason)
}
