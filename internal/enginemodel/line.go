package enginemodel

import "slices"

const (
	// linePoints is the number of samples to which a line is fitted: those of several seconds of
	// one node's prompts in a system of a dozen nodes.
	linePoints = 48
	// fitInterval is the number of samples between two fits, each of which takes the median of
	// about 1,000 slopes.
	fitInterval = 6
	// minPoints is the number of samples, and of slopes, required for a fit.
	minPoints = 6
	// minTokenGap is the minimum difference in tokens between two samples for a slope: delays of a
	// few ms that are unrelated to reading then distort the slope by less than a fifth.
	minTokenGap = 800
)

// point is a sample: the number of tokens to read, and the time it took in ms.
type point struct{ tokens, ms float64 }

// line is the time to read as a linear function of the number of tokens. It uses the median of the
// slopes between samples (the Theil-Sen estimator), which tolerates up to 29% disturbed samples.
type line struct {
	points [linePoints]point
	n      int // samples added in total

	perToken float64 // slope, ms per token
	fixed    float64 // intercept, ms
}

// add adds a sample.
func (l *line) add(p point) {
	l.points[l.n%linePoints] = p
	l.n++
	if l.n >= minPoints && l.n%fitInterval == 0 {
		l.fit()
	}
}

// fit recomputes the line. It keeps the previous one if the samples are too similar.
func (l *line) fit() {
	points := l.points[:min(l.n, linePoints)]
	slopes := make([]float64, 0, len(points)*len(points)/2)
	for i, a := range points {
		for _, b := range points[:i] {
			if gap := a.tokens - b.tokens; gap >= minTokenGap || gap <= -minTokenGap {
				slopes = append(slopes, (a.ms-b.ms)/gap)
			}
		}
	}
	if len(slopes) < minPoints {
		return
	}
	slope := median(slopes)
	if slope <= 0 {
		return
	}
	l.perToken = slope
	residuals := make([]float64, len(points))
	for i, p := range points {
		residuals[i] = p.ms - slope*p.tokens
	}
	l.fixed = max(median(residuals), 0)
}

// median returns the median. It sorts its argument.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
