package kvcache

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// pausedOp is an owner's operation that is paused before one of its calls.
type pausedOp struct {
	owner  int
	resume chan stepOutcome
}

// stepOutcome holds the errors to inject before and after the call at which an
// operation is paused.
type stepOutcome struct{ before, after error }

// scheduler interleaves the operations of two owners call by call. Only one goroutine
// runs at a time, so that the seed determines the whole run.
type scheduler struct {
	store   *fakeStore
	engine  *fakeEngine
	owners  [2]*StoreHost
	paused  []*pausedOp
	current *pausedOp
	yielded chan struct{} // receives when the running operation pauses or ends
	partial bool          // the next write is incomplete but reports no error
}

// variant introduces a defect into an owner.
type variant func(*scheduler, *StoreHost)

func newScheduler(t *rapid.T, broken variant) *scheduler {
	s := newFakeStore()
	s.capacity = 12
	sched := &scheduler{store: s, yielded: make(chan struct{})}
	sched.engine = &fakeEngine{store: s, breakWrite: func() bool {
		breaks := sched.partial
		sched.partial = false
		return breaks
	}}
	for i := range sched.owners {
		sched.owners[i] = newOwner(t, s, fmt.Sprint("owner", i))
		if broken != nil {
			broken(sched, sched.owners[i])
		}
	}
	s.step = sched.step
	return sched
}

// step pauses the operation that calls it until advance.
func (sched *scheduler) step(string) (before, after error) {
	self := sched.current
	sched.paused = append(sched.paused, self)
	sched.yielded <- struct{}{}
	outcome := <-self.resume
	return outcome.before, outcome.after
}

// start runs an operation until its first call.
func (sched *scheduler) start(owner int, op func(*StoreHost)) {
	self := &pausedOp{owner: owner, resume: make(chan stepOutcome)}
	sched.current = self
	go func() {
		op(sched.owners[owner])
		sched.yielded <- struct{}{}
	}()
	<-sched.yielded
}

// advance resumes a paused operation until its next call or its end.
func (sched *scheduler) advance(i int, outcome stepOutcome) {
	self := sched.paused[i]
	sched.paused = append(sched.paused[:i], sched.paused[i+1:]...)
	sched.current = self
	self.resume <- outcome
	<-sched.yielded
}

// finish runs all operations to their end.
func (sched *scheduler) finish() {
	for len(sched.paused) > 0 {
		sched.advance(0, stepOutcome{})
	}
}

// kill replaces an owner by a new one with an empty state. The operations of the old
// owner fail at the call at which they are paused.
func (sched *scheduler) kill(t *rapid.T, owner int, broken variant) {
	for i := 0; i < len(sched.paused); {
		if sched.paused[i].owner == owner {
			sched.advance(i, stepOutcome{before: errLost})
			i = 0
			continue
		}
		i++
	}
	sched.owners[owner] = newOwner(t, sched.store, fmt.Sprint("owner", owner, "-", sched.store.now.UnixNano(), "-", len(sched.store.used)))
	if broken != nil {
		broken(sched, sched.owners[owner])
	}
}

var operations = map[string]func(*StoreHost, *fakeEngine, Request){
	"export":  func(h *StoreHost, e *fakeEngine, req Request) { _, _ = export(h, e, req) },
	"import":  func(h *StoreHost, e *fakeEngine, req Request) { importedBlocks(h, e, req) },
	"flush":   func(h *StoreHost, _ *fakeEngine, _ Request) { _ = h.Flush(ctx) },
	"sweep":   func(h *StoreHost, _ *fakeEngine, _ Request) { _ = h.Sweep(ctx) },
	"refresh": func(h *StoreHost, _ *fakeEngine, _ Request) { _, _ = h.Refresh(ctx) },
	"evict": func(h *StoreHost, _ *fakeEngine, _ Request) {
		_ = h.Evict(ctx, fakeBlockBytes, 0, func(c Candidate) float64 { return c.Idle.Seconds() })
	},
}

var operationNames = []string{"export", "import", "flush", "sweep", "refresh", "evict"}

// interleave runs random operations of two owners with faults and returns the first
// violation of the invariants.
func interleave(t *rapid.T, broken variant) (*fakeStore, error) {
	sched := newScheduler(t, broken)
	requests := []Request{request("one", 2), request("one", 4), request("two", 3)}
	restore := sched.store.snapshot()
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		if sched.store.violation != nil {
			break
		}
		owner := rapid.IntRange(0, 1).Draw(t, "owner")
		choice := rapid.IntRange(0, 99).Draw(t, "choice")
		switch {
		case choice < 25 && len(sched.paused) < 4:
			name := rapid.SampledFrom(operationNames).Draw(t, "operation")
			req := rapid.SampledFrom(requests).Draw(t, "request")
			sched.start(owner, func(h *StoreHost) { operations[name](h, sched.engine, req) })
		case choice < 80 && len(sched.paused) > 0:
			sched.advance(rapid.IntRange(0, len(sched.paused)-1).Draw(t, "waiting"), stepOutcome{})
		case choice < 83 && len(sched.paused) > 0:
			sched.advance(0, stepOutcome{after: errLost})
		case choice < 86 && len(sched.paused) > 0:
			sched.advance(0, stepOutcome{before: errDown})
		case choice < 88:
			sched.kill(t, owner, broken)
		case choice < 90:
			sched.partial = true
		case choice < 92:
			sched.store.restoredDuringCall = sched.store.restoredDuringCall || len(sched.paused) > 0
			restore()
			restore = sched.store.snapshot()
		case choice < 93:
			restore = sched.store.snapshot()
		default:
			sched.store.now = sched.store.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
		}
	}
	sched.finish()
	return sched.store, sched.store.violation
}

func TestAnyInterleavingIsSafe(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		s, err := interleave(t, nil)
		must.NoError(t, err)
		accepted += s.accepted
	})
	must.Greater(t, 50, accepted) // the runs must include successful reads
}

// unverifiedStore reports every block as complete with the engine's checksum, without
// checking its contents.
type unverifiedStore struct {
	Store
	engine *fakeEngine
}

func (s unverifiedStore) BlockInfo(_ context.Context, name string) (BlockInfo, error) {
	return BlockInfo{Name: name, Bytes: fakeBlockBytes, Checksum: s.engine.reported[name], Complete: true}, nil
}

// blockFirstStore deletes a block before its manifest.
type blockFirstStore struct{ Store }

func (s blockFirstStore) DeleteManifest(ctx context.Context, key, name string) error {
	return errors.Join(s.DeleteBlock(ctx, name), s.Store.DeleteManifest(ctx, key, name))
}

func TestBrokenVariantsAreCaught(t *testing.T) {
	const seeds = 500
	variants := map[string]struct {
		broken variant
		want   string
	}{
		"manifest before verify":      {func(sched *scheduler, h *StoreHost) { h.store = unverifiedStore{h.store, sched.engine} }, "before its block was complete"},
		"block freed before manifest": {func(_ *scheduler, h *StoreHost) { h.store = blockFirstStore{h.store} }, "deleted before its manifest"},
		"no grace":                    {func(_ *scheduler, h *StoreHost) { h.timing.Grace = 0 }, "after its manifest"},
		"published late":              {func(_ *scheduler, h *StoreHost) { h.timing.MaxExport = time.Hour }, "when a sweep may delete"},
		"names used again":            {func(_ *scheduler, h *StoreHost) { h.newName = func() string { return "name" } }, "used again"},
	}
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) string {
				if _, err := interleave(t, v.broken); err != nil {
					return err.Error()
				}
				return ""
			})
			for seed := range seeds {
				if strings.Contains(run.Example(seed), v.want) {
					t.Logf("caught by seed %d", seed)
					return
				}
			}
			t.Fatalf("not caught in %d runs", seeds)
		})
	}
}
