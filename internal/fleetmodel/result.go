package fleetmodel

import (
	"math"
	"time"
)

// sizeClasses is the number of size classes. Each holds a tenth of the sessions.
const sizeClasses = 10

// Outcome counts callers by how their request ended.
type Outcome struct {
	InTime, Late, Refused int
	Aborted               int // by an engine's crash after the first token
	Retries               int // after a first refusal; also counted in one of the fields above
}

// Total returns the number of callers.
func (o Outcome) Total() int { return o.InTime + o.Late + o.Refused + o.Aborted }

// ShareInTime returns the share of callers who received the first token within the objective.
func (o Outcome) ShareInTime() float64 { return float64(o.InTime) / float64(max(o.Total(), 1)) }

// ShareServed returns the share of callers who were served, in time or late.
func (o Outcome) ShareServed() float64 {
	return float64(o.InTime+o.Late) / float64(max(o.Total(), 1))
}

// Result holds the outcome of a simulation.
type Result struct {
	// Classes holds the outcomes by class and size, with the smallest tenth of the sessions
	// first.
	Classes map[string]*[sizeClasses]Outcome
	// FirstRefusals counts first refusals, after which callers retry.
	FirstRefusals int
	// Preempted counts runs that engines returned to the queue for lack of memory.
	Preempted int
	// RecomputedTokens counts the tokens of shared parts that were prefilled although an engine had
	// prefilled them before.
	RecomputedTokens int
	// MaxWait is the maximum time that a caller waited before a refusal.
	MaxWait time.Duration
	// FailedOver counts requests that were sent to another engine after theirs crashed.
	FailedOver int
	// FirstEvents holds the times from a caller's first arrival to the first token, by class.
	FirstEvents map[string][]time.Duration
	// Refusals counts all refusals, including first ones, by second of virtual time.
	Refusals []int
}

// outcome returns the outcome counters for a caller's class and size.
func (r *Result) outcome(c *call) *Outcome {
	if r.Classes == nil {
		r.Classes = make(map[string]*[sizeClasses]Outcome)
	}
	if r.Classes[c.class.Name] == nil {
		r.Classes[c.class.Name] = new([sizeClasses]Outcome)
	}
	return &r.Classes[c.class.Name][c.sizeClass()]
}

// countFirstToken counts a caller who received the first token.
func (r *Result) countFirstToken(c *call, took time.Duration) {
	if c.late {
		r.outcome(c).Late++
	} else {
		r.outcome(c).InTime++
	}
	if r.FirstEvents == nil {
		r.FirstEvents = make(map[string][]time.Duration)
	}
	r.FirstEvents[c.class.Name] = append(r.FirstEvents[c.class.Name], took)
}

// countAborted moves a caller from served to aborted.
func (r *Result) countAborted(c *call) {
	if c.late {
		r.outcome(c).Late--
	} else {
		r.outcome(c).InTime--
	}
	r.outcome(c).Aborted++
}

func (r *Result) countRefusal(at time.Duration) {
	second := int(at / time.Second)
	for len(r.Refusals) <= second {
		r.Refusals = append(r.Refusals, 0)
	}
	r.Refusals[second]++
}

// sizeClass returns the size class of a request, from the size of its session's part.
func (c *call) sizeClass() int {
	const smallest, spread = 0.5, 4.0
	session := c.request.Shared[len(c.request.Shared)-1]
	size := float64(session.Tokens) / (smallest * float64(c.class.SharedTokens))
	for i := range sizeClasses {
		if size < math.Pow(spread, float64(i+1)/sizeClasses) {
			return i
		}
	}
	return sizeClasses - 1
}

// ForClass returns the outcome of a class over all sizes.
func (r *Result) ForClass(class string) Outcome {
	var sum Outcome
	if r.Classes[class] == nil {
		return sum
	}
	for _, o := range r.Classes[class] {
		sum.InTime += o.InTime
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Aborted += o.Aborted
		sum.Retries += o.Retries
	}
	return sum
}

// LargestTenth returns the outcome of the tenth of a class with the largest sessions.
func (r *Result) LargestTenth(class string) Outcome { return r.Classes[class][sizeClasses-1] }
