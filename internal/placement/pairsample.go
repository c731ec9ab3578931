package placement

// pairSample is a reservoir sample of two of the offered indices; each pair is equally likely.
// Selecting the better of two random candidates spreads the requests of entry nodes that have the
// same estimates.
type pairSample struct {
	picks   [2]int
	offered int
}

func (s *pairSample) offer(i int, rng Rand) {
	slot := s.offered
	s.offered++
	if slot >= len(s.picks) {
		slot = rng.IntN(s.offered)
	}
	if slot < len(s.picks) {
		s.picks[slot] = i
	}
}

// cheaper returns the cheaper of the two sampled indices, a random one if their costs are equal,
// and -1 if none was offered.
func (s *pairSample) cheaper(candidates []Candidate, rng Rand) int {
	if s.offered == 0 {
		return -1
	}
	if s.offered == 1 {
		return s.picks[0]
	}
	a, b := candidates[s.picks[0]].Cost, candidates[s.picks[1]].Cost
	if b < a || (a == b && rng.IntN(2) == 1) {
		return s.picks[1]
	}
	return s.picks[0]
}
