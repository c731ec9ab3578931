package kvindex

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
)

const (
	// minEventsBackoff is the pause after a failed request for events. maxEventsBackoff bounds the
	// exponential backoff of a node to which other nodes relay events; those other nodes keep
	// requesting at the shorter interval.
	minEventsBackoff = 500 * time.Millisecond
	maxEventsBackoff = 8 * time.Second
	// relayLifetime is how long a relayed update is used instead of requests to the holder. It
	// spans three relay request intervals.
	relayLifetime = 900 * time.Millisecond
)

// Index records which parts are kept at all holders. It is safe for concurrent use.
type Index struct {
	Source Source
	Log    zerolog.Logger
	// Pace returns how long a request to a holder waits for the first event, and the minimum time
	// between the start of two requests. A pause makes events arrive in batches.
	Pace func(h *Holder) (wait, pause time.Duration)
	// ReceivesRelays reports whether other nodes request the stores' events and relay them to this
	// one; nil means never. If they do, this node backs off exponentially from a store that fails,
	// because a store that is starting can serve few requests at once.
	ReceivesRelays func() bool
	// Clock timestamps responses and relayed updates. Nil is the monotonic clock.
	Clock *clock.Clock

	view atomic.Pointer[view]

	mu          sync.Mutex
	cancel      map[*Holder]context.CancelFunc
	relayExpiry *relayExpiryWatcher // nil until the first Follow
	wg          sync.WaitGroup
	// engineClock is the latest reading of the engines' clock.
	engineClock atomic.Pointer[clockReading]
}

// view is an immutable list of holders.
type view struct {
	engines map[string]*Holder
	stores  []*Holder
}

// clockReading is a reading of the engines' clock and the local time at which it was made.
type clockReading struct {
	ms int64
	at time.Time
}

// NewIndex returns an index without holders.
func NewIndex(source Source, pace func(h *Holder) (wait, pause time.Duration), log zerolog.Logger) *Index {
	x := &Index{Source: source, Pace: pace, Log: log, cancel: make(map[*Holder]context.CancelFunc)}
	x.view.Store(&view{engines: make(map[string]*Holder)})
	return x
}

// Engine returns the holder of the engine with the id, or nil.
func (x *Index) Engine(id string) *Holder { return x.view.Load().engines[id] }

// Engines returns all engines.
func (x *Index) Engines() map[string]*Holder { return x.view.Load().engines }

// Stores returns all stores.
func (x *Index) Stores() []*Holder { return x.view.Load().stores }

// ClockMS returns an estimate of the engines' clock in ms that is never behind the latest reading;
// 0 if there is no reading.
func (x *Index) ClockMS() int64 {
	r := x.engineClock.Load()
	if r == nil {
		return 0
	}
	return r.ms + x.Clock.Since(r.at).Milliseconds()
}

// Follow replaces the list of holders and requests their events until ctx is done. Holders that
// are listed already keep their state: engines with the same id, start time and address, stores with
// the same address and capacity.
func (x *Index) Follow(ctx context.Context, engines, stores []*Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Replace(engines, stores)
	if x.relayExpiry == nil {
		x.relayExpiry = newRelayExpiryWatcher()
		x.relayExpiry.clock = x.Clock
		x.wg.Go(func() { x.relayExpiry.run(ctx) })
	}
	next := x.view.Load()
	for _, h := range next.engines {
		x.start(ctx, h)
	}
	for _, h := range next.stores {
		x.start(ctx, h)
	}
	x.stopOthers(next)
}

// Replace replaces the list of holders without requesting their events, which the caller then
// supplies. Holders that are listed already keep their state, as in Follow.
func (x *Index) Replace(engines, stores []*Holder) {
	old := x.view.Load()
	next := &view{engines: make(map[string]*Holder)}
	for _, h := range engines {
		if known := old.engines[h.ID]; known != nil && known.StartedMs == h.StartedMs && known.Addr == h.Addr {
			h = known
		}
		next.engines[h.ID] = h
	}
	for _, h := range stores {
		next.stores = append(next.stores, x.existingStore(old.stores, h))
	}
	x.view.Store(next)
}

// existingStore returns the listed store with the same address and capacity as h, or h if there is
// none.
func (x *Index) existingStore(stores []*Holder, h *Holder) *Holder {
	for _, s := range stores {
		if s.Addr == h.Addr && s.Tokens == h.Tokens {
			return s
		}
	}
	return h
}

func (x *Index) start(ctx context.Context, h *Holder) {
	if _, followed := x.cancel[h]; followed {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	x.cancel[h] = cancel
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		x.follow(ctx, h)
	}()
}

func (x *Index) stopOthers(v *view) {
	for h, cancel := range x.cancel {
		if v.engines[h.ID] == h || slices.Contains(v.stores, h) {
			continue
		}
		cancel()
		delete(x.cancel, h)
	}
}

// follow requests the events of one holder until ctx is done.
func (x *Index) follow(ctx context.Context, h *Holder) {
	failures := 0
	for ctx.Err() == nil {
		started := x.Clock.Now()
		if h.relayRemaining(started) > 0 {
			x.relayExpiry.wait(ctx, h)
			continue
		}
		wait, pause := x.Pace(h)
		events, err := x.Source.Events(ctx, h.Addr, h.nextEvent(), wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			pause = max(pause, x.retryPause(failures))
			failures++
			if h.markUnreachable() {
				x.Log.Warn().Str("event", "events_lost").Str("holder", h.ID).AnErr("error", err).Send()
			}
		default:
			failures = 0
			events.ConfirmedAt = started
			x.Apply(h, &events)
		}
		retry.Sleep(ctx, pause-x.Clock.Since(started))
	}
}

// retryPause returns the pause after a failed request that follows the given number of consecutive
// failures.
func (x *Index) retryPause(failures int) time.Duration {
	if x.ReceivesRelays == nil || !x.ReceivesRelays() {
		return minEventsBackoff
	}
	return min(minEventsBackoff<<min(failures, 10), maxEventsBackoff)
}

// Apply applies a batch of events to a holder.
func (x *Index) Apply(h *Holder, e *Events) {
	if e.ClockMS > 0 {
		x.engineClock.Store(&clockReading{ms: e.ClockMS, at: x.Clock.Now()})
	}
	if e.Gap {
		x.Log.Info().Str("event", "events_gap").Str("holder", h.ID).Int64("next", e.Next).Send()
	}
	if e.Undecoded > 0 {
		x.Log.Warn().Str("event", "events_unread").Str("holder", h.ID).Int("events", e.Undecoded).Send()
	}
	h.apply(e, x.Clock.Now())
}

// Wait returns when all goroutines started by Follow have ended.
func (x *Index) Wait() { x.wg.Wait() }
