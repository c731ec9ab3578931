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
	LatePause             int // first token in time, but a pause longer than the class's MaxPause
	GivenUp               int // by callers that had no event for too long
	Aborted               int // by an engine's crash after the first token
	Retries               int // after a first refusal; also counted in one of the fields above
}

// Total returns the number of callers.
func (o Outcome) Total() int { return o.Served() + o.Refused + o.GivenUp + o.Aborted }

// Served returns the number of callers that received all of their answer, in time or late.
func (o Outcome) Served() int { return o.InTime + o.Late + o.LatePause }

// ShareInTime returns the share of callers who received the first token within the objective, and no
// pause that was too long.
func (o Outcome) ShareInTime() float64 { return float64(o.InTime) / float64(max(o.Total(), 1)) }

// ShareServed returns the share of callers who were served, in time or late.
func (o Outcome) ShareServed() float64 {
	return float64(o.Served()) / float64(max(o.Total(), 1))
}

// Result holds the outcome of a simulation.
type Result struct {
	// Classes holds the outcomes by class and size, with the smallest tenth of the sessions
	// first.
	Classes map[string]*[sizeClasses]Outcome
	// FirstRefusals counts first refusals, after which callers retry.
	FirstRefusals int
	// Domains holds the outcomes of the callers that first arrived in each interval of DomainInterval,
	// by failure domain and class.
	Domains []map[DomainClass]*Outcome
	// Preempted counts runs that engines returned to the queue for lack of memory or slots, and
	// PreemptedForSlots those for lack of slots.
	Preempted, PreemptedForSlots int
	// Samples holds the load of the engines over time.
	Samples []Sample
	// Callers counts all callers.
	Callers int
	// IdleRefusals counts refusals of the most urgent rank, including first ones, while at least a
	// tenth of the engines had no prompt to prefill.
	IdleRefusals int
	// RefusalReasons counts all refusals, including first ones, by the placer's reason.
	RefusalReasons map[string]int
	// RecomputedTokens counts the tokens of shared parts that were prefilled although an engine had
	// prefilled them before.
	RecomputedTokens int
	// MaxWait is the maximum time that a caller waited before a refusal.
	MaxWait time.Duration
	// Waits holds the times that requests waited at a node before each placement or refusal, by class.
	Waits map[string][]time.Duration
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

// count changes the counters of a caller.
func (r *Result) count(c *call, change func(*Outcome)) {
	change(r.outcome(c))
	change(r.domainOutcome(c))
}

// countWait records the time that a request waited before a placement or refusal.
func (r *Result) countWait(c *call, waited time.Duration) {
	if r.Waits == nil {
		r.Waits = make(map[string][]time.Duration)
	}
	r.Waits[c.class.Name] = append(r.Waits[c.class.Name], waited)
}

// countFirstToken counts a caller who received the first token as served.
func (r *Result) countFirstToken(c *call, took time.Duration) {
	r.countServed(c, 1)
	if r.FirstEvents == nil {
		r.FirstEvents = make(map[string][]time.Duration)
	}
	r.FirstEvents[c.class.Name] = append(r.FirstEvents[c.class.Name], took)
}

// countServed adds n to the callers served in time or late by the first token.
func (r *Result) countServed(c *call, n int) {
	r.count(c, func(o *Outcome) {
		if c.late {
			o.Late += n
		} else {
			o.InTime += n
		}
	})
}

// countComplete moves a caller whose stream paused for too long from in time to late.
func (r *Result) countComplete(c *call) {
	if c.late || c.class.MaxPause <= 0 || c.maxPause <= c.class.MaxPause {
		return
	}
	r.countServed(c, -1)
	r.count(c, func(o *Outcome) { o.LatePause++ })
}

// countAborted moves a caller from served to aborted.
func (r *Result) countAborted(c *call) {
	r.countServed(c, -1)
	r.count(c, func(o *Outcome) { o.Aborted++ })
}

// countGivenUp counts a caller who gave up. It was counted as served if it had received the first
// token.
func (r *Result) countGivenUp(c *call) {
	if c.started {
		r.countServed(c, -1)
	}
	r.count(c, func(o *Outcome) { o.GivenUp++ })
}

func (r *Result) countRefusal(at time.Duration, reason string) {
	if r.RefusalReasons == nil {
		r.RefusalReasons = make(map[string]int)
	}
	r.RefusalReasons[reason]++
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
		sum.add(&o)
	}
	return sum
}

// add adds the counters of another outcome.
func (o *Outcome) add(other *Outcome) {
	o.InTime += other.InTime
	o.Late += other.Late
	o.Refused += other.Refused
	o.LatePause += other.LatePause
	o.GivenUp += other.GivenUp
	o.Aborted += other.Aborted
	o.Retries += other.Retries
}

// LargestTenth returns the outcome of the tenth of a class with the largest sessions.
func (r *Result) LargestTenth(class string) Outcome { return r.Classes[class][sizeClasses-1] }
