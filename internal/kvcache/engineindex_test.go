package kvcache

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

const testBlockTokens = 2000

var testIdentity = Identity{Account: "a", Model: "m", Version: "v"}

// conversation returns a prompt of the given size in bytes. Prompts with the same tag
// have a common prefix.
func conversation(tag string, bytes int) string {
	out := make([]byte, 0, bytes+64)
	for i := 0; len(out) < bytes; i++ {
		out = fmt.Appendf(out, "%s line %d;", tag, i)
	}
	return string(out[:bytes])
}

// engineRun returns the run that an engine with four bytes per token would report.
func engineRun(prompt string) Run {
	run := Run{
		Incarnation:  "i1",
		Chain:        testIdentity.TextChain(prompt),
		PromptSize:   len(prompt),
		PromptTokens: len(prompt) / 4,
	}
	for end := testBlockTokens; end <= run.PromptTokens; end += testBlockTokens {
		sum := sha256.Sum256([]byte(prompt[:end*4]))
		run.Blocks = append(run.Blocks, Block{ID: hex.EncodeToString(sum[:]), EndToken: end, Bytes: 1 << 20})
	}
	return run
}

func syncedIndex(capacity int) *EngineIndex {
	x := NewEngineIndex(capacity)
	x.Resync("i1", 0, nil)
	return x
}

func TestEngineIndexFollowsAConversation(t *testing.T) {
	x := syncedIndex(1000)
	first := engineRun(conversation("c", 50_000))
	x.Observe(first)
	// 12,500 tokens are six complete blocks; the sixth ends at byte 48,000, in chunk 24.
	must.Eq(t, CachedPrefix{Tokens: 12_000, Blocks: 6}, x.Lookup(first.Chain, 12_500))
	must.Eq(t, CachedPrefix{Tokens: 5_000, Blocks: 6}, x.Lookup(first.Chain, 5_000))
	must.Eq(t, CachedPrefix{Tokens: 2_000, Blocks: 1}, x.Lookup(first.Chain[:4], 0))
	must.Eq(t, CachedPrefix{}, x.Lookup(first.Chain[:3], 0)) // the block ends in chunk 4
	next := engineRun(conversation("c", 80_000))
	must.Eq(t, CachedPrefix{Tokens: 12_000, Blocks: 6}, x.Lookup(next.Chain, 20_000))
	x.Observe(next)
	must.Len(t, 9, x.Placements(next.Chain)) // the tenth ends after the last complete chunk
	must.Eq(t, CachedPrefix{}, x.Lookup(testIdentity.TextChain(conversation("d", 50_000)), 0))
}

func TestEngineIndexInterpolatesUnevenDensity(t *testing.T) {
	x := syncedIndex(1000)
	// The first 40 chunks have 100 tokens each, the next 40 have 900 each.
	prompt := conversation("c", 80*TextChunkBytes)
	chain := testIdentity.TextChain(prompt)
	blocks := func(tokens int) (out []Block) {
		for end := 2000; end <= tokens; end += 2000 {
			out = append(out, Block{ID: fmt.Sprint("b", end), EndToken: end})
		}
		return out
	}
	x.Observe(Run{Incarnation: "i1", Chain: chain[:40], PromptSize: 40 * TextChunkBytes, PromptTokens: 4000, Blocks: blocks(4000)})
	x.Observe(Run{Incarnation: "i1", Chain: chain, PromptSize: len(prompt), PromptTokens: 40_000, Blocks: blocks(40_000)})
	must.Eq(t, 2000, x.Lookup(chain[:20], 0).Tokens)
	must.Eq(t, 0, x.Lookup(chain[:19], 0).Tokens)
	// The block that ends at token 6,000 ends 2,000/900 chunks after chunk 40.
	must.Eq(t, 4000, x.Lookup(chain[:42], 0).Tokens)
	must.Eq(t, 6000, x.Lookup(chain[:43], 0).Tokens)
	must.Eq(t, 40_000, x.Lookup(chain, 0).Tokens)
}

func TestEngineIndexConversationsDivergeInsideAChunk(t *testing.T) {
	x := syncedIndex(1000)
	shared := conversation("s", 8_100) // chunk 4 ends at 8,192, the first block at 8,000
	a, b := engineRun(shared+conversation("a", 20_000)), engineRun(shared+conversation("b", 20_000))
	must.Eq(t, a.Blocks[0].ID, b.Blocks[0].ID)
	x.Observe(a)
	must.Eq(t, 0, x.Lookup(b.Chain, 0).Blocks)
	x.Observe(b)
	must.Eq(t, 3, x.Lookup(a.Chain, 0).Blocks)
	must.Eq(t, 3, x.Lookup(b.Chain, 0).Blocks)
	x.Apply("i1", []Event{{Seq: 1, Block: a.Blocks[0].ID, Removed: true}})
	must.Eq(t, 0, x.Lookup(a.Chain, 0).Blocks)
	must.Eq(t, 0, x.Lookup(b.Chain, 0).Blocks)
}

func TestEngineIndexEvents(t *testing.T) {
	run := engineRun(conversation("c", 50_000))
	id := func(i int) string { return run.Blocks[i].ID }
	all := []string{id(0), id(1), id(2), id(3), id(4), id(5)}
	cases := []struct {
		name   string
		change func(*EngineIndex)
		blocks int
		resync bool
	}{
		{"removed", func(x *EngineIndex) { x.Apply("i1", []Event{{1, id(4), true}}) }, 4, false},
		{"stored again", func(x *EngineIndex) { x.Apply("i1", []Event{{1, id(4), true}, {2, id(4), false}}) }, 6, false},
		{"late is ignored", func(x *EngineIndex) { x.Apply("i1", []Event{{0, id(4), true}}) }, 6, false},
		{"gap", func(x *EngineIndex) { x.Apply("i1", []Event{{1, id(4), true}, {3, id(4), false}}) }, 4, true},
		{"resync after a gap", func(x *EngineIndex) {
			x.Apply("i1", []Event{{5, id(0), true}})
			x.Resync("i1", 5, all[:3])
		}, 3, false},
		{"read reached no further", func(x *EngineIndex) { x.Apply("i1", []Event{{1, id(4), true}}); x.AdvanceTo("i1", 1) }, 4, false},
		{"last events missing", func(x *EngineIndex) { x.Apply("i1", []Event{{1, id(4), true}}); x.AdvanceTo("i1", 2) }, 4, true},
		{"another incarnation", func(x *EngineIndex) { x.Apply("i2", nil) }, 0, true},
		{"another incarnation was a late message", func(x *EngineIndex) {
			x.Apply("i0", nil)
			x.Resync("i1", 1, all)
		}, 6, false},
		{"restart", func(x *EngineIndex) { x.Resync("i2", 1, nil) }, 0, false},
		{"run of an earlier incarnation", func(x *EngineIndex) {
			x.Resync("i2", 1, nil)
			x.Observe(run)
			x.Resync("i2", 1, nil)
		}, 0, false},
		{"answer corrects", func(x *EngineIndex) { x.ObserveStart("i1", run.Chain, 8_000) }, 4, false},
		{"import", func(x *EngineIndex) {
			placements := x.Placements(run.Chain)
			x.Resync("i2", 1, nil)
			x.ObserveImport("i2", placements[:5])
		}, 5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := syncedIndex(1000)
			x.Observe(run)
			c.change(x)
			must.Eq(t, c.blocks, x.Lookup(run.Chain, 0).Blocks)
			must.Eq(t, c.resync, x.NeedsResync())
		})
	}
}

func TestEngineIndexMemoryIsBounded(t *testing.T) {
	const capacity, conversations = 600, 100 // 30 blocks each: five times the capacity
	x := syncedIndex(capacity)
	for i := range conversations {
		x.Observe(engineRun(conversation(fmt.Sprint("c", i), 240_000)))
		must.LessEq(t, capacity, len(x.byID))
		must.LessEq(t, capacity, x.entries.Len())
	}
	last := engineRun(conversation(fmt.Sprint("c", conversations-1), 240_000))
	must.Eq(t, 29, x.Lookup(last.Chain, 0).Blocks)
	bytes := heapGrowth(func() any {
		y := syncedIndex(capacity)
		for i := range capacity / 30 {
			y.Observe(engineRun(conversation(fmt.Sprint("c", i), 240_000)))
		}
		return y
	})
	perBlock := bytes / (capacity / 30 * 29)
	t.Logf("%d bytes per block, %d per conversation of 30 blocks", perBlock, bytes/(capacity/30))
	must.LessEq(t, 700, perBlock)
}

// heapGrowth returns the live heap size of build's result in bytes.
func heapGrowth(build func() any) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

func BenchmarkEngineIndexLookup60kTokens(b *testing.B) {
	x := syncedIndex(100_000)
	run := engineRun(conversation("c", 240_000))
	x.Observe(run)
	b.ReportAllocs()
	for b.Loop() {
		x.Lookup(run.Chain, 0)
	}
}

func TestDensityPerAccount(t *testing.T) {
	d := NewDensity()
	must.Eq(t, 250, d.Estimate("m", "a", 1000))
	for range 50 {
		d.Observe("m", "a", 1000, 500)
	}
	must.Eq(t, 500, d.Estimate("m", "a", 1000))
	must.Eq(t, 500, d.Estimate("m", "never seen", 1000))
	for range 50 {
		d.Observe("m", "a", 1000, 100)
	}
	must.Between(t, 100, d.Estimate("m", "a", 1000), 103)
}
