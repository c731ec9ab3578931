package fleetmodel

import (
	"fmt"
	"math"
	"time"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kept"
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
	Objective, Deadline                   time.Duration
}

// request is one caller's prompt.
type request struct {
	Shared []forward.Part
	Own    int // tokens
	Output int
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
}

// schedule has a class's callers come.
func (w *World) schedule(c *Class) {
	burst := max(c.Burst, 1)
	gap := float64(burst) / c.PerSecond
	for at := w.random.ExpFloat64() * gap; at < w.Length.Seconds(); at += w.random.ExpFloat64() * gap {
		for range burst {
			request := w.newRequest(c)
			w.after(time.Duration(at*float64(time.Second)), func() {
				(&call{world: w, class: c, request: request, first: w.now, arrived: w.now}).place()
			})
		}
	}
}

func (w *World) newRequest(c *Class) request {
	session := w.random.IntN(c.Sessions)
	// A session's size follows from its number, so that all requests agree on it.
	size := math.Exp2(2*float64(session)/float64(c.Sessions) - 1)
	id := fmt.Sprintf("%s-%d", c.Name, session)
	return request{
		Shared: []forward.Part{{ID: id, Tokens: max(int(size*float64(c.SharedTokens)), 1)}},
		Own:    1 + int(w.random.ExpFloat64()*float64(c.OwnTokens)),
		Output: 1 + int(w.random.ExpFloat64()*float64(c.OutputTokens)),
	}
}

// key returns under what a shared part is kept.
func (c *call) key(i int) kept.Part {
	return kept.Part{Salt: c.placement.Attempt.Salt, ID: c.request.Shared[i].ID}
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
	placement, ok := w.placer.Place(c.query())
	placement.Waited = w.now.Sub(c.arrived)
	if !ok {
		c.decline(&placement)
		return
	}
	c.placement = placement
	c.rank = *placement.Attempt.Priority
	c.sent = w.now
	placement.Member.Load.Begin(placement.Reading, placement.Holding)
	w.engines[placement.Member.ID].send(c)
}

// decline waits for the next look, or comes back once after a refusal.
func (c *call) decline(p *forward.Placement) {
	w := c.world
	if pause := p.Pause(c.class.Objective); pause > 0 {
		w.after(pause, c.place)
		return
	}
	w.Result.LongestWait = max(w.Result.LongestWait, p.Waited)
	after := p.Refuse()
	if c.returned {
		w.Result.of(c).Refused++
		return
	}
	w.Result.Declined++
	c.returned = true
	w.after(after, func() {
		c.arrived = w.now
		c.place()
	})
}

// began is called with the first token.
func (c *call) began() {
	after := c.world.now.Sub(c.sent)
	c.placement.Member.Load.FirstEvent(c.placement.Reading)
	c.placement.Began(after)
	outcome := c.world.Result.of(c)
	if c.world.now.Sub(c.first) <= c.class.Objective {
		outcome.InTime++
	} else {
		outcome.Late++
	}
}

// ended is called with the last token.
func (c *call) ended() {
	c.placement.Member.Load.End(c.placement.Holding)
	c.placement.Ended(c.world.now.Sub(c.sent))
}
