package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// SlopeID identifies a slope.
type SlopeID string

// Growth is the function that is fitted to the points.
type Growth uint8

// The functions.
const (
	Linear Growth = iota // a line
	Flat                 // the mean: the value does not depend on the size
)

// minPoints is the minimum number of points for a fit.
const minPoints = 3

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope holds measurements of a cost at several sizes.
type Slope struct {
	ID      SlopeID
	Title   string
	Unit    string  // of the values
	Per     string  // unit of the sizes
	Growth  Growth  // function that is fitted
	Points  []Point // ordered by size; empty if not measured
	Command string  // command that measures the points
	Load    string  // load average of the machine, of 12 cores
}

// Fit is a least-squares fit of a slope's points.
type Fit struct {
	Intercept float64
	Slope     float64 // increase per unit of size
	// Residual is the residual standard error: the square root of the sum of squared residuals
	// divided by the degrees of freedom, in the unit of the values.
	Residual float64
}

// Fit fits the points. ok is false if there are fewer than minPoints.
func (s *Slope) Fit() (f Fit, ok bool) {
	if len(s.Points) < minPoints {
		return Fit{}, false
	}
	x, y := s.columns()
	free := len(x) - 1
	if s.Growth == Flat {
		f.Intercept = stat.Mean(y, nil)
	} else {
		f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
		free--
	}
	squares := 0.0
	for i := range x {
		d := y[i] - f.At(x[i])
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / float64(free))
	return f, true
}

func (s *Slope) columns() (x, y []float64) {
	for _, p := range s.Points {
		x = append(x, p.Size)
		y = append(y, p.Value)
	}
	return x, y
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Figure is a value derived from slopes, with its error. It is unknown if a slope that it depends on is
// not measured.
type Figure struct {
	Value float64
	Error float64 // propagated from the residuals of the slopes
	Known bool
}

// ExactFigure returns a known figure without error.
func ExactFigure(v float64) Figure { return Figure{Value: v, Known: true} }

// At returns the slope's fitted value at a size.
func (s *Slope) At(size float64) Figure {
	f, ok := s.Fit()
	if !ok {
		return Figure{}
	}
	return Figure{Value: f.At(size), Error: f.Residual, Known: true}
}

// PerUnit returns the increase of the cost per unit of size. It is unknown for flat slopes.
func (s *Slope) PerUnit() Figure {
	f, ok := s.Fit()
	if !ok || s.Growth == Flat {
		return Figure{}
	}
	largest := s.Points[len(s.Points)-1].Size
	return Figure{Value: f.Slope, Error: f.Residual / largest, Known: true}
}

// Times returns the figure times a factor.
func (f Figure) Times(factor float64) Figure {
	return Figure{Value: f.Value * factor, Error: f.Error * math.Abs(factor), Known: f.Known}
}

// Plus returns the sum of two figures, unknown if either is.
func (f Figure) Plus(g Figure) Figure {
	return Figure{Value: f.Value + g.Value, Error: f.Error + g.Error, Known: f.Known && g.Known}
}
