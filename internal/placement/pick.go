package placement

import "math"

// Costs within this share of the lowest, or within this many seconds of it, count as equal:
// estimates are not more accurate, and several entry nodes that see the same idle endpoint must not
// all select it.
const (
	tieShare   = 0.05
	tieSeconds = 0.005
)

// Place filters, scores and selects among the engines by their estimates. Without any estimate in
// time it falls back to PlaceByLoad. It returns ErrNoEndpoint if every candidate is out of
// rotation.
func Place(req Request, engines []EngineEstimate, stores []StoreEstimate, rng Rand) (Choice, error) {
	candidates := Filter(engines, make([]Candidate, 0, len(engines)))
	Score(req, engines, stores, candidates)
	i := Pick(candidates, rng)
	if i < 0 {
		return placeFiltered(req, engines, candidates, rng)
	}
	choice := choiceOf(engines, candidates, i)
	choice.Late = req.TimeLeft > 0 && choice.FirstToken > req.TimeLeft
	return choice, nil
}

// Pick compares the scored candidates, sets their verdicts and returns the index of the chosen one,
// or -1 if none has an estimate. Candidates that miss the deadline are considered only if all do.
// Among candidates with nearly equal costs it samples two and chooses the cheaper.
func Pick(candidates []Candidate, rng Rand) int {
	best, verdict := cheapest(candidates)
	if best < 0 {
		return -1
	}
	lowest := candidates[best].Cost
	limit := max(lowest+tieSeconds, lowest*(1+tieShare))
	chosen := selectFromTied(candidates, verdict, limit, rng)
	for i := range candidates {
		c := &candidates[i]
		switch {
		case i == chosen:
			c.Verdict = Chosen
		case c.Verdict == Considered && c.Cost <= limit:
			c.Verdict = TiedNotSelected
		case c.Verdict == Considered:
			c.Verdict = HigherCost
		}
	}
	return chosen
}

// cheapest returns the index of the candidate with the lowest cost, and the verdict of the
// candidates to compare.
func cheapest(candidates []Candidate) (int, Verdict) {
	for _, verdict := range [...]Verdict{Considered, MissesDeadline} {
		best, lowest := -1, math.Inf(1)
		for i := range candidates {
			if candidates[i].Verdict == verdict && candidates[i].Cost < lowest {
				best, lowest = i, candidates[i].Cost
			}
		}
		if best >= 0 {
			return best, verdict
		}
	}
	return -1, Considered
}

// selectFromTied samples two of the candidates with the verdict and a cost within the limit, and
// returns the index of the cheaper one.
func selectFromTied(candidates []Candidate, verdict Verdict, limit float64, rng Rand) int {
	var sample pairSample
	for i := range candidates {
		if candidates[i].Verdict == verdict && candidates[i].Cost <= limit {
			sample.offer(i, rng)
		}
	}
	return sample.cheaper(candidates, rng)
}

func choiceOf(engines []EngineEstimate, candidates []Candidate, i int) Choice {
	c := &candidates[i]
	return Choice{
		Endpoint:   c.Endpoint,
		Owner:      engines[i].Owner,
		Import:     c.Import,
		Cached:     c.Cached,
		Recompute:  c.Recompute,
		Wait:       c.Wait,
		FirstToken: c.FirstToken,
		Cost:       c.Cost,
		Candidates: candidates,
	}
}
