package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/kernel"
)

const (
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept. It is longer
	// than callers reuse one, which the configuration bounds.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is where the HTTP server itself refuses a header; the
	// configuration's own bound is lower.
	maxHeaderBytes = 64 << 10
	// leaveTime is how long a stopping node still takes new connections: the
	// balancer asks for readiness once a second and needs two misses.
	leaveTime = 2500 * time.Millisecond
)

// server is a listener with its HTTP server, as a service of the kernel.
type server struct {
	name     string
	needs    []string
	listener net.Listener
	http     *http.Server
	// leaving is set when the node begins to stop.
	leaving *atomic.Bool
	// linger is how long the server goes on after it began to stop.
	linger time.Duration
	log    zerolog.Logger
}

var (
	_ kernel.Service = (*server)(nil)
	_ kernel.Runner  = (*server)(nil)
	_ kernel.Stopper = (*server)(nil)
)

func listen(name, addr string, handler http.Handler, leaving *atomic.Bool, log zerolog.Logger) (*server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	return &server{
		name:     name,
		listener: listener,
		leaving:  leaving,
		log:      log,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

// Name implements kernel.Service.
func (s *server) Name() string { return s.name }

// Needs implements kernel.Service.
func (s *server) Needs() []string { return s.needs }

// Start implements kernel.Service.
func (s *server) Start(context.Context, *kernel.Kernel) error { return nil }

// Run implements kernel.Runner.
func (s *server) Run(ctx context.Context) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return eris.Wrapf(err, "serve %s", s.name)
}

// Stop implements kernel.Stopper. New requests are taken until the balancer has
// noticed; requests under way are finished until ctx is done.
func (s *server) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	s.log.Info().Str("event", "stopping").Str("server", s.name).Send()
	retry.Sleep(ctx, s.linger)
	if err := s.http.Shutdown(ctx); err != nil {
		// The grace time is over: what is still under way is cut off by the end of
		// the process, as the operators' own kill would do.
		s.log.Warn().Str("event", "requests_cut").Str("server", s.name).AnErr("error", err).Send()
	}
	return nil
}

// closing asks callers, while the node stops, to use another connection for their
// next request.
func closing(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
