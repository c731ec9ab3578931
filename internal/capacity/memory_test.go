package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cherryward/cherryward/internal/capacity/measure"
	"github.com/cherryward/cherryward/internal/kvcache"
)

// BenchmarkView reports the memory of the typed configuration.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{1000, 4000, 12_000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := measure.MemoryInUse()
				view := viewOf(n)
				b.ReportMetric(measure.MemoryInUse()-before, "bytes")
				runtime.KeepAlive(view)
			}
		})
	}
}

// BenchmarkEngineIndex reports the memory of one engine's index.
func BenchmarkEngineIndex(b *testing.B) {
	for _, blocks := range []int{2900, 11_600, 58_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for b.Loop() {
				before := measure.MemoryInUse()
				x := kvcache.NewEngineIndex(1 << 16)
				x.Resync("i", 0, nil)
				for c := range blocks / blocksPerPrompt {
					x.Observe(engineRun(c))
				}
				b.ReportMetric(measure.MemoryInUse()-before, "bytes")
				runtime.KeepAlive(x)
			}
		})
	}
}

const blocksPerPrompt = 29

// engineRun returns a run of a conversation with 117 chunks.
func engineRun(c int) kvcache.Run {
	id := kvcache.Identity{Account: fmt.Sprint("account-", c), Model: "m", Version: "v"}
	run := kvcache.Run{Incarnation: "i", Chain: id.TextChain(strings.Repeat("x", 240_000)), PromptSize: 240_000, PromptTokens: 60_000}
	for i := range blocksPerPrompt {
		run.Blocks = append(run.Blocks, kvcache.Block{ID: fmt.Sprintf("%016x%016x", c, i), EndToken: 2048 * (i + 1), Bytes: 64 << 20})
	}
	return run
}

// BenchmarkStoreIndex reports the memory of one store host's index.
func BenchmarkStoreIndex(b *testing.B) {
	for _, blocks := range []int{3000, 12_000, 60_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for b.Loop() {
				before := measure.MemoryInUse()
				x := kvcache.NewStoreIndex()
				for c := range blocks / 30 {
					addConversation(x, c)
				}
				b.ReportMetric(measure.MemoryInUse()-before, "bytes")
				runtime.KeepAlive(x)
			}
		})
	}
}

func addConversation(x *kvcache.StoreIndex, c int) {
	id := kvcache.Identity{Account: fmt.Sprint("account-", c%1300), Model: "m", Version: "v"}
	chain := id.TextChain(strings.Repeat(fmt.Sprintf("%08d", c), 30_000))
	parent := ""
	for i := range 30 {
		at := chain[min(4*i+3, len(chain)-1)]
		m := kvcache.Manifest{Key: fmt.Sprintf("%s.0123456789abcdef.%d", at, i), Parent: parent, Index: i, Name: kvcache.RandomName(), Block: fmt.Sprintf("%032x", 30*c+i),
			EndToken: 2048 * (i + 1), Bytes: 64 << 20, Checksum: fmt.Sprintf("%064x", 30*c+i), Layout: layoutName}
		m.Account, m.Model, m.Version = id.Account, id.Model, id.Version
		parent = m.Key
		x.Add(m, time.Now())
	}
}
