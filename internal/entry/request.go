package entry

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

const (
	requestKey     = "cherryward.request"
	requestIDBytes = 12
	maxRequestID   = 64
	// bodyTimeout is the maximum time for receiving a request with its body.
	bodyTimeout = time.Minute

	headerPriority       = "X-Priority"
	headerTimeout        = "X-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
)

// requestInfo is the state of one request, shared by its middleware and handler.
type requestInfo struct {
	id        string
	startedAt time.Time
	view      *config.View
	account   *pb.ClientAccount
	// accountID separates the data of accounts. Unlike the name it is not reused
	// after the account is deleted.
	accountID string
	class     runs.Class
	summary   runs.Summary
	isPrompt  bool
	gaps      []time.Duration
	outcome   *result.Error
}

func requestOf(c echo.Context) *requestInfo {
	info, _ := c.Get(requestKey).(*requestInfo)
	return info
}

// withRequest assigns the request its id, and logs and records its outcome.
func (s *Server) withRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		info := &requestInfo{id: requestID(c), startedAt: time.Now(), class: runs.ClassStandard}
		c.Set(requestKey, info)
		c.Response().Header().Set(headerRequestID, info.id)
		setReadDeadline(c, info.startedAt.Add(bodyTimeout))
		if err := next(c); err != nil {
			c.Error(err)
		}
		s.finish(c, info)
		return nil
	}
}

// setReadDeadline sets the deadline for reading the rest of the request. The zero
// time removes it, which is needed once the body is read: an expired deadline makes
// the HTTP server cancel the request's context.
func setReadDeadline(c echo.Context, deadline time.Time) {
	_ = http.NewResponseController(c.Response()).SetReadDeadline(deadline) // fails only for test recorders, which don't support deadlines
}

// requestID returns the caller's request id if it is short and printable ASCII,
// else a random one.
func requestID(c echo.Context) string {
	id := c.Request().Header.Get(headerRequestID)
	if id != "" && len(id) <= maxRequestID && isPlainASCII(id) {
		return id
	}
	random := make([]byte, requestIDBytes)
	rand.Read(random) // never fails, as documented
	return hex.EncodeToString(random)
}

func isPlainASCII(s string) bool {
	for _, r := range s {
		if r <= ' ' || r > '~' || r == '"' || r == '=' {
			return false
		}
	}
	return true
}

func (s *Server) finish(c echo.Context, info *requestInfo) {
	if info.account == nil && info.outcome == nil {
		return // a health or metrics page, not a caller's request
	}
	total := time.Since(info.startedAt)
	code := result.Code(0)
	if info.outcome != nil {
		code = info.outcome.Code
	}
	s.Recorder.Request(RequestMetrics{
		Account:   info.account.GetName(),
		Class:     info.class,
		Path:      c.Path(),
		Code:      code,
		Summary:   info.summary,
		Total:     total,
		TokenGaps: info.gaps,
		IsPrompt:  info.isPrompt,
	})
	s.logRequest(c, info, total)
}

func (s *Server) logRequest(c echo.Context, info *requestInfo, total time.Duration) {
	event := s.Log.Info()
	if info.outcome != nil {
		event = s.Log.Warn().Int("code", int(info.outcome.Code)).
			Str("run_state", string(info.outcome.RunState)).
			Str("error", info.outcome.Error())
	}
	event.Str("event", "request").
		Str("request", info.id).
		Str("account", info.account.GetName()).
		Str("path", c.Path()).
		Int("status", c.Response().Status).
		Dur("total_ms", total)
	if info.isPrompt {
		event.Str("run", info.summary.Run).
			Str("endpoint", info.summary.Endpoint).
			Int("prompt_tokens", info.summary.PromptTokens).
			Int("cached_tokens", info.summary.CachedTokens).
			Int("output_tokens", info.summary.OutputTokens).
			Dur("first_token_ms", info.summary.FirstToken)
	}
	event.Send()
}

// deadline returns the request's deadline from the timeout header, whose value is a
// number of seconds or a Go duration. It is bounded by the maximum timeout; without
// the header the default timeout applies.
func (s *Server) deadline(c echo.Context, now time.Time) (time.Time, error) {
	text := c.Request().Header.Get(headerTimeout)
	if text == "" {
		return now.Add(time.Duration(s.Limits.DefaultTimeout)), nil
	}
	d, err := time.ParseDuration(text)
	if seconds, numErr := strconv.ParseFloat(text, 64); numErr == nil {
		d, err = time.Duration(seconds*float64(time.Second)), nil
	}
	if err != nil || d <= 0 {
		return time.Time{}, result.New(result.BadTimeout, result.WithField(headerTimeout))
	}
	return now.Add(min(d, time.Duration(s.Limits.MaxTimeout))), nil
}

// parsePriority returns the class that the priority header selects.
func parsePriority(c echo.Context) (runs.Class, error) {
	switch c.Request().Header.Get(headerPriority) {
	case "interactive":
		return runs.ClassInteractive, nil
	case "", "standard":
		return runs.ClassStandard, nil
	case "batch":
		return runs.ClassBatch, nil
	}
	return 0, result.New(result.BadPriority, result.WithField(headerPriority))
}
