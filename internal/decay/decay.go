// Package decay averages outcomes of which recent ones count most, and forgets them when no
// new ones come.
package decay

import (
	"math"
	"time"
)

// Average is an exponentially weighted average that falls towards 0 while nothing is noted.
// Its zero value is 0. It is not safe for concurrent use.
type Average struct {
	value float64
	noted time.Time
}

// Note takes an outcome with a weight from 0 to 1, after the average fell by half in each
// halfLife since the last one.
func (a *Average) Note(outcome, weight float64, halfLife time.Duration, now time.Time) {
	before := a.At(halfLife, now)
	a.value = before + weight*(outcome-before)
	a.noted = now
}

// At returns the average, which fell by half in each halfLife since the last outcome.
func (a *Average) At(halfLife time.Duration, now time.Time) float64 {
	return left(a.value, a.noted, halfLife, now)
}

// Rate is how much comes in a second, lately. Its zero value is 0. It is not safe for concurrent use.
type Rate struct {
	sum   float64
	noted time.Time
}

// Note takes an amount, after what came before counts half for each halfLife since.
func (r *Rate) Note(amount float64, halfLife time.Duration, now time.Time) {
	r.sum = left(r.sum, r.noted, halfLife, now) + amount
	r.noted = now
}

// At returns the amount that comes in a second.
func (r *Rate) At(halfLife time.Duration, now time.Time) float64 {
	return left(r.sum, r.noted, halfLife, now) * math.Ln2 / halfLife.Seconds()
}

// left returns what is left of a value that falls by half in each halfLife since it was noted.
func left(value float64, noted time.Time, halfLife time.Duration, now time.Time) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-now.Sub(noted).Seconds()/halfLife.Seconds())
}
