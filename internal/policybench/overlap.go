package policybench

import (
	"time"

	"github.com/cherryward/cherryward/internal/placement"
)

// This file models engines that compute the head of a prompt while its tail is imported. Placement is
// unchanged; the import of the chosen engine is split where that costs least.

// splitImport returns the number of leading blocks of the choice's import that should be computed while
// the other blocks are imported.
func (s *system) splitImport(c placement.Choice, e placement.EngineEstimate, held []placement.StoreEstimate) int {
	n := c.Import.Tokens / blockTokens
	if n == 0 {
		return 0
	}
	var delay time.Duration
	for _, st := range held {
		if st.Store == c.Import.Store {
			delay = st.QueueDelay
		}
	}
	w := s.profile.Objective
	block := (c.Import.Transfer - delay).Seconds() / float64(n)
	compute := blockTokens / e.PrefillRate
	each := w.FirstTokenSeconds*compute*float64(e.Waiting) + w.RecomputedToken*blockTokens - w.LinkMebibyte*blockBytes/(1<<20)
	best, minCost := 0, 0.0
	for k := range n + 1 {
		first := max(e.Wait.Seconds()+float64(k)*compute, delay.Seconds()+float64(n-k)*block)
		if cost := w.FirstTokenSeconds*first + each*float64(k); k == 0 || cost < minCost {
			best, minCost = k, cost
		}
	}
	return best
}

// tail is the part of an import that arrives while the engine computes the head.
type tail struct {
	from    int // token
	arrived int // tokens
	ended   bool
	onEnd   func()
}

// end marks the import as ended and resumes a prefill that waits for it.
func (t *tail) end() {
	t.ended = true
	if t.onEnd != nil {
		t.onEnd()
	}
}

// wait calls do once the import has ended.
func (t *tail) wait(do func()) {
	if t.ended {
		do()
		return
	}
	t.onEnd = do
}

// beginSplit prefills the head, waits for the import of the tail, then prefills the rest.
func (e *engine) beginSplit(r *run) {
	head := max(0, r.tail.from-r.cached)
	cached := r.cached
	e.computed(r, head)
	e.clock.after(e.prefillTime(head), func() {
		r.tail.wait(func() {
			if r.ended {
				return
			}
			rest := max(1, r.turn.prompt-max(cached, r.tail.from+r.tail.arrived))
			r.cached = max(0, r.turn.prompt-head-rest)
			e.computed(r, rest)
			e.clock.after(e.prefillTime(rest), func() { e.prefilled(r) })
		})
	})
}
