package enginemodel

import (
	"cmp"
	"slices"
)

// medianSamples is the number of recent samples that a Median covers.
const medianSamples = 25

// sample is a value with its weight.
type sample struct{ value, weight float64 }

// Median is the weighted median of recent samples. It tolerates disturbed samples with up to half
// of the total weight. It is not safe for concurrent use.
type Median struct {
	prior   float64 // value before the first sample
	recent  [medianSamples]sample
	n       int // samples added in total
	current float64
}

// NewMedian returns a median without samples, whose value is the prior.
func NewMedian(prior float64) Median { return Median{prior: prior} }

// Value returns the median, or the prior before the first sample.
func (m *Median) Value() float64 {
	if m.n == 0 {
		return m.prior
	}
	return m.current
}

// Samples returns the number of samples added in total.
func (m *Median) Samples() int { return m.n }

// Add adds a sample. It ignores samples whose value or weight is not positive.
func (m *Median) Add(value, weight float64) {
	if value <= 0 || weight <= 0 {
		return
	}
	m.recent[m.n%medianSamples] = sample{value, weight}
	m.n++
	m.current = weightedMedian(m.recent[:min(m.n, medianSamples)])
}

func weightedMedian(samples []sample) float64 {
	var buf [medianSamples]sample
	sorted := buf[:copy(buf[:], samples)]
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	var total, cumulative float64
	for _, s := range sorted {
		total += s.weight
	}
	for _, s := range sorted {
		cumulative += s.weight
		if cumulative >= total/2 {
			return s.value
		}
	}
	return 0
}
