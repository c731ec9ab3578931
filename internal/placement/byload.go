package placement

// PlaceByLoad places a request without estimates, by the load figures of earlier replies: of two
// candidates chosen at random it selects the one with the lower expected wait and prefill time. It
// is used for prompts shorter than one block, and for requests whose estimates all timed out. It
// returns ErrNoEndpoint if every candidate is out of rotation.
func PlaceByLoad(req Request, engines []EngineEstimate, rng Rand) (Choice, error) {
	candidates := Filter(engines, make([]Candidate, 0, len(engines)))
	return placeFiltered(req, engines, candidates, rng)
}

func placeFiltered(req Request, engines []EngineEstimate, candidates []Candidate, rng Rand) (Choice, error) {
	for i := range candidates {
		loadScore(req, &engines[i], &candidates[i])
	}
	chosen := selectByLoad(candidates, rng)
	if chosen < 0 {
		return Choice{}, ErrNoEndpoint
	}
	for i := range candidates {
		if i != chosen && candidates[i].Verdict == Considered {
			candidates[i].Verdict = HigherCost
		}
	}
	candidates[chosen].Verdict = Chosen
	choice := choiceOf(engines, candidates, chosen)
	choice.ByLoad = true
	return choice, nil
}

// loadScore computes the cost of c from the last known load. For an engine of unknown speed only
// the wait and one decode step count, so that a new engine gets work from which its speed is
// learned.
func loadScore(req Request, e *EngineEstimate, c *Candidate) {
	if c.Verdict == OutOfRotation {
		return
	}
	c.Recompute = req.PromptTokens
	c.Wait = e.LastWait
	c.FirstToken = c.Wait + e.StepTime
	if e.PrefillRate > 0 {
		c.FirstToken += seconds(float64(c.Recompute) / e.PrefillRate)
	}
	c.Cost = cost(req.Weights, c)
}

// selectByLoad samples two candidates in rotation and returns the index of the cheaper one, or -1
// if there is none.
func selectByLoad(candidates []Candidate, rng Rand) int {
	var sample pairSample
	for i := range candidates {
		if candidates[i].Verdict != OutOfRotation {
			sample.offer(i, rng)
		}
	}
	return sample.cheaper(candidates, rng)
}
