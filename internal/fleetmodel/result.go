package fleetmodel

import (
	"math"
	"time"
)

// sizes is the number of size classes, a tenth of the sessions each.
const sizes = 10

// Outcome counts what became of callers.
type Outcome struct {
	InTime, Late, Refused int
	Broken                int // by an engine's crash, after the first token
	Returned              int // after a first refusal; they are counted above, too
}

// Asked returns the number of callers.
func (o Outcome) Asked() int { return o.InTime + o.Late + o.Refused + o.Broken }

// ShareInTime returns the share that was served within the objective.
func (o Outcome) ShareInTime() float64 { return float64(o.InTime) / float64(max(o.Asked(), 1)) }

// ShareServed returns the share that was served at all.
func (o Outcome) ShareServed() float64 {
	return float64(o.InTime+o.Late) / float64(max(o.Asked(), 1))
}

// Result is what a load came to.
type Result struct {
	// Classes holds the outcomes by class, and by size, the smallest tenth first.
	Classes map[string]*[sizes]Outcome
	// Declined counts first refusals; callers come back after them.
	Declined int
	// PutBack counts the runs that engines put back for want of memory.
	PutBack int
	// ReadAgain counts the shared tokens that were read though some engine had read them.
	ReadAgain int
	// LongestWait is the longest time that a caller waited before a refusal.
	LongestWait time.Duration
	// Resent counts requests that went elsewhere after their engine was gone.
	Resent int
	// FirstEvents holds the times from a caller's first try to the first token, by class.
	FirstEvents map[string][]time.Duration
	// Refusals counts refusals, first ones too, by the second in which they were made.
	Refusals []int
}

func (r *Result) of(c *call) *Outcome {
	if r.Classes == nil {
		r.Classes = make(map[string]*[sizes]Outcome)
	}
	if r.Classes[c.class.Name] == nil {
		r.Classes[c.class.Name] = new([sizes]Outcome)
	}
	return &r.Classes[c.class.Name][c.sizeClass()]
}

// noteFirst counts a caller that got its first token.
func (r *Result) noteFirst(c *call, took time.Duration) {
	if c.late {
		r.of(c).Late++
	} else {
		r.of(c).InTime++
	}
	if r.FirstEvents == nil {
		r.FirstEvents = make(map[string][]time.Duration)
	}
	r.FirstEvents[c.class.Name] = append(r.FirstEvents[c.class.Name], took)
}

// noteBroken counts a caller as broken off that was counted as served.
func (r *Result) noteBroken(c *call) {
	if c.late {
		r.of(c).Late--
	} else {
		r.of(c).InTime--
	}
	r.of(c).Broken++
}

func (r *Result) countRefusal(at time.Duration) {
	second := int(at / time.Second)
	for len(r.Refusals) <= second {
		r.Refusals = append(r.Refusals, 0)
	}
	r.Refusals[second]++
}

// sizeClass returns the tenth of its class to which a request belongs, by its session's size.
func (c *call) sizeClass() int {
	const smallest, spread = 0.5, 4.0
	session := c.request.Shared[len(c.request.Shared)-1]
	size := float64(session.Tokens) / (smallest * float64(c.class.SharedTokens))
	for i := range sizes {
		if size < math.Pow(spread, float64(i+1)/sizes) {
			return i
		}
	}
	return sizes - 1
}

// Of returns the outcome of a whole class.
func (r *Result) Of(class string) Outcome {
	var sum Outcome
	if r.Classes[class] == nil {
		return sum
	}
	for _, o := range r.Classes[class] {
		sum.InTime += o.InTime
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Broken += o.Broken
		sum.Returned += o.Returned
	}
	return sum
}

// Largest returns the outcome of the largest tenth of a class.
func (r *Result) Largest(class string) Outcome { return r.Classes[class][sizes-1] }
