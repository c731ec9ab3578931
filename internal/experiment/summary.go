package experiment

import (
	"math"
)

// Measure is a figure of a class in one run.
type Measure struct {
	Name string
	// Decimals is the number of digits after the point that are shown.
	Decimals int
	// of returns NaN where the run has no such figure.
	of func(c *ClassRun) float64
}

// Positions of percentiles in ClassRun.FirstEventMs.
const (
	half       = 50 / percentileStep
	nearlyAll  = 95 / percentileStep
	shareDigit = 3
)

// Measures returns the figures of a class that are compared: shares of callers, and times to
// the first event of those served.
func Measures() []Measure {
	return []Measure{
		{"in time", shareDigit, share(func(c *Counts) int { return c.InTime })},
		{"late", shareDigit, share(func(c *Counts) int { return c.Late })},
		{"refused", shareDigit, share(func(c *Counts) int { return c.Refused })},
		{"retried", shareDigit, share(func(c *Counts) int { return c.Retried })},
		{"p50 ms", 0, firstEvent(half)},
		{"p95 ms", 0, firstEvent(nearlyAll)},
	}
}

func share(count func(*Counts) int) func(*ClassRun) float64 {
	return func(c *ClassRun) float64 {
		if c.Asked() == 0 {
			return math.NaN()
		}
		return float64(count(&c.Counts)) / float64(c.Asked())
	}
}

func firstEvent(at int) func(*ClassRun) float64 {
	return func(c *ClassRun) float64 {
		if at >= len(c.FirstEventMs) {
			return math.NaN()
		}
		return c.FirstEventMs[at]
	}
}

// policyRuns returns a policy's runs, in the order of the seeds.
func (f *File) policyRuns(runs []Run, policy string) []Run {
	for i, p := range f.Policies {
		if p.Name == policy {
			return runs[i*len(f.Seeds) : (i+1)*len(f.Seeds)]
		}
	}
	return nil
}

// values returns a figure of a class by seed; NaN where a run has none.
func values(runs []Run, class int, m *Measure) []float64 {
	all := make([]float64, len(runs))
	for i := range runs {
		all[i] = m.of(&runs[i].Classes[class])
	}
	return all
}

// known returns the values that are not NaN.
func known(values []float64) []float64 {
	var left []float64
	for _, v := range values {
		if !math.IsNaN(v) {
			left = append(left, v)
		}
	}
	return left
}

// Compare returns how a figure of a class differs under the second policy from the first, over
// the seeds with which both have it.
func (f *File) Compare(runs []Run, class int, m *Measure, first, second string) Estimate {
	a, b := values(f.policyRuns(runs, first), class, m), values(f.policyRuns(runs, second), class, m)
	var before, after []float64
	for i := range a {
		if !math.IsNaN(a[i]) && !math.IsNaN(b[i]) {
			before, after = append(before, a[i]), append(after, b[i])
		}
	}
	return Difference(before, after)
}

// HasPolicy reports whether the experiment has a policy of this name.
func (f *File) HasPolicy(name string) bool {
	for _, p := range f.Policies {
		if p.Name == name {
			return true
		}
	}
	return false
}
