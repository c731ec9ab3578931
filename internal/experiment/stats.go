package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceLevel is the confidence level of intervals.
const confidenceLevel = 0.95

// Estimate is a value with its confidence interval.
type Estimate struct {
	Value, Low, High float64
	N                int // number of seeds
}

// Median returns the median of values over seeds. The ends of its interval are two of the values:
// the narrowest pair, symmetric in rank, between which the true median lies with a probability of at
// least 0.95. With fewer than six values the interval is their range, which contains the true median
// with a probability of 1 - 2^(1-n).
func Median(values []float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{Value: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	sorted := slices.Sorted(slices.Values(values))
	cut := trimCount(n)
	return Estimate{Value: (sorted[(n-1)/2] + sorted[n/2]) / 2, Low: sorted[cut], High: sorted[n-1-cut], N: n}
}

// trimCount returns the number of values at each end that lie outside of the interval of the median.
func trimCount(n int) int {
	below := distuv.Binomial{N: float64(n), P: 0.5}
	cut := 0
	for below.CDF(float64(cut)) <= (1-confidenceLevel)/2 {
		cut++
	}
	// With n values left out at each end, the interval misses the median if n or fewer values lie on
	// one side of it.
	return max(cut-1, 0)
}

// Difference returns the mean of the paired differences, after minus before, with its interval by
// Student's t distribution. With one pair the interval is infinite.
func Difference(before, after []float64) Estimate {
	differences := make([]float64, len(before))
	for i := range before {
		differences[i] = after[i] - before[i]
	}
	n := len(differences)
	if n == 0 {
		return Estimate{Value: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	if n == 1 {
		return Estimate{Value: mean, Low: math.Inf(-1), High: math.Inf(1), N: 1}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile((1 + confidenceLevel) / 2)
	half := t * stat.StdErr(deviation, float64(n))
	return Estimate{Value: mean, Low: mean - half, High: mean + half, N: n}
}
