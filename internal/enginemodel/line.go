package enginemodel

import "slices"

const (
	// linePoints is how many outcomes a line is fitted to: some seconds of one node's
	// prompts in a system of a dozen nodes.
	linePoints = 48
	// fitEvery is how many outcomes come between two fits, each of which takes the median
	// of some 1,000 slopes.
	fitEvery = 6
	// fewestPoints is how many outcomes the first fit waits for.
	fewestPoints = 6
	// leastApart is the difference in tokens from which two outcomes tell a slope: delays
	// of some ms that have nothing to do with reading stay below a fifth of it.
	leastApart = 800
)

// point is an outcome: tokens that were to be read, and ms until that was done.
type point struct{ tokens, ms float64 }

// line is the time to read as a function of the tokens, by the median of the slopes
// between outcomes (the Theil-Sen estimator), of which 29% may be disturbed.
type line struct {
	points [linePoints]point
	n      int // outcomes ever added

	perToken float64 // ms
	fixed    float64 // ms
}

// add takes an outcome.
func (l *line) add(p point) {
	l.points[l.n%linePoints] = p
	l.n++
	if l.n >= fewestPoints && l.n%fitEvery == 0 {
		l.fit()
	}
}

// fit fits the line anew. Where outcomes are too much alike it keeps what it had.
func (l *line) fit() {
	points := l.points[:min(l.n, linePoints)]
	slopes := make([]float64, 0, len(points)*len(points)/2)
	for i, a := range points {
		for _, b := range points[:i] {
			if apart := a.tokens - b.tokens; apart >= leastApart || apart <= -leastApart {
				slopes = append(slopes, (a.ms-b.ms)/apart)
			}
		}
	}
	if len(slopes) < fewestPoints {
		return
	}
	slope := middle(slopes)
	if slope <= 0 {
		return
	}
	l.perToken = slope
	rest := make([]float64, len(points))
	for i, p := range points {
		rest[i] = p.ms - slope*p.tokens
	}
	l.fixed = max(middle(rest), 0)
}

// middle returns the median. It sorts its argument.
func middle(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
