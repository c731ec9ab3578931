// Package entry serves the HTTP interface for callers: the OpenAI-compatible API,
// tickets, plain services, and the health and metrics pages.
//
// Guarantee: every error has the OpenAI format with a numbered result code and a
// run state; every request has an id, which is in its response and its log lines.
package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
	"github.com/cherryward/cherryward/internal/settings"
)

// headerRequestID is the header with the request's id, in requests and responses.
const headerRequestID = "X-Request-Id"

// VersionSelector selects the weight version of a request among those that engines
// have loaded. draw, a number from 0 to 1, is equal for all requests of one
// conversation, so that they use the same version during a rollout.
type VersionSelector interface {
	Serving(ctx context.Context, view *config.View, model string, draw float64) (version string, ok bool)
}

// Directory provides the newest configuration.
type Directory interface {
	View() *config.View
}

// Runner runs and resumes prompts.
type Runner interface {
	Run(ctx context.Context, req *runs.Request, sink runs.Sink) (runs.Summary, error)
	Resume(ctx context.Context, req runs.ResumeRequest, sink runs.Sink) (runs.Summary, error)
}

// ReadyFunc returns the reason why the node accepts no new requests, or nil if it
// accepts them.
type ReadyFunc func() *result.Error

// Recorder records the metrics of each request.
type Recorder interface {
	Request(m RequestMetrics)
}

// Admission enforces the limits of client accounts.
type Admission interface {
	// Admit counts a request with its maximum number of tokens against the
	// account's limits, or rejects it. The caller calls done once, with the number
	// of tokens that were used.
	Admit(ctx context.Context, account *pb.ClientAccount, tokens int) (done func(used int), err error)
}

// Server handles callers' HTTP requests.
type Server struct {
	Limits          settings.Requests
	Directory       Directory
	VersionSelector VersionSelector
	Runner          Runner
	Ready           ReadyFunc
	Recorder        Recorder
	Admission       Admission
	Calls           Calls
	Metrics         http.HandlerFunc
	Key             []byte // the nodes' shared key
	Salter          *kvcache.Salter
	Log             zerolog.Logger
}

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.onError
	e.Use(s.withRequest)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", echo.WrapHandler(s.Metrics))
	v1 := e.Group("/v1", s.withAccount)
	v1.GET("/models", s.models)
	v1.POST("/chat/completions", s.chat)
	v1.POST("/completions", s.completion)
	v1.GET("/runs/:run", s.resumeRun)
	v1.POST("/tickets", s.issueTickets)
	e.Any("/services/:service", s.service, s.withAccount)
	e.Any("/services/:service/*", s.service, s.withAccount)
	return e
}

func (s *Server) readyz(c echo.Context) error {
	if err := s.Ready(); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

// onError writes an error in the OpenAI format. If the response has already started,
// it only records the outcome: the stream's handler has already sent the error.
func (s *Server) onError(err error, c echo.Context) {
	e := toResult(err)
	info := requestOf(c)
	info.outcome = e
	if c.Response().Committed {
		return
	}
	if wait := e.RetryAfterSeconds(); wait > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, formatInt(wait))
	}
	_ = c.JSON(e.Status(), e.Body(info.id))
}

// toResult converts an error to a result, including those of the HTTP framework.
func toResult(err error) *result.Error {
	var he *echo.HTTPError
	if !errors.As(err, &he) {
		return result.From(err)
	}
	switch he.Code {
	case http.StatusNotFound:
		return result.New(result.UnknownPath)
	case http.StatusMethodNotAllowed:
		return result.New(result.MethodNotAllowed)
	case http.StatusRequestEntityTooLarge:
		return result.New(result.BodyTooLarge)
	}
	return result.Wrap(err, result.Internal)
}

// bearer returns the key of the Authorization header.
func bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get(echo.HeaderAuthorization), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "bearer") && key != ""
}

// withAccount authenticates the request: it looks up the client account of the
// bearer key and rejects requests without a valid one.
func (s *Server) withAccount(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := bearer(c.Request())
		if !ok {
			return result.New(result.MissingKey, result.WithField(echo.HeaderAuthorization))
		}
		view := s.Directory.View()
		account, ok := view.AccountByKey(key)
		if !ok {
			return result.New(result.UnknownKey, result.WithField(echo.HeaderAuthorization))
		}
		if account.GetSuspended() {
			return result.New(result.AccountSuspended)
		}
		info := requestOf(c)
		info.view, info.account = view, account
		info.accountID = view.AccountID(account.GetName())
		return next(c)
	}
}

// checkAcceptsWork returns an error while the node can't accept new work, such as
// when its configuration is stale. A draining node accepts work until its listener
// closes, since the load balancer may still send requests.
func (s *Server) checkAcceptsWork() error {
	if err := s.Ready(); err != nil && err.Code != result.Draining {
		return err
	}
	return nil
}

// RequestMetrics holds the outcome and measurements of one request.
type RequestMetrics struct {
	Account   string
	Class     runs.Class
	Path      string
	Code      result.Code // 0 for success
	Summary   runs.Summary
	Total     time.Duration
	TokenGaps []time.Duration
	IsPrompt  bool // the request was a prompt, so Summary is set
}
