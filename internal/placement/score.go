package placement

import "time"

const mebibyte = 1 << 20

// Score sets the cost of each candidate that is still Considered, for the cheapest import, and
// marks those that miss the deadline.
func Score(req Request, engines []EngineEstimate, stores []StoreEstimate, candidates []Candidate) {
	for i := range candidates {
		c := &candidates[i]
		if c.Verdict != Considered {
			continue
		}
		scoreCandidate(req, &engines[i], stores, c)
		if req.TimeLeft > 0 && c.FirstToken > req.TimeLeft {
			c.Verdict = MissesDeadline
		}
	}
}

func scoreCandidate(req Request, e *EngineEstimate, stores []StoreEstimate, c *Candidate) {
	c.Cached = min(e.CachedTokens, req.PromptTokens)
	evaluate(req, e, Import{}, c)
	for i := range stores {
		tryImport(req, e, &stores[i], c)
	}
}

// tryImport changes c to an import from s if that is cheaper. The cost is piecewise linear in the
// import length. Besides no import, only the maximum length and the lengths around the point where
// the import begins to take longer than the engine's queue need to be evaluated.
func tryImport(req Request, e *EngineEstimate, s *StoreEstimate, c *Candidate) {
	usable := s.Status == Known && s.Layout == e.Layout && s.Rate > 0 && e.ImportRate > 0 && e.BlockTokens > 0
	if !usable {
		return
	}
	held := min(s.HeldTokens, req.PromptTokens)
	maxBlocks := (held - c.Cached) / e.BlockTokens
	if maxBlocks <= 0 {
		return
	}
	perBlock := float64(e.BlockBytes) / min(s.Rate, e.ImportRate)
	applyIfCheaper(req, e, s, perBlock, maxBlocks, c)
	blocksWithinWait := 0
	if e.Wait > s.QueueDelay {
		blocksWithinWait = int((e.Wait - s.QueueDelay).Seconds() / perBlock)
	}
	for blocks := max(blocksWithinWait, 1); blocks <= min(blocksWithinWait+1, maxBlocks); blocks++ {
		applyIfCheaper(req, e, s, perBlock, blocks, c)
	}
}

// applyIfCheaper changes c to an import of the given number of blocks from s if that costs less and
// does not endanger the deadline.
func applyIfCheaper(req Request, e *EngineEstimate, s *StoreEstimate, perBlock float64, blocks int, c *Candidate) {
	imp := Import{
		Store:     s.Store,
		FromToken: c.Cached,
		Tokens:    blocks * e.BlockTokens,
		Bytes:     int64(blocks) * e.BlockBytes,
		Transfer:  s.QueueDelay + seconds(perBlock*float64(blocks)),
	}
	changed := *c
	evaluate(req, e, imp, &changed)
	if changed.Cost < c.Cost && !endangersDeadline(req, e, changed) {
		*c = changed
		c.Import.Patience = importTimeout(req, e, changed)
	}
}

// maxImportShare is the maximum share of the remaining time that an import may be expected to take:
// links can slow down, and the tokens may then still have to be computed.
const maxImportShare = 0.5

// endangersDeadline reports whether the import of c could make the request miss its deadline.
func endangersDeadline(req Request, e *EngineEstimate, c Candidate) bool {
	if req.TimeLeft <= 0 {
		return false
	}
	compute := seconds(float64(c.Import.Tokens) / e.PrefillRate)
	tooLong := c.Import.Transfer > time.Duration(maxImportShare*float64(req.TimeLeft))
	return tooLong || c.FirstToken+compute > req.TimeLeft
}

// maxImportTimeout is the timeout of an import that the costs do not limit to less, for example
// because the objective does not weigh time.
const maxImportTimeout = time.Hour

// importTimeout returns the duration at which the import of c costs as much as no import.
func importTimeout(req Request, e *EngineEstimate, c Candidate) time.Duration {
	none := c
	evaluate(req, e, Import{}, &none)
	weight := req.Weights.FirstTokenSeconds
	if req.Weights == (Objective{}) {
		weight = 1
	}
	extra := (none.Cost - c.Cost) / weight
	if !(extra < maxImportTimeout.Seconds()) {
		return maxImportTimeout
	}
	return c.Wait + seconds(extra)
}

// evaluate sets the estimates of c for one import. The import runs while the request is queued at
// the engine; the prefill starts when both have ended.
func evaluate(req Request, e *EngineEstimate, imp Import, c *Candidate) {
	c.Import = imp
	c.Recompute = max(0, req.PromptTokens-c.Cached-imp.Tokens)
	c.Wait = max(e.Wait, imp.Transfer)
	c.FirstToken = c.Wait + seconds(float64(c.Recompute)/e.PrefillRate) + e.StepTime
	c.Cost = cost(req.Weights, c) + crowdingCost(req.Weights, e, c)
}

// crowdingCost returns the delay that the prefill causes to other requests at the engine, in the
// objective's units. It assumes that as many requests arrive during the prefill as are queued now.
// As queues grow, it moves prompts to the engines that have them cached.
func crowdingCost(w Objective, e *EngineEstimate, c *Candidate) float64 {
	if w == (Objective{}) {
		w.FirstTokenSeconds = 1
	}
	return w.FirstTokenSeconds * float64(e.Waiting) * float64(c.Recompute) / e.PrefillRate
}

func cost(w Objective, c *Candidate) float64 {
	if w == (Objective{}) {
		return c.FirstToken.Seconds()
	}
	return w.FirstTokenSeconds*c.FirstToken.Seconds() +
		w.RecomputedToken*float64(c.Recompute) +
		w.linkCost(c.Import.Bytes)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
