package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/fleet"
)

// pathCheckInterval is the time between two attempts to connect to the engines to which this node has lost the
// path.
const pathCheckInterval = time.Second

// Paths tells which engines this node reaches.
type Paths interface {
	// LostService reports whether this node can't reach the endpoints of a service.
	LostService(service string) bool
	// Connects reports whether this node can connect to an endpoint now. It attempts to.
	Connects(m *fleet.Member) bool
	// ConnectsElsewhere reports whether another node can connect to an endpoint now. It asks some.
	ConnectsElsewhere(m *fleet.Member) bool
}

// lostPaths holds the outdated engines to which this node can't connect though another node can. The zero value
// holds none. It is safe for concurrent use.
type lostPaths struct {
	mu     sync.Mutex
	starts map[string]bool // by fleet.Member.StartID
	checks sync.WaitGroup  // checks of single engines
}

func (l *lostPaths) add(m *fleet.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starts == nil {
		l.starts = make(map[string]bool)
	}
	l.starts[m.StartID()] = true
}

func (l *lostPaths) contains(m *fleet.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.starts) > 0 && l.starts[m.StartID()]
}

// retain removes all engines but those given.
func (l *lostPaths) retain(members []*fleet.Member) {
	starts := make(map[string]bool, len(members))
	for _, m := range members {
		starts[m.StartID()] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for start := range l.starts {
		if !starts[start] {
			delete(l.starts, start)
		}
	}
}

// pending reports whether any engine that this node reaches is outdated.
func (s *Service) pending() bool {
	return s.anyOutdated(func(m *fleet.Member) bool { return !s.hasLostPathTo(m) })
}

// lostEngines reports whether any engine that this node can't reach is outdated.
func (s *Service) lostEngines() bool { return s.anyOutdated(s.hasLostPathTo) }

// anyOutdated reports whether any engine that matches is outdated.
func (s *Service) anyOutdated(match func(*fleet.Member) bool) bool {
	members := s.Fleet.All()
	for _, model := range s.Wanted.Models() {
		version, _ := s.Wanted.Wanted(model)
		if slices.ContainsFunc(members, func(m *fleet.Member) bool { return isOutdated(m, model, version) && match(m) }) {
			return true
		}
	}
	return false
}

func (s *Service) hasLostPathTo(m *fleet.Member) bool {
	return s.Paths != nil && (s.Paths.LostService(m.Service) || s.lost.contains(m))
}

// reached returns the engines of a list that this node reaches. It changes the list.
func (s *Service) reached(list []*fleet.Member) []*fleet.Member {
	return slices.DeleteFunc(list, s.hasLostPathTo)
}

// postpone abandons an engine's job in favor of others.
func (s *Service) postpone(m *fleet.Member, j *job, now time.Time) {
	delete(s.jobs, m.ID)
	s.postponed[m.ID] = now
	if now.Sub(j.lastReportAt) > silentTimeout {
		s.checkPath(m)
	}
}

// checkPath finds out, in the background, whether this node has lost the path to an engine that does not report. An
// engine that nobody can connect to is not left to another node, which would not update it either.
func (s *Service) checkPath(m *fleet.Member) {
	if s.Paths == nil {
		return
	}
	s.lost.checks.Go(func() {
		if s.Paths.Connects(m) || !s.Paths.ConnectsElsewhere(m) {
			return
		}
		s.lost.add(m)
		s.Log.Warn().Str("event", "engine_path_lost").Str("endpoint", m.ID).Send()
	})
}

// recheckPaths attempts to connect to the engines to which this node has lost the path, until ctx is done.
func (s *Service) recheckPaths(ctx context.Context) {
	defer s.lost.checks.Wait()
	for s.Paths != nil && retry.Sleep(ctx, pathCheckInterval) {
		s.recheckLost()
	}
}

// recheckLost forgets the engines that are no longer outdated, and those that this node can connect to.
func (s *Service) recheckLost() {
	var lost []*fleet.Member
	for _, m := range s.Fleet.All() {
		if s.lost.contains(m) && s.isOutdatedInAny(m) {
			lost = append(lost, m)
		}
	}
	connects := make([]bool, len(lost))
	var attempts sync.WaitGroup
	for i, m := range lost {
		attempts.Go(func() { connects[i] = s.Paths.Connects(m) })
	}
	attempts.Wait()
	var remaining []*fleet.Member
	for i, m := range lost {
		if !connects[i] {
			remaining = append(remaining, m)
		}
	}
	s.lost.retain(remaining)
}

// isOutdatedInAny reports whether an engine has any model in an older version than is requested.
func (s *Service) isOutdatedInAny(m *fleet.Member) bool {
	return slices.ContainsFunc(s.Wanted.Models(), func(model string) bool {
		version, _ := s.Wanted.Wanted(model)
		return isOutdated(m, model, version)
	})
}
