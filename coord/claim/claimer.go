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
	config   Config
	viewLock chan struct{} // has capacity 1; a send locks view, a receive unlocks it
	view     view
}

// New returns a Claimer. It fails if the configuration is invalid. The first Acquire reads the
// retained log.
func New(config Config) (*Claimer, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Claimer{
		config:   config,
		viewLock: make(chan struct{}, 1),
		view: view{
			log:     config.Log,
			clock:   config.Clock,
			grace:   config.Grace,
			maxTTL:  config.MaxTTL,
			lostTTL: config.LostTTL,

			generation: config.Generation,
			resources:  make(map[string]*resourceState),
		},
	}, nil
}

// Acquire claims the resource for ttl. It waits until the resource is free and returns
// context.Cause(ctx) if ctx ends first. Claiming a free resource costs one append. It returns an
// error unless ttl is greater than OrderTimeout and at most MaxTTL. If ctx ends first, a record
// may already have been appended; it blocks contenders no longer than a claim for ttl would.
func (c *Claimer) Acquire(ctx context.Context, resource string, ttl time.Duration) (*Claim, error) {
	return c.acquire(ctx, []string{resource}, ttl)
}

// AcquireSlot claims one of the numbered slots of the resource, which limits the number of
// holders to slots. Claim.Resource then returns the name of the slot, "resource#0" for the
// first. All contenders must use the same number. After the number is lowered, holders of slots
// above it keep them until their claims expire.
func (c *Claimer) AcquireSlot(ctx context.Context, resource string, slots int, ttl time.Duration) (*Claim, error) {
	names := make([]string, slots)
	for i := range names {
		names[i] = fmt.Sprintf("%s#%d", resource, i)
	}
	return c.acquire(ctx, names, ttl)
}

// attempt is a claim record that this process sent; it may or may not have reached the log.
type attempt struct {
	id       string
	resource string
	start    time.Duration // clock reading before the log read that the record is based on
}

// acquireState is the result of reading the log for a call to acquire.
type acquireState struct {
	wonClaim   *Claim
	free       string // a resource that can be claimed now; empty if none is free
	freeAt     time.Duration
	readOffset int64
}

func (c *Claimer) acquire(ctx context.Context, names []string, ttl time.Duration) (*Claim, error) {
	if ttl <= c.config.OrderTimeout || ttl > c.config.MaxTTL {
		return nil, fmt.Errorf("claim: acquire: ttl %v must be greater than %v and at most %v", ttl, c.config.OrderTimeout, c.config.MaxTTL)
	}
	if len(names) == 0 {
		return nil, errors.New("claim: acquire: number of slots must be positive")
	}
	var attempts []attempt
	var minReadOffset int64 // the next append waits until the log was read up to this offset
	delayAppend := false
	for ctx.Err() == nil {
		start := c.config.Clock.Now()
		s, err := c.readState(ctx, names, attempts, ttl)
		switch {
		case s.wonClaim != nil:
			return s.wonClaim, nil
		case err != nil || s.readOffset < minReadOffset:
			c.config.Clock.Sleep(ctx, c.config.Poll)
		case s.free == "":
			delayAppend = true
			c.config.Clock.Sleep(ctx, min(c.config.Poll, s.freeAt-start))
		case delayAppend:
			delayAppend = false
			c.config.Clock.Sleep(ctx, time.Duration(c.config.Random(int64(c.config.Poll))))
		default:
			a := attempt{id: rand.Text(), resource: s.free, start: start}
			attempts = append(attempts, a)
			minReadOffset = c.append(ctx, a, s.readOffset, ttl) + 1
			delayAppend = true
		}
	}
	return nil, context.Cause(ctx)
}

// append adds a claim record to the log and returns its offset. After an error it waits for the
// poll interval and returns -1; only later reads of the log show whether the record was added.
func (c *Claimer) append(ctx context.Context, a attempt, readOffset int64, ttl time.Duration) int64 {
	e := recordContent{Kind: kindClaim, ID: a.id, Resource: a.resource, Holder: c.config.Holder, TTL: ttl, ReadOffset: readOffset}
	offset, err := c.config.Log.Append(ctx, e.encode())
	if err != nil {
		c.config.Clock.Sleep(ctx, c.config.Poll)
		return -1
	}
	return offset
}

// withCurrentView reads the log to its end and then calls use while holding the lock of the
// view. It returns an error if ctx ends or the read fails.
func (c *Claimer) withCurrentView(ctx context.Context, use func()) error {
	select {
	case c.viewLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.viewLock }()
	if err := c.view.sync(ctx); err != nil {
		return err
	}
	use()
	return nil
}

// readState reads the log and returns the state of a call to acquire.
func (c *Claimer) readState(ctx context.Context, names []string, attempts []attempt, ttl time.Duration) (acquireState, error) {
	var s acquireState
	err := c.withCurrentView(ctx, func() {
		s.wonClaim = c.wonClaim(attempts, ttl)
		s.readOffset = c.view.nextOffset
		s.free, s.freeAt = c.chooseResource(names)
	})
	return s, err
}

// wonClaim returns the claim of the attempt that took effect, or nil if none did or its
// remaining time is at most the order timeout.
func (c *Claimer) wonClaim(attempts []attempt, ttl time.Duration) *Claim {
	for _, a := range attempts {
		h := c.view.resource(a.resource).current
		if h == nil || h.id != a.id {
			continue
		}
		won := newClaim(c, a, h.offset, ttl)
		if won.Valid(c.config.OrderTimeout) {
			won.startContext()
			return won
		}
	}
	return nil
}

// chooseResource returns a random free resource, or an empty name if none is free, and the
// earliest time at which one becomes free, at most MaxTTL from now.
func (c *Claimer) chooseResource(names []string) (string, time.Duration) {
	now := c.config.Clock.Now()
	var free []string
	earliest := now + c.config.MaxTTL
	for _, name := range names {
		at := c.view.freeAt(name)
		earliest = min(earliest, at)
		if at <= now {
			free = append(free, name)
		}
	}
	if len(free) == 0 {
		return "", earliest
	}
	return free[c.config.Random(int64(len(free)))], earliest
}

// Holding is a claim for which contenders still wait, as derived from the log.
type Holding struct {
	Resource string
	Holder   string
	Token    int64
	FreeIn   time.Duration // time until a contender can claim the resource
	// Uncertain marks claim records whose outcome this process cannot determine, because log
	// retention removed the records that they are based on. Contenders wait for them to expire.
	// Token is then the offset of the newest such record, and Holder is empty.
	Uncertain bool
}

// Holdings reads the log and returns the claims that were not released and for which
// contenders still wait, sorted by resource. It is meant for display to operators.
func (c *Claimer) Holdings(ctx context.Context) ([]Holding, error) {
	var all []Holding
	err := c.withCurrentView(ctx, func() { all = c.holdings() })
	return all, err
}

func (c *Claimer) holdings() []Holding {
	now := c.config.Clock.Now()
	var all []Holding
	for name, r := range c.view.resources {
		if h := r.current; h != nil && !h.released && h.freeAt > now {
			all = append(all, Holding{Resource: name, Holder: h.holder, Token: h.offset, FreeIn: h.freeAt - now})
		}
		if r.uncertainUntil > now {
			all = append(all, Holding{Resource: name, Token: r.uncertainThrough, FreeIn: r.uncertainUntil - now, Uncertain: true})
		}
	}
	slices.SortFunc(all, func(a, b Holding) int { return strings.Compare(a.Resource, b.Resource) })
	return all
}
