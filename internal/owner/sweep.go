package owner

import (
	"context"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
)

// Run implements kernel.Runner. It creates the state of endpoints that this node owns
// and discards unused state of endpoints that other nodes own.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	defer s.wg.Wait()
	s.wg.Go(func() { s.followEndpoints(ctx) })
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		s.sweep(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// followEndpoints has the cluster track the owners of all endpoints until ctx is
// done. After the first full list it reads only changes.
func (s *Service) followEndpoints(ctx context.Context) {
	tracked := make(map[string]struct{})
	for ctx.Err() == nil {
		view := s.directory.View()
		s.trackAll(view, tracked)
		s.trackChanges(ctx, view.Applied(), tracked)
	}
}

// trackAll makes tracked equal to the names of the view's endpoints.
func (s *Service) trackAll(view *config.View, tracked map[string]struct{}) {
	for name := range tracked {
		if _, ok := view.Endpoint(name); !ok {
			s.cluster.Untrack(name)
			delete(tracked, name)
		}
	}
	for e := range view.All(config.KindEndpoint) {
		s.cluster.Track(e.GetName())
		tracked[e.GetName()] = struct{}{}
	}
}

// trackChanges applies configuration changes until ctx is done or changes are
// missing.
func (s *Service) trackChanges(ctx context.Context, after int64, tracked map[string]struct{}) {
	for e, err := range s.directory.ConfigStore().Watch(ctx, after) {
		if err != nil {
			return
		}
		switch {
		case e.Kind != config.KindEndpoint:
		case e.Value == nil:
			s.cluster.Untrack(e.Name)
			delete(tracked, e.Name)
		default:
			s.cluster.Track(e.Name)
			tracked[e.Name] = struct{}{}
		}
	}
}

// sweep creates the state of owned endpoints and discards state that is no longer
// needed. Its cost depends on the number of endpoints owned or with state, not on the
// total number of endpoints.
func (s *Service) sweep(now time.Time) {
	view := s.directory.View()
	for _, name := range s.cluster.Owned() {
		if e, ok := view.Endpoint(name); ok {
			s.ensureState(e)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, w := range s.engines {
		w.withdrawUnpolled(now)
		if s.canDiscard(view, name, now, w.idleTime) {
			w.cancel()
			delete(s.engines, name)
		}
	}
	for name, w := range s.stores {
		if s.canDiscard(view, name, now, w.idleTime) {
			w.cancel()
			delete(s.stores, name)
		}
	}
}

// canDiscard reports whether the state of an endpoint can be discarded.
func (s *Service) canDiscard(view *config.View, name string, now time.Time, idle func(time.Time) time.Duration) bool {
	if _, configured := view.Endpoint(name); !configured {
		return true
	}
	return !s.cluster.Owns(name) && idle(now) > idleOwner
}

// ensureState creates the state of an endpoint that this node owns. Errors are ignored
// here because requests for the endpoint return them.
func (s *Service) ensureState(e *pb.Endpoint) {
	switch e.GetKind() {
	case pb.EndpointKind_ENDPOINT_KIND_ENGINE:
		_, _ = s.engine(e.GetName())
	case pb.EndpointKind_ENDPOINT_KIND_STORE:
		_, _ = s.store(e.GetName())
	}
}
