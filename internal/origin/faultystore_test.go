package origin

import (
	"context"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/follow"
)

// faultyStore is a platformTopic beside a registry, which nodes reach through faults. It is safe for concurrent use.
type faultyStore struct {
	mu    sync.Mutex
	topic *platformTopic
	// listed are the releases that have an endpoint in the registry.
	listed map[string]bool

	away bool // calls fail
	// refuses is true if writes are refused, and loses if they are executed and get no answer.
	refuses, loses bool
	// wrote is called after each write.
	wrote func()
}

func newFaultyStore() *faultyStore {
	return &faultyStore{topic: newPlatformTopic(), listed: make(map[string]bool)}
}

// setFaults replaces the faults by those that f sets.
func (s *faultyStore) setFaults(f func(s *faultyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.refuses, s.loses = false, false, false
	f(s)
}

// setListed changes the entries of a release.
func (s *faultyStore) setListed(release string, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listed, release)
	if listed {
		s.listed[release] = true
	}
}

// restore has the store come back without its latest records.
func (s *faultyStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.topic
	p.era++
	p.records = p.records[:max(1, len(p.records)-lost)]
	for i := range p.records {
		p.records[i].Offset = follow.Position(p.era, int64(i))
	}
}

// reachedStore is the store as one life of a node reaches it.
type reachedStore struct {
	*faultyStore
	life *life
}

var (
	_ follow.Topic = reachedStore{}
	_ Topic        = reachedStore{}
)

// call calls the store; records is true for reads of the records. It takes its delay before and after, and ends no sooner than the node runs.
func (r reachedStore) call(ctx context.Context, records bool, run func() error) error {
	defer r.life.awaitThaw()
	delay := time.Duration(r.life.storeDelay.Load())
	if !sleepFor(ctx, delay) {
		return ctx.Err()
	}
	if r.life.cutFromStore.Load() || records && r.life.cutFromRecords.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	r.mu.Lock()
	err := errStoreDown
	if !r.away {
		err = run()
	}
	r.mu.Unlock()
	if !sleepFor(ctx, delay) {
		return ctx.Err()
	}
	return err
}

// Newest implements follow.Topic.
func (r reachedStore) Newest(ctx context.Context) (page follow.Page, err error) {
	err = r.call(ctx, true, func() error { page, err = r.topic.Newest(ctx); return err })
	return page, err
}

// Read implements follow.Topic.
func (r reachedStore) Read(ctx context.Context, from int64, wait time.Duration) (page follow.Page, err error) {
	err = r.call(ctx, true, func() error { page, err = r.topic.Read(ctx, from, wait); return err })
	return page, err
}

// Put implements Topic.
func (r reachedStore) Put(ctx context.Context, key string, value []byte) error {
	return r.write(ctx, func() error { return r.topic.Put(ctx, key, value) })
}

// PutIf implements Topic.
func (r reachedStore) PutIf(ctx context.Context, key string, value []byte, end int64) error {
	return r.write(ctx, func() error { return r.topic.PutIf(ctx, key, value, end) })
}

func (r reachedStore) write(ctx context.Context, put func() error) error {
	late := time.Duration(r.life.writesLate.Load())
	err := r.call(ctx, false, func() error {
		switch {
		case r.refuses:
			return errStoreDown
		case late > 0:
			time.AfterFunc(late, func() { r.execute(put) })
			return context.DeadlineExceeded
		}
		err := put()
		if r.loses {
			return context.DeadlineExceeded
		}
		return err
	})
	r.wrote()
	return err
}

// execute executes a write whose caller gave up.
func (s *faultyStore) execute(put func() error) {
	s.mu.Lock()
	_ = put() // its outcome is lost
	s.mu.Unlock()
	s.wrote()
}

// recordedReleases returns the keys of the records of releases.
func (s *faultyStore) recordedReleases() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic.recorded()
}

// readRegistry returns the releases that the registry lists.
func (r reachedStore) readRegistry(ctx context.Context) (listed map[string]bool, err error) {
	listed = make(map[string]bool)
	err = r.call(ctx, false, func() error {
		for release := range r.listed {
			listed[release] = true
		}
		return nil
	})
	return listed, err
}

// sleepFor waits, and reports false if ctx is done before.
func sleepFor(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
