package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/api/gen/cherryward/v1/cherrywardv1connect"
	"github.com/cherryward/cherryward/internal/result"
)

// Server serves the operators' RPCs.
type Server struct {
	opts     Options
	http     *http.Server
	stopping chan struct{}
	watchers atomic.Int32
}

var (
	_ cherrywardv1connect.ConfigServiceHandler = (*Server)(nil)
	_ cherrywardv1connect.StatusServiceHandler = (*Server)(nil)
)

// New returns a server; call Serve to start it.
func New(opts Options) *Server {
	s := &Server{opts: opts, stopping: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           s.handler(),
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// Serve serves calls on ln until ctx ends, then stops gracefully: watch streams end
// with Draining, and other calls have stopTimeout to finish. It closes ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(ln) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve operators")
	case <-ctx.Done():
	}
	close(s.stopping)
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(grace); err != nil {
		return errors.Join(eris.Wrap(err, "stop the operators' server"), s.http.Close())
	}
	return nil
}

func (s *Server) handler() http.Handler {
	opts := []connect.HandlerOption{
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithSendMaxBytes(maxResponseBytes),
		connect.WithInterceptors(newCallLog(s.opts.Log)),
		connect.WithRecover(panicError),
	}
	mux := http.NewServeMux()
	mux.Handle(cherrywardv1connect.NewConfigServiceHandler(s, opts...))
	mux.Handle(cherrywardv1connect.NewStatusServiceHandler(s, opts...))
	return s.requireCredential(mux, connect.NewErrorWriter(opts...))
}

func panicError(_ context.Context, _ connect.Spec, _ http.Header, cause any) error {
	return toConnectError(result.Wrap(eris.Errorf("panic: %v", cause), result.Internal))
}

// requireCredential rejects calls without the operators' credential and passes the
// others to next.
func (s *Server) requireCredential(next http.Handler, errorWriter *connect.ErrorWriter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		coded := resultCodeWriter{w}
		control := http.NewResponseController(w)
		if !s.hasValidCredential(r) {
			_ = control.SetReadDeadline(time.Now().Add(rejectedBodyTimeout)) // fails if the connection does not support deadlines
			s.opts.Log.Warn().Str("event", eventRejected).Str("peer", r.RemoteAddr).Str("path", r.URL.Path).Send()
			_ = errorWriter.Write(coded, r, toConnectError(result.New(result.OperatorCredential)))
			return
		}
		next.ServeHTTP(coded, r.WithContext(withController(r.Context(), control)))
	})
}

// hasValidCredential reports whether a request has the operators' credential. It
// compares hashes in constant time, so that the duration reveals neither the length
// of the credential nor the position of the first difference.
func (s *Server) hasValidCredential(r *http.Request) bool {
	scheme, credential, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || credential == "" {
		return false
	}
	sum := sha256.Sum256([]byte(credential))
	return subtle.ConstantTimeCompare(sum[:], s.opts.CredentialHash[:]) == 1
}
