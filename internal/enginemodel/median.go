package enginemodel

import (
	"cmp"
	"slices"
)

// medianSamples is how many outcomes a Median looks back on.
const medianSamples = 25

// sample is one outcome with its weight.
type sample struct{ value, weight float64 }

// Median is the weighted median of the newest outcomes. It stands up to outcomes that
// were disturbed, up to half of the weight. It is not safe for concurrent use.
type Median struct {
	prior   float64 // value before the first outcome
	recent  [medianSamples]sample
	n       int // outcomes ever added
	current float64
}

// NewMedian returns a median without outcomes, whose value is the prior.
func NewMedian(prior float64) Median { return Median{prior: prior} }

// Value returns the estimate, or the prior before the first outcome.
func (m *Median) Value() float64 {
	if m.n == 0 {
		return m.prior
	}
	return m.current
}

// Outcomes returns how many outcomes were ever added.
func (m *Median) Outcomes() int { return m.n }

// Add takes an outcome. One that is not positive, or without weight, is left out.
func (m *Median) Add(value, weight float64) {
	if value <= 0 || weight <= 0 {
		return
	}
	m.recent[m.n%medianSamples] = sample{value, weight}
	m.n++
	m.current = weightedMedian(m.recent[:min(m.n, medianSamples)])
}

func weightedMedian(of []sample) float64 {
	var buf [medianSamples]sample
	sorted := buf[:copy(buf[:], of)]
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	var total, below float64
	for _, s := range sorted {
		total += s.weight
	}
	for _, s := range sorted {
		below += s.weight
		if below >= total/2 {
			return s.value
		}
	}
	return 0
}
