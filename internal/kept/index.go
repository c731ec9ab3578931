package kept

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
	// eventsRetry is the pause after a question that failed, and eventsRetryMost the same after
	// several, at a node that others may tell what the holder keeps. Those ask on meanwhile.
	eventsRetry     = 500 * time.Millisecond
	eventsRetryMost = 8 * time.Second
	// relayedFor is how long a holder isn't asked after another node told of it: two
	// questions to that node may fail.
	relayedFor = 900 * time.Millisecond
)

// Index is what is kept at all holders. It is safe for concurrent use.
type Index struct {
	Source Source
	Log    zerolog.Logger
	// Pace returns how long a question to a holder waits for an event, and the time
	// between the start of two. Events come in batches then.
	Pace func(h *Holder) (wait, pause time.Duration)
	// Relayed reports whether other nodes ask the stores for this one; nil for never. It then asks
	// a store that fails ever more seldom: one that comes up answers few readers at once.
	Relayed func() bool
	// Clock dates what holders and nodes tell. Nil is the steady clock.
	Clock *clock.Clock

	view atomic.Pointer[view]

	mu     sync.Mutex
	cancel map[*Holder]context.CancelFunc
	lapses *lapses // nil until the first Follow
	wg     sync.WaitGroup
	// engineClock is the newest reading of the engines' clock.
	engineClock atomic.Pointer[clockReading]
}

// view is the immutable list of holders.
type view struct {
	engines map[string]*Holder
	stores  []*Holder
}

// clockReading is the engines' clock at a local time.
type clockReading struct {
	ms int64
	at time.Time
}

// NewIndex returns an index without holders.
func NewIndex(source Source, paced func(h *Holder) (wait, pause time.Duration), log zerolog.Logger) *Index {
	x := &Index{Source: source, Pace: paced, Log: log, cancel: make(map[*Holder]context.CancelFunc)}
	x.view.Store(&view{engines: make(map[string]*Holder)})
	return x
}

// Engine returns what is kept at an engine, or nil.
func (x *Index) Engine(id string) *Holder { return x.view.Load().engines[id] }

// Engines returns all engines.
func (x *Index) Engines() map[string]*Holder { return x.view.Load().engines }

// Stores returns all stores.
func (x *Index) Stores() []*Holder { return x.view.Load().stores }

// ClockMS returns the engines' clock, at least as late as it was read; 0 while it
// is not known.
func (x *Index) ClockMS() int64 {
	r := x.engineClock.Load()
	if r == nil {
		return 0
	}
	return r.ms + x.Clock.Since(r.at).Milliseconds()
}

// Follow replaces the holders, and asks them for their events. Known ones, by id, start and
// address, stay as they are.
func (x *Index) Follow(ctx context.Context, engines, stores []*Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Replace(engines, stores)
	if x.lapses == nil {
		x.lapses = newLapses()
		x.lapses.clock = x.Clock
		x.wg.Go(func() { x.lapses.run(ctx) })
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

// Replace replaces the holders, whose events come by Take then.
func (x *Index) Replace(engines, stores []*Holder) {
	old := x.view.Load()
	next := &view{engines: make(map[string]*Holder)}
	for _, h := range engines {
		if known := old.engines[h.ID]; known != nil && known.Born == h.Born && known.Addr == h.Addr {
			h = known
		}
		next.engines[h.ID] = h
	}
	for _, h := range stores {
		next.stores = append(next.stores, x.known(old.stores, h))
	}
	x.view.Store(next)
}

// known returns the store that is followed already under the address, or h.
func (x *Index) known(stores []*Holder, h *Holder) *Holder {
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

// follow asks one holder for its events until ctx is done.
func (x *Index) follow(ctx context.Context, h *Holder) {
	failures := 0
	for ctx.Err() == nil {
		begun := x.Clock.Now()
		if h.relayedFor(begun) > 0 {
			x.lapses.wait(ctx, h)
			continue
		}
		wait, pause := x.Pace(h)
		events, err := x.Source.Events(ctx, h.Addr, h.since(), wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			pause = max(pause, x.retryPause(failures))
			failures++
			if h.failed() {
				x.Log.Warn().Str("event", "events_lost").Str("holder", h.ID).AnErr("error", err).Send()
			}
		default:
			failures = 0
			events.ProvenAt = begun
			x.Take(h, &events)
		}
		retry.Sleep(ctx, pause-x.Clock.Since(begun))
	}
}

// retryPause returns the pause after a question that failed, after so many that did before it.
func (x *Index) retryPause(failures int) time.Duration {
	if x.Relayed == nil || !x.Relayed() {
		return eventsRetry
	}
	return min(eventsRetry<<min(failures, 10), eventsRetryMost)
}

// Take notes a holder's events.
func (x *Index) Take(h *Holder, e *Events) {
	if e.ClockMS > 0 {
		x.engineClock.Store(&clockReading{ms: e.ClockMS, at: x.Clock.Now()})
	}
	if e.Gap {
		x.Log.Info().Str("event", "events_gap").Str("holder", h.ID).Int64("next", e.Next).Send()
	}
	if e.Unread > 0 {
		x.Log.Warn().Str("event", "events_unread").Str("holder", h.ID).Int("events", e.Unread).Send()
	}
	h.apply(e, x.Clock.Now())
}

// Wait returns when all following has ended.
func (x *Index) Wait() { x.wg.Wait() }
