package enginepace

import "time"

const (
	// spellsMemory is the time over which the share of slow engines is averaged: a node with streams at
	// ten engines that are slow for a tenth of the time then counts some tens of spells.
	spellsMemory = 20 * time.Second
	// minSpellShare is the share of slow engines below which no spells are expected: failing engines and
	// lost packets cause as many verdicts.
	minSpellShare = 0.03
)

// spells is how often and by how much engines are slow, averaged over the recent past. The zero value
// expects no spells.
type spells struct {
	share  float64 // of the observed engines that are slow at a time
	factor float64 // by which slow engines are slower
}

// record records how many of the engines with streams are slow now, and the sum of their factors.
func (s *spells) record(slow, observed int, factors float64) {
	weight := float64(TickInterval) / float64(spellsMemory)
	s.share += weight * (float64(slow)/float64(max(observed, 1)) - s.share)
	if slow == 0 {
		return
	}
	mean := factors / float64(slow)
	if s.factor == 0 {
		s.factor = mean
	}
	s.factor += weight * (mean - s.factor)
}

// expected returns the share of the time for which an engine is expected to be slow, and the factor by
// which it is slower then; 0 and 1 if no spells are expected.
func (s *spells) expected() (share, factor float64) {
	if s.share < minSpellShare {
		return 0, 1
	}
	return s.share, s.factor
}
