package fleetmodel

import (
	"fmt"
	"math"
	"time"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/routing"
)

// Class is a kind of request.
type Class struct {
	Name      string
	PerSecond float64
	Burst     int // callers that come at once
	Rank      int
	Sessions  int
	// SharedTokens and OwnTokens are the mean sizes of a session's part and of the rest of a
	// prompt. Sessions differ in size by up to four times, from half to twice the mean.
	SharedTokens, OwnTokens, OutputTokens int
	// Skew is the exponent of Zipf's law by which sessions are drawn; 0 draws all alike.
	Skew float64
	// Accounts is the number of client accounts that the sessions belong to, which share no
	// KV cache with each other; 0 for no accounts. Each prompt begins with a part of
	// AccountTokens that all sessions of its account share.
	Accounts, AccountTokens int
	Objective, Deadline     time.Duration
}

// noEngineAfter is when a caller comes back where no engine is left to try.
const noEngineAfter = 250 * time.Millisecond

// request is one caller's prompt.
type request struct {
	Account *routing.Account // nil without accounts
	Shared  []forward.Part   // the session's part last
	Own     int              // tokens
	Output  int
}

func (r *request) prompt() int {
	sum := r.Own
	for _, p := range r.Shared {
		sum += p.Tokens
	}
	return sum
}

// call is a caller with its request.
type call struct {
	world     *World
	class     *Class
	request   request
	first     time.Time // of its first try
	arrived   time.Time // of its present try
	placement forward.Placement
	rank      int
	sent      time.Time
	returned  bool
	tried     []string // engines that failed it
	started   bool     // the first token came
	late      bool     // it came after the objective
}

// schedule has a class's callers come.
func (w *World) schedule(c *Class) {
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
	// A session's size follows from its number, so that all requests agree on it.
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

// key returns under what a shared part is kept.
func (c *call) key(i int) kvindex.Part {
	return kvindex.Part{Salt: c.placement.Attempt.Salt, ID: c.request.Shared[i].ID}
}

// target returns where a shared part is to be saved.
func (c *call) target(i int) string {
	if i < len(c.placement.Attempt.Targets) {
		return c.placement.Attempt.Targets[i]
	}
	return ""
}

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

// place looks for an engine, waits, or is refused.
func (c *call) place() {
	w := c.world
	w.proveStore()
	placement, ok := w.placer.Place(c.query())
	placement.Waited = w.now.Sub(c.arrived)
	if !ok {
		c.decline(&placement)
		return
	}
	c.placement = placement
	c.rank = *placement.Attempt.Priority
	c.sent = w.now
	placement.Member.Load.Begin(placement.PrefillTokens, placement.MemoryTokens)
	w.engines[placement.Member.ID].send(c)
}

// decline waits for the next look, or comes back once after a refusal.
func (c *call) decline(p *forward.Placement) {
	w := c.world
	if pause := w.pause(p, c.class.Objective); pause > 0 {
		w.after(pause, c.place)
		return
	}
	w.Result.LongestWait = max(w.Result.LongestWait, p.Waited)
	w.Result.countRefusal(w.elapsed())
	after := refusal(p)
	if c.returned {
		w.Result.of(c).Refused++
		return
	}
	w.Result.Declined++
	w.Result.of(c).Returned++
	c.returned = true
	w.after(after, func() {
		c.arrived, c.tried = w.now, nil
		c.place()
	})
}

// began is called with the first token.
func (c *call) began() {
	after := c.world.now.Sub(c.sent)
	c.placement.Member.Load.FirstEvent(c.placement.PrefillTokens)
	c.placement.RecordFirstEvent(after)
	c.placement.Member.Health.RecordSuccess(c.world.now)
	c.started = true
	took := c.world.now.Sub(c.first)
	c.late = took > c.class.Objective
	c.world.Result.noteFirst(c, took)
}

// ended is called with the last token.
func (c *call) ended() {
	c.placement.Member.Load.End(c.placement.MemoryTokens)
	c.placement.RecordRun(c.world.now.Sub(c.sent))
}

// failed is called when the engine is gone. A run without a first token goes elsewhere; one
// that is under way is broken off.
func (c *call) failed() {
	member := c.placement.Member
	member.Load.End(c.placement.MemoryTokens)
	member.Health.RecordFailure(c.world.now, true)
	if c.started {
		c.world.Result.noteBroken(c)
		return
	}
	member.Load.FirstEvent(c.placement.PrefillTokens)
	if c.placement.RecordFailure != nil {
		c.placement.RecordFailure()
	}
	c.world.Result.Resent++
	c.tried = append(c.tried, member.ID)
	c.place()
}

// pause returns how long a prompt without a place waits until the next look.
func (w *World) pause(p *forward.Placement, objective time.Duration) time.Duration {
	if w.MaxWaitShare == nil {
		return p.RetryDelay(objective)
	}
	return p.RetryDelayWithin(time.Duration(*w.MaxWaitShare * float64(objective)))
}

// refusal returns when a caller that is refused may come back.
func refusal(p *forward.Placement) time.Duration {
	if p.OnRefusal == nil {
		return noEngineAfter
	}
	return p.OnRefusal()
}
