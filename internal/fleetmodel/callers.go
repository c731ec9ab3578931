package fleetmodel

import (
	"fmt"
	"math"
	"time"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/routing"
)

// Class describes the requests of one class and their arrival.
type Class struct {
	Name      string
	PerSecond float64
	Burst     int // number of callers that arrive together
	Rank      int
	Sessions  int
	// SharedTokens is the mean size of the part of a prompt that all requests of a session
	// share, OwnTokens that of the rest. The size of a session's part ranges from half to twice
	// the mean.
	SharedTokens, OwnTokens, OutputTokens int
	// Skew is the exponent of the Zipf distribution of sessions; 0 for a uniform distribution.
	Skew float64
	// Accounts is the number of client accounts that the sessions belong to; 0 for none.
	// Accounts share no KV cache with each other. Each prompt begins with a part of
	// AccountTokens that all sessions of its account share.
	Accounts, AccountTokens int
	Objective, Deadline     time.Duration
	// MaxPause is the longest pause between the events of a stream that counts as in time; 0 if
	// pauses don't count.
	MaxPause time.Duration
	// GiveUp is the time without an event after which a caller gives up; 0 for never.
	GiveUp time.Duration
	// Resumable states in the route that a stream may be continued at another engine. The model's
	// callers don't resume.
	Resumable bool
	Surges    []Surge
}

// noEngineRetryDelay is the delay before a refused caller retries if no engine was available.
const noEngineRetryDelay = 250 * time.Millisecond

// request is the prompt of one caller.
type request struct {
	Account *routing.Account // nil without accounts
	Shared  []forward.Part   // the account's part, if any, then the session's
	Own     int              // tokens
	Output  int
}

// prompt returns the prompt's tokens.
func (r *request) prompt() int {
	sum := r.Own
	for _, p := range r.Shared {
		sum += p.Tokens
	}
	return sum
}

// call is a caller and the state of its request.
type call struct {
	world     *World
	class     *Class
	node      *node // that received the current attempt
	request   request
	first     time.Time // when the caller first arrived
	arrived   time.Time // when the current attempt arrived
	placement forward.Placement
	rank      int
	sent      time.Time
	retried   bool
	tried     []string // engines that failed during this attempt
	started   bool     // the first token was received
	late      bool     // the first token was received after the objective
	ended     bool
	attempts  int       // attempts begun or ended
	run       *run      // at an engine; nil if there is none
	lastEvent time.Time // or the arrival of the attempt, before its first event
	maxPause  time.Duration
}

func (w *World) newRequest(c *Class, session int) request {
	// The size of a session's part depends only on its number, so that it is the same in all
	// of its requests.
	size := math.Exp2(2*float64(session)/float64(c.Sessions) - 1)
	id := fmt.Sprintf("%s-%d", c.Name, session)
	account, shared := c.account(session)
	return request{
		Account: account,
		Shared:  append(shared, forward.Part{ID: id, Tokens: max(int(size*float64(c.SharedTokens)), 1)}),
		Own:     1 + int(w.random.ExpFloat64()*float64(c.OwnTokens)),
		Output:  1 + int(w.random.ExpFloat64()*float64(c.OutputTokens)),
	}
}

// partKey returns the cache key of shared part i.
func (c *call) partKey(i int) kvindex.Part {
	return kvindex.Part{Salt: c.placement.Attempt.Salt, ID: c.request.Shared[i].ID}
}

// saveTarget returns the address of the store to save shared part i at, or "" for none.
func (c *call) saveTarget(i int) string {
	if i < len(c.placement.Attempt.Targets) {
		return c.placement.Attempt.Targets[i]
	}
	return ""
}

// query returns the placement query for the current attempt.
func (c *call) query() *forward.Query {
	parts := append(append([]forward.Part(nil), c.request.Shared...), forward.Part{ID: "own", Tokens: c.request.Own})
	age := c.world.now.Sub(c.first)
	return &forward.Query{
		Route: &routing.Route{
			Priority: c.class.Rank, Objective: c.class.Objective, GapObjective: c.class.MaxPause, Resumable: c.class.Resumable,
		},
		Service: c.world.service,
		Account: c.request.Account,
		Tried:   c.tried,
		Attributes: &forward.Attributes{
			Model: model, PromptTokens: c.request.prompt(), OutputTokens: c.request.Output,
			Parts: parts, Deadline: c.class.Deadline - age, HasDeadline: true,
		},
		Age: c.arrived.Sub(c.first),
	}
}

// arrive begins an attempt: the caller's first one or the one after a refusal.
func (c *call) arrive() {
	c.arrived, c.lastEvent, c.tried = c.world.now, c.world.now, nil
	c.attempts++
	c.watch(c.attempts, c.class.GiveUp)
	c.place()
}

// place sends the request to an engine, or waits or is refused if no engine can take it.
func (c *call) place() {
	if c.ended {
		return
	}
	w := c.world
	w.confirmStore()
	placement, ok := c.node.placer.Place(c.query())
	placement.Waited = w.now.Sub(c.arrived)
	if !ok {
		c.waitOrRefuse(&placement)
		return
	}
	w.Result.countWait(c, placement.Waited)
	c.placement = placement
	c.rank = *placement.Attempt.Priority
	c.sent = w.now
	c.node.send(placement.Member, placement.PrefillTokens, placement.MemoryTokens)
	w.engines[placement.Member.ID].send(c)
}

// waitOrRefuse schedules the next placement while the request may wait. Otherwise it refuses the
// caller, who retries once, at any node of the failure domain.
func (c *call) waitOrRefuse(p *forward.Placement) {
	w := c.world
	if pause := w.retryDelay(p, c.class.Objective); pause > 0 {
		w.after(pause, c.place)
		return
	}
	w.Result.countWait(c, p.Waited)
	w.Result.MaxWait = max(w.Result.MaxWait, p.Waited)
	w.Result.countRefusal(w.elapsed(), p.Reason)
	if c.class.Rank == 0 && w.idleShare() >= idleShare {
		w.Result.IdleRefusals++
	}
	after := refusalDelay(p)
	if c.retried {
		c.end()
		w.Result.count(c, func(o *Outcome) { o.Refused++ })
		return
	}
	w.Result.FirstRefusals++
	w.Result.count(c, func(o *Outcome) { o.Retries++ })
	c.retried = true
	c.attempts++ // ends the watch of this attempt
	w.after(after, func() {
		c.node = w.drawNode(c.node.domain)
		c.arrive()
	})
}

// end records that the request ended.
func (c *call) end() {
	c.ended = true
	c.world.open--
}

// retryDelay returns the time until the next attempt to place a request that could not be placed;
// 0 if it is to be refused.
func (w *World) retryDelay(p *forward.Placement, objective time.Duration) time.Duration {
	if w.MaxWaitShare == nil {
		return p.RetryDelay(objective)
	}
	return p.RetryDelayWithin(time.Duration(*w.MaxWaitShare * float64(objective)))
}

// refusalDelay returns the time after which a refused caller may retry.
func refusalDelay(p *forward.Placement) time.Duration {
	if p.OnRefusal == nil {
		return noEngineRetryDelay
	}
	return p.OnRefusal()
}
