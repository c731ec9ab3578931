package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/calls"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/limits"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/rollout"
	"github.com/cherryward/cherryward/internal/router"
	"github.com/cherryward/cherryward/internal/runs"
	"github.com/cherryward/cherryward/internal/settings"
)

// Name is the service's name in the kernel.
const Name = "entry"

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Service manages the life cycle of the callers' listener.
type Service struct {
	server   *Server
	engines  runs.Engines
	budget   runs.Budget
	config   *configsync.Sync
	cluster  *cluster.Cluster
	listener net.Listener
	http     *http.Server
	grace    time.Duration
	draining atomic.Bool
}

var (
	_ kernel.Service = (*Service)(nil)
	_ kernel.Runner  = (*Service)(nil)
	_ kernel.Stopper = (*Service)(nil)
)

// Listen opens the callers' listener and returns the service. The server's
// Directory, Runner and Ready are set when the service starts.
func Listen(s *settings.Settings, config *tls.Config, server *Server, engines runs.Engines, budget runs.Budget) (*Service, error) {
	l, err := net.Listen("tcp", s.Callers.Address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return &Service{server: server, engines: engines, budget: budget, listener: l, grace: time.Duration(s.Requests.DrainGrace)}, nil
}

// Addr returns the address that callers connect to.
func (s *Service) Addr() net.Addr { return s.listener.Addr() }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{cluster.Name, configsync.Name, rollout.Name, router.Name, calls.Name, limits.Name}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.cluster, err = kernel.Lookup[*cluster.Cluster](k, cluster.Name); err != nil {
		return err
	}
	if s.config, err = kernel.Lookup[*configsync.Sync](k, configsync.Name); err != nil {
		return err
	}
	placer, err := kernel.Lookup[runs.Placer](k, router.Name)
	if err != nil {
		return err
	}
	rollouts, err := kernel.Lookup[*rollout.Service](k, rollout.Name)
	if err != nil {
		return err
	}
	s.server.Directory = s.config
	s.server.VersionSelector = rollouts.VersionSelector
	s.server.Ready = s.ready
	service, err := kernel.Lookup[*calls.Service](k, calls.Name)
	if err != nil {
		return err
	}
	dispatcher := &runs.Dispatcher{
		Key:             s.server.Key,
		Salter:          s.server.Salter,
		Engines:         s.engines,
		Placer:          placer,
		Budget:          s.budget,
		VersionSelector: rollouts.VersionSelector,
		Directory:       s.config,
	}
	s.server.Runner = dispatcher
	s.server.Calls = service
	service.SetPrompts(dispatcher)
	s.http = &http.Server{
		Handler:           s.server.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return nil
}

// Run implements kernel.Runner.
func (s *Service) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return nil
		}
		return eris.Wrap(err, "serve callers")
	case <-ctx.Done():
		return s.http.Close()
	}
}

// Stop implements kernel.Stopper. The node reports at once that it is not ready. It
// accepts requests during the drain grace period, in which the load balancer stops
// sending them, and then waits for the open requests to end.
func (s *Service) Stop(ctx context.Context) error {
	s.draining.Store(true)
	s.cluster.Leave()
	retry.Sleep(ctx, s.grace)
	return eris.Wrap(s.http.Shutdown(ctx), "finish open requests")
}

// ready is the server's ReadyFunc. A draining node is not ready.
func (s *Service) ready() *result.Error {
	if s.draining.Load() {
		return result.New(result.Draining)
	}
	return s.config.Ready()
}
