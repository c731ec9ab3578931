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
}

// scheduleClass schedules the arrivals of a class's callers.
func (w *World) scheduleClass(c *Class) {
	burst := max(c.Burst, 1)
	gap := float64(burst) / c.PerSecond
	draw := w.sessions(c)
	for at := w.random.ExpFloat64() * gap; at < w.Length.Seconds(); at += w.random.ExpFloat64() * gap {
		for range burst {
			request := w.newRequest(c, draw())
			w.after(time.Duration(at*float64(time.Second)), func() {
				(&call{world: w, class: c, request: request, first: w.now, arrived: w.now}).place()
			})
		}
	}
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
		Route:   &routing.Route{Priority: c.class.Rank, Objective: c.class.Objective},
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

// place sends the request to an engine, or waits or is refused if no engine can take it.
func (c *call) place() {
	w := c.world
	w.confirmStore()
	placement, ok := w.placer.Place(c.query())
	placement.Waited = w.now.Sub(c.arrived)
	if !ok {
		c.waitOrRefuse(&placement)
		return
	}
	c.placement = placement
	c.rank = *placement.Attempt.Priority
	c.sent = w.now
	placement.Member.Load.Begin(placement.PrefillTokens, placement.MemoryTokens)
	w.engines[placement.Member.ID].send(c)
}

// waitOrRefuse schedules the next placement while the request may wait. Otherwise it refuses the
// caller, who retries once.
func (c *call) waitOrRefuse(p *forward.Placement) {
	w := c.world
	if pause := w.retryDelay(p, c.class.Objective); pause > 0 {
		w.after(pause, c.place)
		return
	}
	w.Result.MaxWait = max(w.Result.MaxWait, p.Waited)
	w.Result.countRefusal(w.elapsed())
	after := refusalDelay(p)
	if c.retried {
		w.Result.outcome(c).Refused++
		return
	}
	w.Result.FirstRefusals++
	w.Result.outcome(c).Retries++
	c.retried = true
	w.after(after, func() {
		c.arrived, c.tried = w.now, nil
		c.place()
	})
}

// onFirstToken records the first token.
func (c *call) onFirstToken() {
	after := c.world.now.Sub(c.sent)
	c.placement.Member.Load.FirstEvent(c.placement.PrefillTokens)
	c.placement.RecordFirstEvent(after)
	c.placement.Member.Health.RecordSuccess(c.world.now)
	c.started = true
	took := c.world.now.Sub(c.first)
	c.late = took > c.class.Objective
	c.world.Result.countFirstToken(c, took)
}

// onComplete records the last token.
func (c *call) onComplete() {
	c.placement.Member.Load.End(c.placement.MemoryTokens)
	c.placement.RecordRun(c.world.now.Sub(c.sent))
}

// onEngineFailure handles a crash of the engine. A request without a first token is placed at
// another engine; one that had a first token is aborted.
func (c *call) onEngineFailure() {
	member := c.placement.Member
	member.Load.End(c.placement.MemoryTokens)
	member.Health.RecordFailure(c.world.now, true)
	if c.started {
		c.world.Result.countAborted(c)
		return
	}
	member.Load.FirstEvent(c.placement.PrefillTokens)
	if c.placement.RecordFailure != nil {
		c.placement.RecordFailure()
	}
	c.world.Result.FailedOver++
	c.tried = append(c.tried, member.ID)
	c.place()
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
