package placement

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	blockTokens = 2048
	blockBytes  = 64 << 20
)

func engine(name string, edit func(*EngineEstimate)) EngineEstimate {
	e := EngineEstimate{
		Endpoint: name, Owner: "n1", PrefillRate: 4000, StepTime: 20 * time.Millisecond,
		ImportRate: 1 << 30, Layout: "a", BlockTokens: blockTokens, BlockBytes: blockBytes,
	}
	if edit != nil {
		edit(&e)
	}
	return e
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestPlace(t *testing.T) {
	const prompt = 10 * blockTokens
	held := StoreEstimate{Store: "s1", HeldTokens: 8 * blockTokens, Rate: 256 << 20, Layout: "a"}
	slowLink := held
	slowLink.Rate = 32 << 20
	otherLayout := held
	otherLayout.Layout = "b"
	cold := engine("cold", nil)
	warm := engine("warm", func(e *EngineEstimate) { e.CachedTokens = prompt - 100; e.Wait = 2 * time.Second })
	warmLongQueue := engine("warm", func(e *EngineEstimate) { e.CachedTokens = prompt - 100; e.Wait = time.Minute })
	late := engine("late", func(e *EngineEstimate) { e.Status = Late; e.CachedTokens = prompt })

	cases := []struct {
		name    string
		engines []EngineEstimate
		stores  []StoreEstimate
		weights Objective
		left    time.Duration
		want    string
		blocks  int // imported
		late    bool
	}{
		{name: "cached tokens outweigh a short queue", engines: []EngineEstimate{cold, warm}, want: "warm"},
		{name: "a long queue outweighs cached tokens", engines: []EngineEstimate{cold, warmLongQueue}, want: "cold"},
		{name: "import costs less than recomputing", engines: []EngineEstimate{cold}, stores: []StoreEstimate{held}, want: "cold", blocks: 8},
		{name: "recomputing costs less than a slow link", engines: []EngineEstimate{cold}, stores: []StoreEstimate{slowLink}, want: "cold"},
		{name: "import over a slow link ends within the queue wait", engines: []EngineEstimate{engine("q", func(e *EngineEstimate) { e.Wait = 7 * time.Second })},
			stores: []StoreEstimate{slowLink}, want: "q", blocks: 3},
		{name: "the weight of recomputed tokens allows a slow import", engines: []EngineEstimate{cold}, stores: []StoreEstimate{slowLink},
			weights: Objective{FirstTokenSeconds: 1, RecomputedToken: 0.01}, want: "cold", blocks: 8},
		{name: "the weight of the link prevents an import", engines: []EngineEstimate{cold}, stores: []StoreEstimate{held},
			weights: Objective{FirstTokenSeconds: 1, LinkMebibyte: 1}, want: "cold"},
		{name: "blocks of another layout are not imported", engines: []EngineEstimate{cold}, stores: []StoreEstimate{otherLayout}, want: "cold"},
		{name: "with queues, the engine that has the prompt cached", engines: []EngineEstimate{
			engine("crowded", func(e *EngineEstimate) { e.Waiting = 9; e.PrefillRate = 8000 }),
			engine("cached", func(e *EngineEstimate) { e.Waiting = 9; e.CachedTokens = prompt - 1000; e.Wait = 6 * time.Second }),
		}, want: "cached"},
		{name: "a late estimate is ignored", engines: []EngineEstimate{late, cold}, want: "cold"},
		{name: "the deadline takes precedence over the cost", engines: []EngineEstimate{engine("slow", func(e *EngineEstimate) { e.PrefillRate = 2000 }), cold},
			weights: Objective{RecomputedToken: 1}, left: 6 * time.Second, want: "cold"},
		{name: "no import that takes most of the remaining time", engines: []EngineEstimate{cold}, stores: []StoreEstimate{slowLink},
			weights: Objective{FirstTokenSeconds: 1, RecomputedToken: 0.01}, left: 30 * time.Second, want: "cold", blocks: 1},
		{name: "no engine meets the deadline", engines: []EngineEstimate{cold}, left: time.Second, want: "cold", late: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req := Request{PromptTokens: prompt, TimeLeft: tc.left, Weights: tc.weights}
			choice, err := Place(req, tc.engines, tc.stores, newRand())
			must.NoError(t, err)
			test.EqOp(t, tc.want, choice.Endpoint)
			test.EqOp(t, tc.blocks*blockTokens, choice.Import.Tokens)
			test.EqOp(t, tc.late, choice.Late)
			test.EqOp(t, prompt, choice.Cached+choice.Import.Tokens+choice.Recompute)
		})
	}
}

func TestPlaceWithoutEstimates(t *testing.T) {
	paused := engine("gone", func(e *EngineEstimate) { e.Status = NotInRotation })
	slow := engine("slow", func(e *EngineEstimate) { e.Status = Late; e.LastWait = time.Second })
	fast := engine("fast", func(e *EngineEstimate) { e.Status = Late })
	choice, err := Place(Request{PromptTokens: 100}, []EngineEstimate{paused, slow, fast}, nil, newRand())
	must.NoError(t, err)
	test.EqOp(t, "fast", choice.Endpoint)
	test.True(t, choice.ByLoad)
	test.EqOp(t, OutOfRotation, choice.Candidates[0].Verdict)
	test.True(t, strings.Contains(choice.Candidates[1].String(), "estimate late"))
	_, err = Place(Request{PromptTokens: 100}, []EngineEstimate{paused}, nil, newRand())
	test.ErrorIs(t, err, ErrNoEndpoint)
}

// TestPlaceSpreadsEqualEndpoints checks that entry nodes with the same estimates don't all select
// the same idle endpoint.
func TestPlaceSpreadsEqualEndpoints(t *testing.T) {
	engines := []EngineEstimate{engine("a", nil), engine("b", nil), engine("c", nil), engine("d", nil)}
	engines[3].Wait = time.Second
	rng, count := newRand(), map[string]int{}
	for range 900 {
		for _, place := range []func(Request, []EngineEstimate) (Choice, error){
			func(r Request, e []EngineEstimate) (Choice, error) { return Place(r, e, nil, rng) },
			func(r Request, e []EngineEstimate) (Choice, error) { return PlaceByLoad(r, e[:3], rng) },
		} {
			choice, err := place(Request{PromptTokens: 2000}, engines)
			must.NoError(t, err)
			count[choice.Endpoint]++
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		test.Between(t, 500, count[name], 700)
	}
	test.EqOp(t, 0, count["d"])
}

// TestImportLengthIsOptimal checks that no other import length in whole blocks costs less than the
// chosen one.
func TestImportLengthIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine("e", func(e *EngineEstimate) {
			e.CachedTokens = blockTokens * rapid.IntRange(0, 4).Draw(t, "cached")
			e.Wait = time.Duration(rapid.IntRange(0, 9000).Draw(t, "wait")) * time.Millisecond
			e.PrefillRate = rapid.Float64Range(500, 20000).Draw(t, "rate")
		})
		s := StoreEstimate{Store: "s", Layout: "a", Rate: rapid.Float64Range(1<<20, 1<<30).Draw(t, "link"),
			HeldTokens: blockTokens * rapid.IntRange(0, 20).Draw(t, "held"),
			QueueDelay: time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond}
		req := Request{PromptTokens: rapid.IntRange(1, 60000).Draw(t, "prompt"), Weights: Objective{
			FirstTokenSeconds: rapid.Float64Range(0, 1).Draw(t, "wf"),
			RecomputedToken:   rapid.Float64Range(0, 0.01).Draw(t, "wr"),
			LinkMebibyte:      rapid.Float64Range(0, 0.01).Draw(t, "wl"),
		}}
		choice, err := Place(req, []EngineEstimate{e}, []StoreEstimate{s}, newRand())
		must.NoError(t, err)
		cached := min(e.CachedTokens, req.PromptTokens)
		perBlock := float64(e.BlockBytes) / min(s.Rate, e.ImportRate)
		for blocks := 1; cached+blocks*blockTokens <= min(s.HeldTokens, req.PromptTokens); blocks++ {
			c := Candidate{Cached: cached, Cost: choice.Cost}
			applyIfCheaper(req, &e, &s, perBlock, blocks, &c)
			test.GreaterEq(t, choice.Cost-1e-6, c.Cost)
		}
	})
}

func TestPlaceAllocations(t *testing.T) {
	req, engines, stores := benchInput(8)
	rng := newRand()
	got := testing.AllocsPerRun(100, func() { _, _ = Place(req, engines, stores, rng) })
	test.LessEq(t, 1.0, got)
}

func benchInput(k int) (Request, []EngineEstimate, []StoreEstimate) {
	engines := make([]EngineEstimate, k)
	for i := range engines {
		engines[i] = engine("e", func(e *EngineEstimate) { e.CachedTokens = i * blockTokens; e.Wait = time.Duration(i) * time.Second })
	}
	store := StoreEstimate{Store: "s", HeldTokens: 12 * blockTokens, Rate: 1 << 28, Layout: "a"}
	return Request{PromptTokens: 40000, TimeLeft: time.Minute}, engines, []StoreEstimate{store, store}
}

// TestImportTimeoutBreaksEven checks that an import that takes as long as its timeout costs the
// same as recomputing.
func TestImportTimeoutBreaksEven(t *testing.T) {
	e := engine("e", func(e *EngineEstimate) { e.Wait = time.Second })
	s := StoreEstimate{Store: "s", HeldTokens: 8 * blockTokens, Rate: 256 << 20, Layout: "a"}
	req := Request{PromptTokens: 10 * blockTokens, Weights: Objective{FirstTokenSeconds: 0.5, RecomputedToken: 0.0001}}
	choice, err := Place(req, []EngineEstimate{e}, []StoreEstimate{s}, newRand())
	must.NoError(t, err)
	slow, none := Candidate{}, Candidate{}
	late := choice.Import
	late.Transfer = choice.Import.Patience
	evaluate(req, &e, late, &slow)
	evaluate(req, &e, Import{}, &none)
	test.InDelta(t, none.Cost, slow.Cost, 1e-6)
	test.Greater(t, choice.Import.Transfer, choice.Import.Patience)
}

func TestExportSavings(t *testing.T) {
	k := ExportPart{Tokens: 2000, Bytes: 100 << 20, PrefillRate: 1000, LinkRate: 100 << 20}
	test.InDelta(t, 1, Objective{}.ExportSaving(k), 1e-9) // 2 s of prefill for 1 s of link
	test.InDelta(t, 2, Objective{FirstTokenSeconds: 1, RecomputedToken: 0.001, LinkMebibyte: 0.01}.ExportSaving(k), 1e-9)
	// On an idle link a byte delays no other transfer; on a link that is half
	// utilized it delays others by its own transfer time.
	idle, busy := 1/k.LinkRate, 2/k.LinkRate
	test.InDelta(t, 0, Objective{}.LinkPrice(idle, k.LinkRate), 1e-15)
	test.InDelta(t, idle, Objective{}.LinkPrice(busy, k.LinkRate), 1e-15)
	test.InDelta(t, 0.01/(1<<20), Objective{LinkMebibyte: 0.01}.LinkPrice(busy, k.LinkRate), 1e-15)
}

// TestAssumesHighSpeedOfNewEngines checks that the speed assumed for an engine of unknown speed
// exceeds all learned ones. Otherwise the engine might get no work, and its speed would never be
// learned.
func TestAssumesHighSpeedOfNewEngines(t *testing.T) {
	engines := []EngineEstimate{{Endpoint: "old", PrefillRate: 16000}, {Endpoint: "new"}, {Endpoint: "best", PrefillRate: 40000}}
	FillUnknownRates(engines)
	must.Eq(t, 40000*unknownSpeedBonus, engines[1].PrefillRate)
	must.Eq(t, 16000, engines[0].PrefillRate)
	none := []EngineEstimate{{Endpoint: "a"}, {Endpoint: "b"}}
	FillUnknownRates(none)
	must.Eq(t, UnknownRate*unknownSpeedBonus, none[0].PrefillRate)
	must.Eq(t, none[0].PrefillRate, none[1].PrefillRate)
}
