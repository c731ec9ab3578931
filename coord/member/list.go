package member

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrInvalidSelf is returned by New if Config.Self has no ID or no address, or
// if one of its fields is too long.
var ErrInvalidSelf = errors.New("member: self must have an ID and an address within the length limits")

// Config contains the settings of a List.
type Config struct {
	// Self describes this node. Its ID must be unique.
	Self RosterEntry
	// Transport sends requests to peers.
	Transport Transport
	// Seed initializes the random choices, including the incarnation. It must
	// differ between starts of a node, except in tests.
	Seed uint64
}

// List is the member list of one node. All methods are safe for concurrent use.
type List struct {
	transport Transport
	wake      chan struct{}

	mu          sync.Mutex
	core        *core
	view        View
	subscribers map[chan View]bool
}

// New returns a list that contains only this node. The list sends nothing until
// Run is called. New returns ErrInvalidSelf if cfg.Self is unusable.
func New(cfg Config) (*List, error) {
	self := Entry{ID: cfg.Self.ID, Addr: cfg.Self.Addr, Domain: cfg.Self.Domain}
	if !self.valid() || self.Addr == "" {
		return nil, ErrInvalidSelf
	}
	return &List{
		transport:   cfg.Transport,
		wake:        make(chan struct{}, 1),
		core:        newCore(cfg.Self, cfg.Seed, time.Now()),
		subscribers: make(map[chan View]bool),
	}, nil
}

// Run probes and gossips until ctx ends. It then waits for the exchanges in
// flight and returns the error of the context.
func (l *List) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, ex := range l.takeOutbox() {
			wg.Go(func() { l.exchange(ctx, ex) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-ticker.C:
			l.step(func(now time.Time) { l.core.tick(now) })
		}
	}
}

// takeOutbox returns the queued exchanges and removes them from the core.
func (l *List) takeOutbox() []*exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.takeOutbox()
}

// exchange sends one request and passes the outcome to the core, unless ctx has
// ended.
func (l *List) exchange(ctx context.Context, ex *exchange) {
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := l.transport.Exchange(exchangeCtx, ex.addr, ex.req)
	if ctx.Err() != nil {
		return
	}
	l.step(func(now time.Time) { l.core.completeExchange(now, ex, resp, err) })
}

// step calls f while it holds the lock. It then publishes the view if f changed
// it, and wakes Run if exchanges are queued.
func (l *List) step(f func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldVersion := l.core.version
	f(time.Now())
	if l.core.version != oldVersion {
		l.publish()
	}
	if len(l.core.outbox) > 0 {
		notify(l.wake)
	}
}

// notify sends on ch without blocking. It does nothing if ch is full.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// HandleExchange merges a request from an authenticated peer and returns the
// response. It does not block on I/O, and processing the same request again is
// safe.
func (l *List) HandleExchange(req *Message) *Message {
	var resp *Message
	l.step(func(now time.Time) { resp = l.core.handleRequest(now, req) })
	return resp
}

// SetRoster replaces the roster with the newest list from the platform. The
// list must be complete. An empty list is ignored, because a platform that
// reports no hosts has failed. If an entry marks a member as Leaving whose
// incarnation is known and that is not Dead, that incarnation stays Leaving. For
// any other member, the mark applies only until the roster changes.
func (l *List) SetRoster(roster []RosterEntry) {
	if len(roster) == 0 {
		return
	}
	l.step(func(now time.Time) { l.core.setRoster(now, roster) })
}

// Leave announces that this node is leaving. It returns immediately; Run must
// continue for at least LeaveBound so that the other nodes receive the
// announcement. Leaving cannot be reverted. Further calls only send updates that
// are still queued.
func (l *List) Leave() {
	l.step(func(now time.Time) { l.core.leave(now) })
}

// View returns the current view. It copies the members only if the view has
// changed since the last copy.
func (l *List) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentView()
}

// currentView returns the cached view, after renewing it if it is out of date.
// The caller must hold the lock.
func (l *List) currentView() View {
	if l.view.Version != l.core.version {
		l.view = l.core.snapshot()
	}
	return l.view
}

// Stats returns the event counters.
func (l *List) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.stats
}

// Subscribe returns a channel and a function that cancels the subscription. The
// channel holds the newest view that has not been received, initially the
// current one. A slow subscriber may miss intermediate views, but always
// receives the newest.
func (l *List) Subscribe() (<-chan View, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan View, 1)
	ch <- l.currentView()
	l.subscribers[ch] = true
	cancel := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.subscribers, ch)
	}
	return ch, cancel
}

// publish replaces the view in the channel of each subscriber with the current
// one. The caller must hold the lock.
func (l *List) publish() {
	for ch := range l.subscribers {
		select {
		case <-ch:
		default:
		}
		ch <- l.currentView()
	}
}
