package placement

import (
	"fmt"
	"time"
)

// Verdict is the result of evaluating a candidate.
type Verdict uint8

// Verdicts of a candidate.
const (
	Considered      Verdict = iota // usable, not compared yet
	Chosen                         // selected for the request
	HigherCost                     // usable at a higher cost
	TiedNotSelected                // cost within the tolerance of the lowest
	MissesDeadline                 // first token expected after the deadline
	EstimateLate                   // no estimate received in time
	OutOfRotation                  // takes no new requests
)

var verdictNames = [...]string{
	"considered", "chosen", "costlier", "tied", "misses deadline", "estimate late", "out of rotation",
}

// String returns a description of the verdict.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Candidate is one endpoint with the estimates on which its verdict is based.
type Candidate struct {
	Endpoint   string
	Verdict    Verdict
	Import     Import
	Cached     int
	Recompute  int
	Wait       time.Duration
	FirstToken time.Duration
	Cost       float64
}

var _ fmt.Stringer = Candidate{}

// String returns the verdict with its reasons in one line. It allocates, and is meant for
// explanations only.
func (c Candidate) String() string {
	return fmt.Sprintf("endpoint=%s verdict=%q cost=%.4f first_token=%s wait=%s cached=%d import=%d store=%s recompute=%d",
		c.Endpoint, c.Verdict, c.Cost, c.FirstToken.Round(time.Millisecond), c.Wait.Round(time.Millisecond),
		c.Cached, c.Import.Tokens, c.Import.Store, c.Recompute)
}

// Filter returns one candidate for each engine, in the same order, with a verdict for those that
// can't be scored. It reuses the memory of dst.
func Filter(engines []EngineEstimate, dst []Candidate) []Candidate {
	dst = dst[:0]
	for i := range engines {
		e := &engines[i]
		c := Candidate{Endpoint: e.Endpoint}
		switch {
		case e.Status == NotInRotation:
			c.Verdict = OutOfRotation
		case e.Status == Late || e.PrefillRate <= 0:
			c.Verdict = EstimateLate
		}
		dst = append(dst, c)
	}
	return dst
}
