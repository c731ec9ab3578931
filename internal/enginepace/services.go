package enginepace

import (
	"sync"
	"time"
)

// Services holds the trackers of all services whose engines are observed. The zero value is ready to
// use. It is safe for concurrent use.
type Services struct {
	// OnVerdict, if not nil, is called when an engine turns slow; see Tracker.OnVerdict. It must be set
	// before the first use.
	OnVerdict func(e Engine, factor float64)

	mu     sync.Mutex
	byName map[string]*Tracker
	ticks  int // number of calls of Tick
}

// ForName returns the tracker of a service, and creates it on first use.
func (s *Services) ForName(name string) *Tracker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.byName[name]; existing != nil {
		return existing
	}
	if s.byName == nil {
		s.byName = make(map[string]*Tracker)
	}
	added := NewTracker()
	added.OnVerdict = s.OnVerdict
	s.byName[name] = added
	return added
}

// all returns the trackers.
func (s *Services) all() []*Tracker {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Tracker, 0, len(s.byName))
	for _, t := range s.byName {
		list = append(list, t)
	}
	return list
}

// Empty reports whether the engines of no service are observed.
func (s *Services) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byName) == 0
}

// loadsEvery is the number of ticks after which other nodes' loads are read again. Adding them up takes
// as long as all the rest of a tick.
const loadsEvery = 2

// Tick calls Tracker.Tick for each service. loads returns what the other nodes report of the load of
// engines; it is called in each second tick, and only if engines are observed now. Tick must not be
// called concurrently.
func (s *Services) Tick(now time.Time, loads func() func(Engine) (pendingTokens, running int), reportLag time.Duration) {
	var peers func(Engine) (int, int)
	readsLoads := s.ticks%loadsEvery == 0
	s.ticks++
	for _, t := range s.all() {
		if peers == nil && readsLoads && t.Active() {
			peers = loads()
		}
		t.Tick(now, peers, reportLag)
	}
}

// Slow returns the engines of all services that are slow now, in no particular order.
func (s *Services) Slow(now time.Time) []Verdict {
	var list []Verdict
	for _, t := range s.all() {
		list = append(list, t.Slow(now)...)
	}
	return list
}
