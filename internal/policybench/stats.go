package policybench

import (
	"slices"
	"time"
)

// Figures holds the measurements of a group of turns.
type Figures struct {
	Served     int
	Shed       int
	P50        float64
	P95        float64
	P99        float64
	Recomputed float64 // fraction of prompt tokens that were computed
	LinkMiB    float64 // imports and exports per request; only set for all accounts together
	BoundShare float64 // fraction of prompt tokens never seen before
	BlockBound float64 // the same if only whole blocks are cached
}

// Result is the outcome of one run. Large covers the first largeAccounts accounts, Small the others.
type Result struct {
	Case              string
	Violations        []string // descriptions of violated invariants
	All, Large, Small Figures
}

// tally accumulates the turns of one account that arrived after the warm-up.
type tally struct {
	ttft               []time.Duration
	shed               int
	prompt, computed   int
	fresh, freshBlocks int
}

type stats struct {
	horizon  Horizon
	accounts [accountCount]tally
	link     float64 // bytes
	at       func() time.Duration
}

func newStats(h Horizon) *stats { return &stats{horizon: h} }

func (s *stats) measured(t *turn) bool { return t.at >= s.horizon.Warmup }

func (s *stats) arrived(t *turn) {
	if !s.measured(t) {
		return
	}
	a := &s.accounts[t.conv.account]
	a.prompt += t.prompt
	a.fresh += t.fresh
	a.freshBlocks += t.freshBlocks
}

func (s *stats) recordFirstToken(t *turn, took time.Duration) {
	if s.measured(t) {
		a := &s.accounts[t.conv.account]
		a.ttft = append(a.ttft, took)
	}
}

func (s *stats) shed(t *turn) {
	if !s.measured(t) {
		return
	}
	a := &s.accounts[t.conv.account]
	a.shed++
	a.prompt -= t.prompt
	a.fresh -= t.fresh
	a.freshBlocks -= t.freshBlocks
}

func (s *stats) computed(r *run, tokens int) {
	if s.measured(r.turn) {
		s.accounts[r.turn.conv.account].computed += tokens
	}
}

func (s *stats) moved(bytes float64) {
	if s.at() >= s.horizon.Warmup {
		s.link += bytes
	}
}

func (a *tally) add(o *tally) {
	a.ttft = append(a.ttft, o.ttft...)
	a.shed += o.shed
	a.prompt += o.prompt
	a.computed += o.computed
	a.fresh += o.fresh
	a.freshBlocks += o.freshBlocks
}

func (a *tally) figures() Figures {
	slices.Sort(a.ttft)
	prompt := float64(max(1, a.prompt))
	return Figures{
		Served: len(a.ttft), Shed: a.shed,
		P50: quantile(a.ttft, 0.50), P95: quantile(a.ttft, 0.95), P99: quantile(a.ttft, 0.99),
		Recomputed: float64(a.computed) / prompt,
		BoundShare: float64(a.fresh) / prompt, BlockBound: float64(a.freshBlocks) / prompt,
	}
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Seconds()
}

func (s *stats) result(name string) Result {
	out := Result{Case: name}
	var all, large, small tally
	for i := range s.accounts {
		all.add(&s.accounts[i])
		if i < largeAccounts {
			large.add(&s.accounts[i])
		} else {
			small.add(&s.accounts[i])
		}
	}
	out.All, out.Large, out.Small = all.figures(), large.figures(), small.figures()
	out.All.LinkMiB = s.link / (1 << 20) / float64(max(1, out.All.Served))
	return out
}
