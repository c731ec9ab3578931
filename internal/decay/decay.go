// Package decay provides averages and rates that decay exponentially with time.
package decay

import (
	"math"
	"time"
)

// Average is an exponentially weighted average that decays towards 0 without new values. The zero
// value is 0. It is not safe for concurrent use.
type Average struct {
	value float64
	at    time.Time
}

// Add adds a value with a weight from 0 to 1, after decaying the average to now.
func (a *Average) Add(value, weight float64, halfLife time.Duration, now time.Time) {
	before := a.At(halfLife, now)
	a.value = before + weight*(value-before)
	a.at = now
}

// At returns the average at now, which halves every halfLife since the last value.
func (a *Average) At(halfLife time.Duration, now time.Time) float64 {
	return decayed(a.value, a.at, halfLife, now)
}

// Rate is an amount per second, weighted towards recent amounts. The zero value is 0. It is not
// safe for concurrent use.
type Rate struct {
	sum float64
	at  time.Time
}

// Add adds an amount, after decaying earlier amounts to now.
func (r *Rate) Add(amount float64, halfLife time.Duration, now time.Time) {
	r.sum = decayed(r.sum, r.at, halfLife, now) + amount
	r.at = now
}

// At returns the amount per second at now.
func (r *Rate) At(halfLife time.Duration, now time.Time) float64 {
	return decayed(r.sum, r.at, halfLife, now) * math.Ln2 / halfLife.Seconds()
}

// decayed returns a value that halves every halfLife since the time at.
func decayed(value float64, at time.Time, halfLife time.Duration, now time.Time) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-now.Sub(at).Seconds()/halfLife.Seconds())
}
