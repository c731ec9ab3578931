package enginestate

import (
	"math"
	"slices"
	"time"
)

const (
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = time.Second
	// foreignHalfLife is the half-life of the estimated foreign work between reports.
	foreignHalfLife = 2 * time.Second
	// releaseTimeRetention is how long release times are kept to compare with reports.
	releaseTimeRetention = 5 * time.Second
)

// Load is the load that the engine reported, as of Age ago.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens int // prompt tokens not yet computed
	Age           time.Duration
}

// foreign is work at the engine that this owner did not grant: work of another owner during a
// change of owners, or runs that no owner adopted.
type foreign struct {
	runs    float64
	seconds float64 // of prefill
	at      time.Time
}

// decayFactor returns the factor by which the estimate has decayed since it was made.
func (f *foreign) decayFactor(now time.Time) float64 {
	return math.Exp2(-now.Sub(f.at).Seconds() / foreignHalfLife.Seconds())
}

// Report compares a load report of the engine, which lags, with the grants that were in force at
// its time. Only the excess is used: the owner's own grants are more current than any report. Older
// reports have less weight.
func (e *Engine) Report(now time.Time, l Load) {
	l.Age = max(l.Age, 0)
	at := now.Add(-l.Age)
	runs, tokens := e.grantedRunsAt(at)
	excess := max(0, float64(l.Running+l.Waiting-runs))
	excessWork := 0.0
	if excess > 0 {
		excessWork = float64(max(0, l.WaitingTokens-tokens)) / e.typicalRate()
	}
	weight := math.Exp2(-l.Age.Seconds() / reportHalfLife.Seconds())
	previous := (1 - weight) * e.foreign.decayFactor(now)
	e.foreign = foreign{
		runs:    weight*excess + previous*e.foreign.runs,
		seconds: weight*excessWork + previous*e.foreign.seconds,
		at:      now,
	}
}

// grantedRunsAt returns the number of runs that were granted and not finished at a recent time.
// tokens is the number of tokens to compute for those of them that are still granted.
func (e *Engine) grantedRunsAt(at time.Time) (runs, tokens int) {
	for _, g := range e.grants {
		if !g.GrantedAt.After(at) {
			runs++
			tokens += g.Compute
		}
	}
	for _, end := range e.releasedAt {
		if end.After(at) {
			runs++
		}
	}
	return runs, tokens
}

// typicalRate returns the prefill rate of the model with the most samples: a report does not
// distinguish models.
func (e *Engine) typicalRate() float64 {
	rate, samples := e.cfg.PrefillRate, 0
	for _, s := range e.speeds {
		if s.prefill.Samples() > samples {
			rate, samples = s.prefill.Value(), s.prefill.Samples()
		}
	}
	return rate
}

func (e *Engine) evictReleaseTimes(now time.Time) {
	e.releasedAt = slices.DeleteFunc(e.releasedAt, func(end time.Time) bool { return now.Sub(end) > releaseTimeRetention })
}
