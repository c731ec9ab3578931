package experiment

import (
	"math"
)

// Measure is a figure of a class in one run.
type Measure struct {
	Name string
	// Decimals is the number of decimal places shown.
	Decimals int
	// value returns the figure, or NaN if the run does not have it.
	value func(c *ClassRun) float64
}

// Indexes of percentiles in ClassRun.FirstEventMs, and the decimal places of shares.
const (
	medianIndex   = 50 / percentileStep
	p95Index      = 95 / percentileStep
	shareDecimals = 3
)

// Measures returns the figures of a class to compare: shares of callers, and percentiles of the time
// to first event of served callers.
func Measures() []Measure {
	return []Measure{
		{"in time", shareDecimals, share(func(c *Counts) int { return c.InTime })},
		{"late", shareDecimals, share(func(c *Counts) int { return c.Late })},
		{"refused", shareDecimals, share(func(c *Counts) int { return c.Refused })},
		{"retried", shareDecimals, share(func(c *Counts) int { return c.Retried })},
		{"p50 ms", 0, firstEvent(medianIndex)},
		{"p95 ms", 0, firstEvent(p95Index)},
	}
}

func share(count func(*Counts) int) func(*ClassRun) float64 {
	return func(c *ClassRun) float64 {
		if c.Total() == 0 {
			return math.NaN()
		}
		return float64(count(&c.Counts)) / float64(c.Total())
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

// policyRuns returns a policy's runs in the order of the seeds.
func (f *File) policyRuns(runs []Run, policy string) []Run {
	for i, p := range f.Policies {
		if p.Name == policy {
			return runs[i*len(f.Seeds) : (i+1)*len(f.Seeds)]
		}
	}
	return nil
}

// values returns a figure of a class by seed, NaN for runs without it.
func values(runs []Run, class int, m *Measure) []float64 {
	all := make([]float64, len(runs))
	for i := range runs {
		all[i] = m.value(&runs[i].Classes[class])
	}
	return all
}

// withoutNaN returns the values that are not NaN.
func withoutNaN(values []float64) []float64 {
	var left []float64
	for _, v := range values {
		if !math.IsNaN(v) {
			left = append(left, v)
		}
	}
	return left
}

// Compare returns the mean difference of a figure of a class, second policy minus first, over the
// seeds for which both have the figure.
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

// HasPolicy reports whether the experiment has a policy with the given name.
func (f *File) HasPolicy(name string) bool {
	for _, p := range f.Policies {
		if p.Name == name {
			return true
		}
	}
	return false
}
