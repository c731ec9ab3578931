package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/kvcache"
)

const (
	roleLeaving  = "leaving"   // role of an engine that takes no new work
	idleTick     = time.Second // time to the next tick if none is scheduled
	loadInterval = time.Second
	eventWait    = 5 * time.Second        // how long an engine may delay its response to an event call
	retryWait    = 500 * time.Millisecond // mean delay after a failed read
	readTimeout  = 3 * time.Second
)

// EngineReader calls the HTTP API of an engine at the given base URL.
type EngineReader interface {
	State(ctx context.Context, base string) (*enginewire.State, error)
	Load(ctx context.Context, base string) (*enginewire.Load, error)
	Events(ctx context.Context, base string, since uint64, wait time.Duration) (*enginewire.Events, error)
	Import(ctx context.Context, base string, req *enginewire.TransferRequest) (*enginewire.TransferResponse, error)
	Export(ctx context.Context, base string, req *enginewire.TransferRequest) (*enginewire.TransferResponse, error)
}

// watch follows the state of an engine until ctx is done. url returns the engine's
// current base URL; leaving reports whether the engine must not be given new work.
func (e *engine) watch(ctx context.Context, reader EngineReader, url func() string, leaving func() bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { e.watchEvents(ctx, reader, url) })
	wg.Go(func() { e.watchLoad(ctx, reader, url, leaving) })
	e.watchTicks(ctx)
}

func (e *engine) watchTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			e.tick(time.Now())
		case <-e.wake:
		}
		timer.Reset(e.untilNextTick(time.Now()))
	}
}

// watchLoad reads the engine's load reports and updates its leaving state.
func (e *engine) watchLoad(ctx context.Context, reader EngineReader, url func() string, leaving func() bool) {
	for {
		e.setLeaving(time.Now(), leaving())
		if load, err := readWithin(ctx, url(), reader.Load); err == nil {
			e.report(time.Now(), load)
			e.setLeaving(time.Now(), leaving()) // the report contains the engine's role
		}
		if !retry.Sleep(ctx, jitter(loadInterval)) {
			return
		}
	}
}

// watchEvents applies the engine's cache events to the index and reads the engine's
// full state when necessary.
func (e *engine) watchEvents(ctx context.Context, reader EngineReader, url func() string) {
	for ctx.Err() == nil {
		if e.index.NeedsResync() || e.needsState() {
			state, err := readWithin(ctx, url(), reader.State)
			if err != nil {
				retry.Sleep(ctx, jitter(retryWait))
				continue
			}
			e.setReported(state)
		}
		events, err := reader.Events(ctx, url(), e.index.LastSeq(), eventWait)
		if err != nil {
			retry.Sleep(ctx, jitter(retryWait))
			continue
		}
		e.applyEvents(events)
	}
}

func (e *engine) needsState() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reported == nil
}

func (e *engine) applyEvents(events *enginewire.Events) {
	e.mu.Lock()
	if e.reported != nil && e.reported.Incarnation != events.Incarnation {
		e.reported = nil // the engine was restarted: its weights and layout must be read again
	}
	e.mu.Unlock()
	in := make([]kvcache.Event, 0, len(events.Events))
	for _, ev := range events.Events {
		in = append(in, kvcache.Event{Seq: ev.Seq, Block: ev.Block, Removed: ev.Removed})
	}
	e.index.Apply(events.Incarnation, in)
	e.index.AdvanceTo(events.Incarnation, events.Next)
}

func readWithin[T any](ctx context.Context, base string, read func(context.Context, string) (*T, error)) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return read(ctx, base)
}

// jitter returns a random duration from d/2 to 3d/2, so that the owners of many
// engines do not read at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
