package enginestate

import (
	"math"
	"slices"
	"time"
)

const (
	// trustHalfLife is the age at which a load report counts half.
	trustHalfLife = time.Second
	// foreignHalfLife is how fast the belief in other nodes' work fades
	// between reports.
	foreignHalfLife = 2 * time.Second
	// endedKept is how long releases are kept to compare with reports.
	endedKept = 5 * time.Second
)

// Load is the engine's own report of what it held Age ago.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens int // prompt tokens not yet computed
	Age           time.Duration
}

// foreign is work at the engine that this owner did not grant: another owner's
// for a few seconds, or runs adopted by nobody.
type foreign struct {
	runs    float64
	seconds float64 // of prefill
	at      time.Time
}

// faded returns the share of the belief that is left now.
func (f *foreign) faded(now time.Time) float64 {
	return math.Exp2(-now.Sub(f.at).Seconds() / foreignHalfLife.Seconds())
}

// Report compares the engine's lagging report with the grants that were in
// force at its time. Only the excess is news: the owner's own grants are
// fresher than any report. The older the report, the less it counts.
func (e *Engine) Report(now time.Time, l Load) {
	l.Age = max(l.Age, 0)
	at := now.Add(-l.Age)
	runs, tokens := e.heldAt(at)
	excess := max(0, float64(l.Running+l.Waiting-runs))
	excessWork := 0.0
	if excess > 0 {
		excessWork = float64(max(0, l.WaitingTokens-tokens)) / e.typicalRate()
	}
	trust := math.Exp2(-l.Age.Seconds() / trustHalfLife.Seconds())
	kept := (1 - trust) * e.foreign.faded(now)
	e.foreign = foreign{
		runs:    trust*excess + kept*e.foreign.runs,
		seconds: trust*excessWork + kept*e.foreign.seconds,
		at:      now,
	}
}

// heldAt returns the runs and prompt tokens granted and unfinished at a recent
// time, the tokens as an upper bound.
func (e *Engine) heldAt(at time.Time) (runs, tokens int) {
	for _, g := range e.grants {
		if !g.GrantedAt.After(at) {
			runs++
			tokens += g.Compute
		}
	}
	for _, end := range e.ended {
		if end.After(at) {
			runs++
		}
	}
	return runs, tokens
}

// typicalRate is the prefill speed of the best known model: a report does not
// tell models apart.
func (e *Engine) typicalRate() float64 {
	rate, known := e.cfg.PrefillRate, 0
	for _, s := range e.speeds {
		if s.prefill.Samples() > known {
			rate, known = s.prefill.Value(), s.prefill.Samples()
		}
	}
	return rate
}

func (e *Engine) forgetEnded(now time.Time) {
	e.ended = slices.DeleteFunc(e.ended, func(end time.Time) bool { return now.Sub(end) > endedKept })
}
