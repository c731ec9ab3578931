package capacity

import (
	"bytes"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	page       = "../../docs/CAPACITY.md"
	pageBegin  = "<!-- begin: go run ./cmd/cherryctl capacity --markdown -->\n"
	pageEnd    = "<!-- end -->\n"
	updateHint = "put the output of `go run ./cmd/cherryctl capacity --markdown` between the marks"
)

// TestPageCurrent verifies that the tables on the capacity page match the model's output.
func TestPageCurrent(t *testing.T) {
	var want bytes.Buffer
	must.NoError(t, WriteMarkdown(&want))
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	_, rest, found := strings.Cut(string(got), pageBegin)
	must.True(t, found, must.Sprint(pageBegin))
	tables, _, found := strings.Cut(rest, pageEnd)
	must.True(t, found, must.Sprint(pageEnd))
	must.Eq(t, want.String(), tables, must.Sprint(updateHint))
}

// TestFitFindsLine verifies that the fit recovers lines with added noise. The noise sums to zero and is
// orthogonal to the sizes, so that it doesn't change the least-squares fit.
func TestFitFindsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(-100, 100).Draw(t, "a"), rapid.Float64Range(-100, 100).Draw(t, "b")
		d := rapid.Float64Range(0, 10).Draw(t, "d")
		s := Slope{Growth: Linear}
		for i, sign := range []float64{1, -1, -1, 1} {
			s.Points = append(s.Points, Point{float64(i), a + b*float64(i) + sign*d})
		}
		f, ok := s.Fit()
		must.True(t, ok)
		must.InDelta(t, a, f.Intercept, 1e-9)
		must.InDelta(t, b, f.Slope, 1e-9)
		must.InDelta(t, d*math.Sqrt2, f.Residual, 1e-9)
	})
}

// TestFitsReproduce verifies the fits of all slopes independently: the residuals of a least-squares fit
// sum to zero and are orthogonal to the sizes.
func TestFitsReproduce(t *testing.T) {
	for _, s := range NewModel().Slopes {
		f, ok := s.Fit()
		must.Eq(t, len(s.Points) >= minPoints, ok, must.Sprint(s.ID))
		if !ok {
			must.Eq(t, Figure{}, s.At(1), must.Sprint(s.ID))
			continue
		}
		must.True(t, slices.IsSortedFunc(s.Points, func(a, b Point) int { return int(a.Size - b.Size) }), must.Sprint(s.ID))
		sum, moment, squares, scale := 0.0, 0.0, 0.0, 0.0
		for _, p := range s.Points {
			d := p.Value - f.At(p.Size)
			sum += d
			moment += d * p.Size
			squares += d * d
			scale += math.Abs(p.Value) * (1 + p.Size)
		}
		must.InDelta(t, 0, sum/scale, 1e-9, must.Sprint(s.ID))
		free := float64(len(s.Points) - 1)
		if s.Growth == Linear {
			must.InDelta(t, 0, moment/scale, 1e-9, must.Sprint(s.ID))
			free--
		}
		must.InDelta(t, math.Sqrt(squares/free), f.Residual, 1e-6*(1+f.Residual), must.Sprint(s.ID))
	}
}

func TestSlopesComplete(t *testing.T) {
	m := NewModel()
	seen := make(map[SlopeID]bool)
	for _, s := range m.Slopes {
		must.False(t, seen[s.ID], must.Sprint(s.ID))
		seen[s.ID] = true
		must.NotEq(t, "", s.Command, must.Sprint(s.ID))
		must.NotEq(t, "", s.Unit, must.Sprint(s.ID))
		must.Eq(t, len(s.Points) == 0, s.Load == "", must.Sprint(s.ID))
	}
	for _, l := range slices.Concat(m.Standing(), m.Base(), m.Request(), m.Messages()) {
		measured := true
		for _, id := range l.Slopes {
			must.True(t, seen[id], must.Sprintf("%s: %s", l.What, id))
			measured = measured && len(m.Slope(id).Points) >= minPoints
		}
		must.Eq(t, l.NotMeasured, !measured, must.Sprint(l.What))
	}
}

// TestMissingSlopeIsNotMeasured verifies that figures derived from a slope without points are unknown
// instead of zero.
func TestMissingSlopeIsNotMeasured(t *testing.T) {
	m := NewModel()
	m.Slopes = slices.Clone(m.Slopes)
	m.Slope(HostsBytes).Points = nil
	must.False(t, m.hostsLine().Bytes.Known)
	must.False(t, Sum([]Line{m.hostsLine()}, BytesOf).Known)
	must.Eq(t, "-", m.hostsLine().Bytes.inUnit(1))
	must.True(t, slices.ContainsFunc(m.slopeTable().rows, func(row []string) bool { return row[0] == string(HostsBytes) && row[3] == notMeasured }))
}

// TestCallsOfRequest compares the model's bytes of a request with those counted by node processes, for
// 5 endpoints and several numbers of nodes.
func TestCallsOfRequest(t *testing.T) {
	m := NewModel()
	chunks := m.Work.Chunks()
	for _, p := range m.Slope(RequestBytes).Points {
		others := 1 - 1/p.Size
		remote := p.Size*(1-math.Pow(others, 5)) - (1 - math.Pow(others, 5))
		bytes := remote*m.at(EstimateBytes, chunks).Value + others*(m.at(GrantBytes, chunks).Value+m.at(FirstBytes, chunks).Value+m.at(ReleaseBytes, chunks).Value+m.at(OfferBytes, chunks).Value)
		must.InDelta(t, 1, bytes/p.Value, 0.25, must.Sprint(p.Size))
	}
}

func TestNumber(t *testing.T) {
	for want, v := range map[string]float64{"0": 0, "12.0": 12, "1,230,000": 1_226_390, "0.0105": 0.01053, "-2,810": -2813.4, "100": 99.99} {
		must.Eq(t, want, formatNumber(v, valueDigits))
	}
	must.Eq(t, "1,226,853", formatExact(1_226_853))
	must.Eq(t, "0.887", formatExact(0.887))
}
