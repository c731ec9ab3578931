package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Claimer acquires claims for one process. It is safe for concurrent use.
type Claimer struct {
	config Config
	turn   chan struct{} // held to use view
	view   view
}

// New returns a Claimer; the first Acquire reads the retained log.
func New(config Config) (*Claimer, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Claimer{
		config: config,
		turn:   make(chan struct{}, 1),
		view: view{
			log:       config.Log,
			clock:     config.Clock,
			grace:     config.Grace,
			maxTTL:    config.MaxTTL,
			resources: make(map[string]*resource),
		},
	}, nil
}

// Acquire claims the resource for ttl, waiting until it is free or ctx ends. A
// free resource costs one append. After an error, of ctx or for a wrong ttl, a
// record may have been appended: it keeps others waiting for ttl, no more.
func (c *Claimer) Acquire(ctx context.Context, resource string, ttl time.Duration) (*Claim, error) {
	return c.acquire(ctx, []string{resource}, ttl)
}

// AcquireAny claims one of the numbered slots of the resource, so that at most
// that many holders exist. All contenders use the same number; when it is
// lowered, holders of slots above keep them for their ttl.
func (c *Claimer) AcquireAny(ctx context.Context, resource string, slots int, ttl time.Duration) (*Claim, error) {
	names := make([]string, slots)
	for i := range names {
		names[i] = fmt.Sprintf("%s#%d", resource, i)
	}
	return c.acquire(ctx, names, ttl)
}

// attempt is a record that was sent, whatever became of it.
type attempt struct {
	id       string
	resource string
	start    time.Duration // before the read that it is based on
}

// state is where one acquire stands after a read.
type state struct {
	won    *Claim
	free   string // a resource to claim; empty if none is free
	freeAt time.Duration
	seen   int64
}

func (c *Claimer) acquire(ctx context.Context, names []string, ttl time.Duration) (*Claim, error) {
	if ttl <= c.config.OrderTimeout || ttl > c.config.MaxTTL {
		return nil, fmt.Errorf("claim: ttl %v is not within %v to %v", ttl, c.config.OrderTimeout, c.config.MaxTTL)
	}
	if len(names) == 0 {
		return nil, errors.New("claim: no slots")
	}
	var attempts []attempt
	var settled int64 // offsets below must be read before the next append
	spread := false
	for ctx.Err() == nil {
		start := c.config.Clock.Now()
		s, err := c.look(ctx, names, attempts, ttl)
		switch {
		case s.won != nil:
			return s.won, nil
		case err != nil || s.seen < settled:
			c.config.Clock.Sleep(ctx, c.config.Poll)
		case s.free == "":
			spread = true
			c.config.Clock.Sleep(ctx, min(c.config.Poll, s.freeAt-start))
		case spread:
			spread = false
			c.config.Clock.Sleep(ctx, time.Duration(c.config.Random(int64(c.config.Poll))))
		default:
			a := attempt{id: rand.Text(), resource: s.free, start: start}
			attempts = append(attempts, a)
			settled = c.append(ctx, a, s.seen, ttl) + 1
			spread = true
		}
	}
	return nil, context.Cause(ctx)
}

// append sends a claim record. A lost answer is as good as none: the record is
// looked for in the log.
func (c *Claimer) append(ctx context.Context, a attempt, seen int64, ttl time.Duration) int64 {
	e := entry{Kind: kindClaim, ID: a.id, Resource: a.resource, Holder: c.config.Holder, TTL: ttl, Seen: seen}
	offset, err := c.config.Log.Append(ctx, e.encode())
	if err != nil {
		c.config.Clock.Sleep(ctx, c.config.Poll)
		return -1
	}
	return offset
}

// read brings the view up to date with the log and calls use on it, while no
// other call of this process uses it.
func (c *Claimer) read(ctx context.Context, use func()) error {
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.turn }()
	if err := c.view.sync(ctx); err != nil {
		return err
	}
	use()
	return nil
}

// look reads the log and tells what it says for the acquire.
func (c *Claimer) look(ctx context.Context, names []string, attempts []attempt, ttl time.Duration) (state, error) {
	var s state
	err := c.read(ctx, func() {
		s.won = c.won(attempts, ttl)
		s.seen = c.view.position
		s.free, s.freeAt = c.choose(names)
	})
	return s, err
}

// won returns the claim of the attempt that took effect, if time is left.
func (c *Claimer) won(attempts []attempt, ttl time.Duration) *Claim {
	for _, a := range attempts {
		h := c.view.resource(a.resource).current
		if h == nil || h.id != a.id {
			continue
		}
		won := newClaim(c, a, h.offset, ttl)
		if won.Valid(c.config.OrderTimeout) {
			won.watch()
			return won
		}
	}
	return nil
}

// choose picks a random free resource, or tells when the first gets free.
func (c *Claimer) choose(names []string) (string, time.Duration) {
	now := c.config.Clock.Now()
	var free []string
	first := now + c.config.MaxTTL
	for _, name := range names {
		at := c.view.freeAt(name)
		first = min(first, at)
		if at <= now {
			free = append(free, name)
		}
	}
	if len(free) == 0 {
		return "", first
	}
	return free[c.config.Random(int64(len(free)))], first
}

// Holding is a claim in effect, as the log tells.
type Holding struct {
	Resource string
	Holder   string
	Token    int64
	FreeIn   time.Duration // until a contender may follow
	// Unsure marks records of which this node can't tell whether they took
	// effect, since retention dropped what they rest on. They are waited for.
	Unsure bool
}

// Holdings reads the log and returns the claims that are neither released nor
// over, sorted by resource, for operators.
func (c *Claimer) Holdings(ctx context.Context) ([]Holding, error) {
	var all []Holding
	err := c.read(ctx, func() { all = c.holdings() })
	return all, err
}

func (c *Claimer) holdings() []Holding {
	now := c.config.Clock.Now()
	var all []Holding
	for name, r := range c.view.resources {
		if h := r.current; h != nil && !h.released && h.until > now {
			all = append(all, Holding{Resource: name, Holder: h.holder, Token: h.offset, FreeIn: h.until - now})
		}
		if r.unsureUntil > now {
			all = append(all, Holding{Resource: name, Token: r.unsureThrough, FreeIn: r.unsureUntil - now, Unsure: true})
		}
	}
	slices.SortFunc(all, func(a, b Holding) int { return strings.Compare(a.Resource, b.Resource) })
	return all
}
