package canary

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// worseZ is the width of the intervals, in standard deviations, that must not overlap for a release
	// to count as worse: with dozens of routes and checks, chance must not roll a good one back.
	worseZ = 3.3
	// soundZ is the width of the interval that must lie below the tolerated rate for a release to count
	// as sound.
	soundZ = 1.65
	// worseBy is by how much the rate of bad or slow answers must exceed the present release's, and
	// toleratedRise by how much it may exceed it in a sound one.
	worseBy       = 0.02
	toleratedRise = 0.15
	// slowBuckets is by how many buckets an answer must exceed the median of the present release to
	// count as slow: about three times as long.
	slowBuckets = 3
	// minAnswers is the number of answers of the new release on a route that proves anything.
	minAnswers = 16

	// trialShare is the part of an order's time that the trial lasts at least, as a release may turn bad
	// after a while, and promoteTime the time left for the rest, at most half of it.
	trialShare  = 0.4
	promoteTime = 12 * time.Second
	// settleTime is the time until all nodes send nothing to the old endpoints any more.
	settleTime = 5 * time.Second
	// lastMoment is the part of an order's time after which it is ended in any case.
	lastMoment = 0.95
)

// Row holds the answers on one route since the order, by release.
type Row struct {
	Route    string
	Old, New Counts
}

// Evidence is what is known of an order.
type Evidence struct {
	Rows []Row
	// Phase is the recorded phase, and Promoted the time since Promoting was recorded.
	Phase    Phase
	Promoted time.Duration
	// Held is true once the release was found to be worse.
	Held bool
	// Elapsed is the time since the order.
	Elapsed, Within time.Duration
	// OldInFlight is the number of requests at old endpoints, of nodes that reported any.
	OldInFlight int
	// Unheard is the number of nodes of which that is not known.
	Unheard int
}

// Verdict is what should be done about an order, with the reason.
type Verdict struct {
	Phase  Phase // the phase that the order should have
	Reason string
}

// Judge decides from the evidence how an order goes on.
func Judge(e *Evidence) Verdict {
	worse := e.worse()
	switch {
	case e.Phase.Final():
		return Verdict{e.Phase, ""}
	case worse != "":
		return Verdict{RolledBack, worse}
	case e.Held:
		return Verdict{RolledBack, "worse before"}
	case e.Phase == Promoting && e.Promoted >= settleTime && e.OldInFlight == 0 && e.Unheard == 0:
		return Verdict{Succeeded, "sound"}
	case e.Phase == Promoting && e.late():
		return Verdict{Succeeded, "sound, with requests that may be left at old endpoints"}
	case e.late():
		return Verdict{RolledBack, "not proved sound: " + e.unproved()}
	case e.Phase == Trial && e.Elapsed >= trialTime(e.Within) && e.unproved() == "":
		return Verdict{Promoting, "sound"}
	}
	return Verdict{e.Phase, ""}
}

// late reports whether the order must be ended now.
func (e *Evidence) late() bool {
	return float64(e.Elapsed) >= lastMoment*float64(e.Within)
}

// trialTime returns the shortest duration of the trial.
func trialTime(within time.Duration) time.Duration {
	return max(time.Duration(trialShare*float64(within)), min(within-promoteTime, within/2))
}

// worse returns why the release is certainly worse than the present one, or "".
func (e *Evidence) worse() string {
	for i := range e.Rows {
		r := &e.Rows[i]
		if exceeds(r.New.Bad, r.New.Answers, r.Old.Bad, r.Old.Answers) {
			return "failures on route " + r.Route
		}
		newSlow, oldSlow, known := r.slow()
		if known && exceeds(newSlow, r.New.Answers-r.New.Bad, oldSlow, r.Old.Answers-r.Old.Bad) {
			return "slow answers on route " + r.Route
		}
	}
	return e.worseTogether()
}

// worseTogether returns why the release is certainly worse on all routes together, where none has
// enough answers, or "". The routes' usual rates differ, so the failures are compared with those that
// the present release would have had on the same routes.
func (e *Evidence) worseTogether() string {
	answers, bad, expected := 0, 0, 0.0
	for i := range e.Rows {
		r := &e.Rows[i]
		answers, bad = answers+r.New.Answers, bad+r.New.Bad
		_, upper := interval(r.Old.Bad, r.Old.Answers, soundZ)
		expected += float64(r.New.Answers) * min(upper, 0.5)
	}
	if answers == 0 {
		return ""
	}
	lower, _ := interval(bad, answers, worseZ)
	if lower > expected/float64(answers)+worseBy {
		return "failures on all routes together"
	}
	return ""
}

// slow returns how many answers of each release took much longer than the present one's median. known
// is false if that has none.
func (r *Row) slow() (newSlow, oldSlow int, known bool) {
	median, known := r.Old.medianBucket()
	return r.New.slowerThan(median + slowBuckets - 1), r.Old.slowerThan(median + slowBuckets - 1), known
}

// unproved returns the routes on which the release is not yet proved to be sound, or "". Each route
// with any answers since the order needs a proof: a release may be bad on one route only.
func (e *Evidence) unproved() string {
	var routes []string
	answers := 0
	for i := range e.Rows {
		r := &e.Rows[i]
		answers += r.New.Answers
		if !r.sound() {
			routes = append(routes, r.Route)
		}
	}
	if answers == 0 {
		return "no answers"
	}
	slices.Sort(routes)
	return strings.Join(routes, " ")
}

// sound reports whether the release is proved to be not much worse on a route. Where the present one
// had no answers, it has to have few failures.
func (r *Row) sound() bool {
	if r.New.Answers < minAnswers {
		return false
	}
	newSlow, oldSlow, known := r.slow()
	return tolerable(r.New.Bad, r.New.Answers, r.Old.Bad, r.Old.Answers) &&
		(!known || tolerable(newSlow, r.New.Answers-r.New.Bad, oldSlow, r.Old.Answers-r.Old.Bad))
}

// exceeds reports whether the rate of one sample is certainly higher than that of another.
func exceeds(count, of, otherCount, ofOther int) bool {
	if of < minAnswers || ofOther < minAnswers {
		return false
	}
	lower, _ := interval(count, of, worseZ)
	_, upper := interval(otherCount, ofOther, worseZ)
	return lower > upper+worseBy
}

// tolerable reports whether the rate of one sample is certainly at most toleratedRise higher than that
// of another.
func tolerable(count, of, otherCount, ofOther int) bool {
	_, upper := interval(count, of, soundZ)
	rate := 0.0
	if ofOther > 0 {
		rate = float64(otherCount) / float64(ofOther)
	}
	return upper <= rate+toleratedRise
}

// interval returns the Wilson score interval of a rate: count of so many. Without any it is [0, 1].
func interval(count, of int, z float64) (lower, upper float64) {
	if of <= 0 {
		return 0, 1
	}
	n := float64(of)
	p := float64(count) / n
	center := (p + z*z/(2*n)) / (1 + z*z/n)
	half := z / (1 + z*z/n) * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return max(center-half, 0), min(center+half, 1)
}
