package config

import (
	"context"
	"iter"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cherryward/cherryward/internal/result"
)

const (
	// maxHistory is the number of changes that a watcher may lag behind, which is
	// about 100 minutes at 57,000 changes a day.
	maxHistory = 4096
	// maxWatchBatch is the maximum number of changes copied for a watcher while the
	// lock is held.
	maxWatchBatch = 64
)

// Store holds the newest View and the most recent changes. A single writer applies
// accepted changes in log order; any number of goroutines may read and watch.
type Store struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	history []Entry
	// history contains every change with a higher revision than historyAfter.
	historyAfter int64
	changed      chan struct{}
}

// NewStore returns a store with the empty configuration at offset 0.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.view.Store(NewView())
	return s
}

// View returns the newest view.
func (s *Store) View() *View { return s.view.Load() }

// Apply applies one accepted change. A change at or below the applied offset is
// skipped, so applying one twice has no effect.
func (s *Store) Apply(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.View()
	if e.Revision <= view.applied {
		return
	}
	s.view.Store(view.With(e))
	s.appendHistory(e)
	s.notifyWaiters()
}

// Advance records that the log was read up to an offset without further changes.
func (s *Store) Advance(applied int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Store(s.View().Advance(applied))
	s.notifyWaiters()
}

// Wait waits until the view has applied the log up to an offset. It returns the error
// of ctx if that ends first.
func (s *Store) Wait(ctx context.Context, applied int64) error {
	for {
		s.mu.Lock()
		done, changed := s.View().applied >= applied, s.changed
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Reset replaces the configuration with a snapshot at an offset. A snapshot that is not
// newer than the current view is ignored, so that the configuration never reverts.
// Watches that have not reached the offset fail, and their callers must list again.
func (s *Store) Reset(applied int64, objects iter.Seq[Entry]) {
	view := NewView()
	for e := range objects {
		view = view.With(e)
	}
	view = view.Advance(applied)
	s.mu.Lock()
	defer s.mu.Unlock()
	if applied <= s.View().applied {
		return
	}
	s.view.Store(view)
	s.history = nil
	s.historyAfter = view.applied
	s.notifyWaiters()
}

func (s *Store) appendHistory(e Entry) {
	if len(s.history) == maxHistory {
		s.historyAfter = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.history = append(s.history, e)
}

func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch yields every change after a revision, in order and without gaps, until ctx
// ends. It fails with WatchOffsetGone if the history no longer has these changes, and
// with WatchTooSlow if the watcher falls behind the history later. All watchers share
// one history, so a slow one needs no additional memory.
func (s *Store) Watch(ctx context.Context, after int64) iter.Seq2[Entry, error] {
	return func(yield func(Entry, error) bool) {
		code := result.WatchOffsetGone
		for {
			batch, changed, ok := s.since(after)
			if !ok {
				yield(Entry{}, result.New(code, result.WithField("after")))
				return
			}
			code = result.WatchTooSlow
			for _, e := range batch {
				if !yield(e, nil) {
					return
				}
				after = e.Revision
			}
			if len(batch) > 0 {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}
}

// since returns the first changes after a revision, at most maxWatchBatch, and a channel
// that is closed at the next change. ok is false if the history lacks such changes.
func (s *Store) since(after int64) (batch []Entry, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.historyAfter {
		return nil, nil, false
	}
	i, _ := slices.BinarySearchFunc(s.history, after+1, func(e Entry, revision int64) int {
		return int(e.Revision - revision)
	})
	end := min(i+maxWatchBatch, len(s.history))
	return slices.Clone(s.history[i:end]), s.changed, true
}
