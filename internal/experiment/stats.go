package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// level is the probability with which intervals are to hold the true value.
const level = 0.95

// Estimate is a value with its interval.
type Estimate struct {
	Value, Low, High float64
	N                int // seeds that it rests on
}

// Median returns the median of values over seeds. The interval's ends are two of the values,
// those furthest in between which the true median lies with a probability of 0.95; with fewer
// than six values it is their whole range, which holds it with 1 - 2^(1-n).
func Median(values []float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{Value: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	sorted := slices.Sorted(slices.Values(values))
	cut := cutOff(n)
	return Estimate{Value: (sorted[(n-1)/2] + sorted[n/2]) / 2, Low: sorted[cut], High: sorted[n-1-cut], N: n}
}

// cutOff returns how many values may be cut off at each end.
func cutOff(n int) int {
	below := distuv.Binomial{N: float64(n), P: 0.5}
	cut := 0
	for below.CDF(float64(cut)) <= (1-level)/2 {
		cut++
	}
	// Cutting off so many misses where that many values or fewer lie on one side.
	return max(cut-1, 0)
}

// Difference returns the mean of paired differences, after minus before, with its interval by
// Student's t distribution. With one pair the interval is not known.
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
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile((1 + level) / 2)
	half := t * stat.StdErr(deviation, float64(n))
	return Estimate{Value: mean, Low: mean - half, High: mean + half, N: n}
}
