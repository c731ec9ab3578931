package telemetry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/runs"
)

const (
	maxAccounts = 1300 // client accounts of the largest planned system
	// Bounds with this number of accounts and all classes in use.
	maxBytes = 1 << 20
	maxLines = 8000
)

func accountName(i int) string { return fmt.Sprintf("account-%04d", i) }

// simulateTraffic records prompts of all accounts for two hours, in six rounds per ranking
// interval, and returns how often an account became named. The k-th account of order has
// traffic proportional to 1/(k+1), with a variation of a tenth.
func simulateTraffic(m *Metrics, rng *rand.Rand, order []int) (becameNamed int) {
	const rounds = 6
	before := namedAccounts(m)
	for range 12 * rounds {
		time.Sleep(rankInterval / rounds)
		for k, i := range order {
			measure := promptMetrics(accountName(i))
			measure.Summary.PromptTokens = (90_000 + rng.IntN(20_000)) / (k + 1)
			measure.Class = runs.Class(i % int(runs.Classes))
			m.Request(measure)
		}
		now := namedAccounts(m)
		becameNamed += len(slices.DeleteFunc(slices.Clone(now), func(name string) bool { return slices.Contains(before, name) }))
		before = now
	}
	return becameNamed
}

func namedAccounts(m *Metrics) []string {
	named, _ := m.accounts.partition()
	names := make([]string, len(named))
	for i, a := range named {
		names[i] = a.name
	}
	return names
}

func TestLargeAccountsKeepOwnSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, rng := New(), rand.New(rand.NewPCG(1, 2))
		order := rng.Perm(maxAccounts)
		simulateTraffic(m, rng, order)
		checkNamed(t, m, order)
		must.Zero(t, simulateTraffic(m, rng, order), must.Sprint("named accounts changed under steady traffic"))

		slices.Reverse(order) // the largest accounts become the smallest
		must.Eq(t, maxNamedAccounts, simulateTraffic(m, rng, order))
		checkNamed(t, m, order)
		must.Zero(t, simulateTraffic(m, rng, order), must.Sprint("named accounts changed under steady traffic"))

		time.Sleep(40 * rankInterval) // only requests update the ranking, so nothing changes
		for range 40 {
			time.Sleep(rankInterval)
			m.Request(promptMetrics("mill"))
		}
		must.MapLen(t, 1, m.accounts.byName)
		must.Eq(t, []string{"mill"}, namedAccounts(m))
	})
}

// checkNamed checks that the maximum number of accounts is named, and that every account
// with more than minTrafficRatio times the traffic of the largest one beyond this number
// is among them.
func checkNamed(t *testing.T, m *Metrics, order []int) {
	t.Helper()
	named := namedAccounts(m)
	must.SliceLen(t, maxNamedAccounts, named)
	for k, i := range order {
		if k < maxNamedAccounts/minTrafficRatio-1 {
			must.SliceContains(t, named, accountName(i), must.Sprintf("account of rank %d", k))
		}
	}
}

func TestAccountNamedOtherSharesSeries(t *testing.T) {
	m := New()
	m.Request(promptMetrics(otherAccounts))
	must.SliceEmpty(t, namedAccounts(m))
	must.SliceContains(t, scrape(m), `cherryward_prompt_tokens_total{account="other",class="batch"} 80`)
}

// fullMetrics returns metrics with a request of every account in every class.
func fullMetrics() *Metrics {
	m := New()
	for i := range maxAccounts {
		for class := range runs.Classes {
			measure := promptMetrics(accountName(i))
			measure.Class = class
			m.Request(measure)
		}
	}
	return m
}

func TestCostAtFleetSize(t *testing.T) {
	before := heapBytes()
	m := fullMetrics()
	used := heapBytes() - before
	lines := len(scrape(m))
	t.Logf("%d accounts: %d bytes, %d lines", maxAccounts, used, lines)
	must.Less(t, maxBytes, used)
	must.LessEq(t, maxLines, lines)
	names := []string{accountName(0), accountName(maxAccounts - 1)}
	for _, name := range names {
		measure := promptMetrics(name)
		must.Zero(t, testing.AllocsPerRun(1000, func() { m.Request(measure) }), must.Sprint(name))
	}
	runtime.KeepAlive(m)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkRequest(b *testing.B) {
	m := fullMetrics()
	names := make([]string, maxAccounts)
	for i := range names {
		names[i] = accountName(i)
	}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		measure := promptMetrics("")
		for i := 0; p.Next(); i++ {
			measure.Account = names[i%maxAccounts]
			m.Request(measure)
		}
	})
}

func BenchmarkScrape(b *testing.B) {
	m := fullMetrics()
	for b.Loop() {
		scrape(m)
	}
}
