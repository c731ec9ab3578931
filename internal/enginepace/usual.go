package enginepace

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// sampleCount is the number of recent samples that an estimate is based on, and fitInterval the
	// number of new ones after which it is computed again: sorting them takes a few microseconds.
	sampleCount, fitInterval = 64, 8
	// minUsualSamples is the number of samples required for a usual spacing.
	minUsualSamples = 16
	// sampleInterval is the shortest time between two samples of a spacing, so that all samples
	// together span more than two of the slow spells described in the design page (600 ms).
	sampleInterval = 25 * time.Millisecond
	// batchClasses is the number of classes of batch sizes, each of which spans a factor of 2.
	batchClasses = 16
)

// samples holds the most recent values of a quantity.
type samples struct {
	recent [sampleCount]float64
	n      int // added in total
}

// add adds a value, and reports whether estimates are to be computed again.
func (s *samples) add(value float64) bool {
	s.recent[s.n%sampleCount] = value
	s.n++
	return s.n%fitInterval == 0
}

// quantile returns the value below which the given share of the samples lies.
func (s *samples) quantile(share float64) float64 {
	var buf [sampleCount]float64
	sorted := buf[:copy(buf[:], s.recent[:min(s.n, sampleCount)])]
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)-1)+0.5)]
}

// usualSpacing learns the usual time between two events of a stream on engines without pending
// prefill, by batch size: each further run lengthens the steps of an engine, up to several times
// those of a single run.
type usualSpacing struct{ classes [batchClasses]spacingClass }

// spacingClass is the usual spacing for a class of batch sizes.
type spacingClass struct {
	samples samples
	at      time.Time // of the newest sample
	ms      float64   // median; 0 if unknown
}

// classOf returns the class of a batch size: 0 and 1, 2 and 3, 4 to 7, 8 to 15, and so on.
func classOf(running int) int {
	return min(max(bits.Len(uint(max(running, 1)))-1, 0), batchClasses-1)
}

// add adds a spacing in ms, observed with the given number of runs at the engine.
func (u *usualSpacing) add(running int, ms float64, now time.Time) {
	class := &u.classes[classOf(running)]
	if now.Sub(class.at) < sampleInterval {
		return
	}
	class.at = now
	if class.samples.add(ms) && class.samples.n >= minUsualSamples {
		class.ms = class.samples.quantile(0.5)
	}
}

// at returns the usual spacing in ms for a batch size, or 0 if unknown. Without samples of that
// class it returns an upper bound from the nearest others: the spacing does not fall with the batch
// size, and grows at most in proportion to it.
func (u *usualSpacing) at(running int) float64 {
	class := classOf(running)
	if ms := u.classes[class].ms; ms > 0 {
		return ms
	}
	bound := 0.0
	for larger := class + 1; larger < batchClasses && bound == 0; larger++ {
		bound = u.classes[larger].ms
	}
	for smaller := class - 1; smaller >= 0; smaller-- {
		if ms := u.classes[smaller].ms; ms > 0 {
			ms *= float64(int(1) << (class - smaller))
			if bound == 0 || ms < bound {
				bound = ms
			}
			break
		}
	}
	return bound
}

const (
	// stallQuantile is the quantile of the observed stalls that counts as the longest one at an engine
	// that is not slow. Higher values may come from slow engines, lower ones from stalls during which
	// prefill began or ended.
	stallQuantile = 0.9
	// stallMargin is the margin for errors of the bound on what prefill explains. The bound rests on
	// the longest stall: too low a bound would make all engines that prefill long prompts look slow.
	stallMargin = 1.5
	// minStalls is the number of samples required for an estimate.
	minStalls = 16
)

// stallLimit learns how many prompt tokens an engine prefills at most between two events of a
// stream: a chunk in each step of an event. Neither the chunk size nor a limit is configured.
type stallLimit struct {
	samples samples
	usual   float64 // usual maximum, in tokens; 0 if unknown
	most    float64 // upper bound, in tokens; 0 if unknown
}

// add adds the tokens that could be prefilled in the time by which a gap exceeded the usual spacing.
func (l *stallLimit) add(tokens float64) {
	if l.samples.add(tokens) && l.samples.n >= minStalls {
		l.usual, l.most = l.samples.quantile(stallQuantile), stallMargin*l.samples.quantile(1)
	}
}

// bound limits the tokens prefilled while the given number of events were made.
func (l *stallLimit) bound(tokens float64, events int) float64 {
	if l.most <= 0 {
		return tokens
	}
	return min(tokens, l.most*float64(events))
}
