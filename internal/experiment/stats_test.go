package experiment

import (
	"bytes"
	"math"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestMedian compares with manually calculated intervals. Of nine values, one or fewer lies below
// the median with a probability of 10/512 = 0.0195, two or fewer with 46/512 = 0.0898, so the ends
// are the second and the eighth value. Of six values, none lies below it with a probability of 1/64
// = 0.0156, one or fewer with 7/64.
func TestMedian(t *testing.T) {
	for _, tc := range []struct {
		values           []float64
		value, low, high float64
	}{
		{[]float64{4}, 4, 4, 4},
		{[]float64{3, 1}, 2, 1, 3},
		{[]float64{6, 1, 5, 2, 4, 3}, 3.5, 1, 6},
		{[]float64{9, 8, 7, 6, 5, 4, 3, 2, 1}, 5, 2, 8},
	} {
		test.Eq(t, Estimate{Value: tc.value, Low: tc.low, High: tc.high, N: len(tc.values)}, Median(tc.values))
	}
	test.True(t, math.IsNaN(Median(nil).Value))
}

// TestDifference compares with manually calculated figures: the differences 1, 2 and 3 have the mean
// 2, the standard deviation 1 and the standard error 1/√3 = 0.57735. Student's t for two degrees of
// freedom at 0.975 is 4.30265, so half the interval is 2.48414.
func TestDifference(t *testing.T) {
	d := Difference([]float64{10, 20, 30}, []float64{11, 22, 33})
	test.Eq(t, 3, d.N)
	test.InDelta(t, 2, d.Value, 1e-9)
	test.InDelta(t, -0.48414, d.Low, 1e-5)
	test.InDelta(t, 4.48414, d.High, 1e-5)
	one := Difference([]float64{1}, []float64{3})
	test.Eq(t, Estimate{Value: 2, Low: math.Inf(-1), High: math.Inf(1), N: 1}, one)
	test.True(t, math.IsNaN(Difference(nil, nil).Value))
}

// testRun returns a run with one class.
func testRun(policy string, seed uint64, inTime, refused int, ms ...float64) Run {
	return Run{Policy: policy, Seed: seed, Classes: []ClassRun{{Class: "c", Counts: Counts{InTime: inTime, Refused: refused}, FirstEventMs: ms}}}
}

// TestComparePairs verifies that runs are paired by seed, and that seeds without a figure in one of
// them are left out. The shares in time are 0.5, 0.6, 0.7 and 0.6, 0.8, 1.0: the differences 0.1,
// 0.2 and 0.3 have the mean 0.2, and half the interval is 0.24841.
func TestComparePairs(t *testing.T) {
	f := &File{Seeds: []uint64{1, 2, 3}, Load: []Class{{Name: "c"}}, Policies: []Policy{{Name: "p"}, {Name: "q"}}}
	runs := []Run{
		testRun("p", 1, 5, 5), testRun("p", 2, 6, 4), testRun("p", 3, 7, 3),
		testRun("q", 1, 6, 4), testRun("q", 2, 8, 2), testRun("q", 3, 10, 0),
	}
	inTime := Measures()[0]
	d := f.Compare(runs, 0, &inTime, "p", "q")
	test.InDelta(t, 0.2, d.Value, 1e-9)
	test.InDelta(t, -0.04841, d.Low, 1e-5)
	test.InDelta(t, 0.44841, d.High, 1e-5)
	back := f.Compare(runs, 0, &inTime, "q", "p")
	test.InDelta(t, -0.2, back.Value, 1e-9)

	runs[4] = testRun("q", 2, 0, 0)
	test.Eq(t, 2, f.Compare(runs, 0, &inTime, "p", "q").N)
	var out bytes.Buffer
	must.NoError(t, f.WriteSummary(&out, runs))
	must.NoError(t, f.WriteComparison(&out, runs, "p", "q"))
	must.StrContains(t, out.String(), "0.600 [0.500, 0.700]")
	must.StrContains(t, out.String(), "+0.200 [-1.071, +1.471]")
	must.StrNotContains(t, out.String(), "NaN")
}

// TestSignificanceMark verifies that differences are marked if their interval does not contain 0.
func TestSignificanceMark(t *testing.T) {
	test.Eq(t, "+2.0 [+1.0, +3.0] *", Estimate{Value: 2, Low: 1, High: 3}.formatSigned(1))
	test.Eq(t, "-2.0 [-3.0, +0.5]", Estimate{Value: -2, Low: -3, High: 0.5}.formatSigned(1))
}
