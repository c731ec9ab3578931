package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/callerconn"
	"github.com/cherryward/cherryward/internal/kernel"
)

const (
	// headerTimeout limits the time a caller may take to send the request header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open. It is longer than the
	// time for which callers reuse a connection, which the configuration limits.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the header size above which the HTTP server itself refuses a request. The
	// configured limit is lower.
	maxHeaderBytes = 64 << 10
	// callersShutdownDelay is how long a node that shuts down still accepts new connections: the
	// balancer checks readiness once per second and needs two failures.
	callersShutdownDelay = 2500 * time.Millisecond
	// endTime is how long requests that are ended with the node may take to answer; it is a part of stopMargin.
	endTime = 150 * time.Millisecond
)

// server is a listener with its HTTP server, run as a kernel service.
type server struct {
	name     string
	needs    []string
	listener net.Listener
	guard    *callerconn.Guard
	http     *http.Server
	// shuttingDown is set when the node starts to shut down.
	shuttingDown *atomic.Bool
	// shutdownDelay is how long the server accepts new connections after the shutdown starts.
	shutdownDelay time.Duration
	// stopped is called when it accepts none any more, and endRequests when the requests in progress must
	// end. Both may be nil; endRequests may be called again.
	stopped, endRequests func()
	inProgress           requestCount
	serving              atomic.Bool
	served               chan struct{} // closed when it was serving and accepts no connections any more
	log                  zerolog.Logger
}

var (
	_ kernel.Service = (*server)(nil)
	_ kernel.Runner  = (*server)(nil)
	_ kernel.Stopper = (*server)(nil)
)

// listen opens a listener at addr and returns a server for it, whose handler is to be set. The guard bounds its
// connections. It fails if the address cannot be bound.
func listen(name, addr string, guard *callerconn.Guard, shuttingDown *atomic.Bool, log zerolog.Logger) (*server, error) {
	listener, err := guard.Listen(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	s := &server{
		name:         name,
		listener:     listener,
		guard:        guard,
		shuttingDown: shuttingDown,
		served:       make(chan struct{}),
		log:          log,
		http: &http.Server{
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			// The server's own answer to OPTIONS * would be a success that no endpoint gave.
			DisableGeneralOptionsHandler: true,
		},
	}
	guard.Attach(s.http)
	return s, nil
}

// handle has requests served by next, and those for whose heads there is no memory by refuse.
func (s *server) handle(next, refuse http.Handler) {
	s.http.Handler = s.inProgress.counted(closeWhenShuttingDown(s.shuttingDown, s.guard.Handler(next, refuse)))
}

// addr returns the address that the server listens at, IP:PORT.
func (s *server) addr() string { return s.listener.Addr().String() }

// Name implements kernel.Service.
func (s *server) Name() string { return s.name }

// Needs implements kernel.Service.
func (s *server) Needs() []string { return s.needs }

// Start implements kernel.Service.
func (s *server) Start(context.Context, *kernel.Kernel) error { return nil }

// Run implements kernel.Runner.
func (s *server) Run(ctx context.Context) error {
	s.serving.Store(true)
	err := s.http.Serve(s.listener)
	close(s.served)
	if s.shuttingDown.Load() {
		<-ctx.Done()
		return nil
	}
	return eris.Wrapf(err, "serve %s", s.name)
}

// Stop implements kernel.Stopper. New connections are accepted until the balancer has noticed the
// shutdown. On those that are open then, requests get an answer, if only a refusal, for as long as others
// are in progress; those in progress may finish until ctx is done.
func (s *server) Stop(ctx context.Context) error {
	s.shuttingDown.Store(true)
	s.log.Info().Str("event", "stopping").Str("server", s.name).Send()
	retry.Sleep(ctx, s.shutdownDelay)
	s.acceptNoMore()
	s.inProgress.wait(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn().Str("event", "requests_cut").Str("server", s.name).AnErr("error", err).Send()
		s.cut()
	}
	return nil
}

// acceptNoMore closes the listener, the idle connections, and each other one after its next answer.
func (s *server) acceptNoMore() {
	_ = s.listener.Close() // fails if it is closed
	if s.serving.Load() {
		<-s.served
	}
	if s.stopped != nil {
		s.stopped()
	}
	s.guard.CloseIdle()
}

// cut has the requests in progress end with answers, for which the process stays a little longer. What is left is
// aborted when it exits.
func (s *server) cut() {
	if s.endRequests == nil {
		return
	}
	s.endRequests()
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn().Str("event", "requests_aborted").Str("server", s.name).AnErr("error", err).Send()
	}
}

// headLimit returns the number of bytes that a request's head may have under the configuration in force.
func (s *state) headLimit() int {
	config := s.config.Load()
	if config == nil || config.Limits.HeaderBytes <= 0 {
		return maxHeaderBytes
	}
	return min(config.Limits.HeaderBytes, maxHeaderBytes)
}

// closeWhenShuttingDown sets the Connection: close header while the node shuts down, so that
// callers use a new connection for their next request.
func closeWhenShuttingDown(shuttingDown *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if shuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
