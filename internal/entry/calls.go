package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cherryward/cherryward/coord/ticket"
	"github.com/cherryward/cherryward/internal/calls"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

const (
	// headerAttempt is the header with the number of the caller's attempt with this
	// ticket, from 1.
	headerAttempt = "X-Attempt"
	firstAttempt  = "1"

	headerContentType = "Content-Type"
	headerAccept      = "Accept"
)

// Calls issues tickets, calls services other than engines, and redeems tickets: Redeem
// runs the call of a ticket, or returns its stored answer if it already ran.
type Calls interface {
	Issue(account string, n int) ([]string, error)
	Call(ctx context.Context, call *calls.ServiceCall) (*calls.ServiceAnswer, error)
	Redeem(ctx context.Context, account, text string, first bool, call *calls.TicketedCall, fp ticket.Fingerprint) ([]byte, error)
}

var _ Calls = (*calls.Service)(nil)

type ticketRequest struct {
	Count int `json:"count"`
}

type ticketList struct {
	Object string   `json:"object"`
	Data   []string `json:"data"`
}

// issueTickets serves POST /v1/tickets.
func (s *Server) issueTickets(c echo.Context) error {
	body := ticketRequest{Count: 1}
	if c.Request().ContentLength != 0 {
		if err := decodeBody(c, s.Limits.MaxBodyBytes, &body); err != nil {
			return err
		}
	}
	if body.Count < 1 || body.Count > calls.MaxTickets {
		return result.New(result.InvalidValue, result.WithField("count"))
	}
	if err := s.checkAcceptsWork(); err != nil {
		return err
	}
	tickets, err := s.Calls.Issue(requestOf(c).accountID, body.Count)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, ticketList{Object: objectList, Data: tickets})
}

// service serves /services/{service}/...
func (s *Server) service(c echo.Context) error {
	if err := s.checkAcceptsWork(); err != nil {
		return err
	}
	call, err := s.serviceCall(c)
	if err != nil {
		return err
	}
	done, err := s.Admission.Admit(c.Request().Context(), requestOf(c).account, 0)
	if err != nil {
		return err
	}
	defer done(0)
	answer, err := s.callService(c, call)
	if err != nil {
		return err
	}
	defer answer.Release()
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

func (s *Server) callService(c echo.Context, call *calls.ServiceCall) (*calls.ServiceAnswer, error) {
	key := c.Request().Header.Get(headerIdempotencyKey)
	if key == "" {
		return s.Calls.Call(c.Request().Context(), call)
	}
	fp := ticket.FingerprintOf([]byte(call.Service), []byte(call.Method), []byte(call.Path), call.Body)
	data, err := s.redeem(c, key, &calls.TicketedCall{Service: call, TimeLeft: call.TimeLeft}, fp)
	if err != nil {
		return nil, err
	}
	answer := new(calls.ServiceAnswer)
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, result.Wrap(err, result.Internal, result.WithRunState(result.Ran))
	}
	return answer, nil
}

func (s *Server) redeem(c echo.Context, key string, call *calls.TicketedCall, fp ticket.Fingerprint) ([]byte, error) {
	first := c.Request().Header.Get(headerAttempt) == firstAttempt
	return s.Calls.Redeem(c.Request().Context(), requestOf(c).accountID, key, first, call, fp)
}

// serviceCall reads the complete request, so that a truncated one is never
// forwarded to a service.
func (s *Server) serviceCall(c echo.Context) (*calls.ServiceCall, error) {
	info := requestOf(c)
	r := c.Request()
	deadline, err := s.deadline(c, info.startedAt)
	if err != nil {
		return nil, err
	}
	defer setReadDeadline(c, time.Time{})
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, s.Limits.MaxBodyBytes))
	if err != nil {
		return nil, bodyError(err)
	}
	call := &calls.ServiceCall{
		Account:   info.accountID,
		Service:   c.Param("service"),
		Method:    r.Method,
		Path:      servicePath(r.URL.EscapedPath(), r.URL.RawQuery),
		Header:    make(map[string]string),
		Body:      body,
		RequestID: info.id,
		TimeLeft:  time.Until(deadline),
	}
	for name := range r.Header {
		if isForwardedHeader(name) {
			call.Header[name] = r.Header.Get(name)
		}
	}
	return call, nil
}

// isForwardedHeader reports whether a request header is forwarded to the service:
// those that describe the body, and the caller's own X- headers. Credentials and
// headers that control this system are not forwarded.
func isForwardedHeader(name string) bool {
	switch name {
	case headerContentType, headerAccept:
		return true
	case headerPriority, headerTimeout, headerAttempt, headerRequestID:
		return false
	}
	return strings.HasPrefix(name, "X-") && !strings.HasPrefix(name, "X-Forwarded-")
}

// servicePath returns a path and query without the "/services/{service}" prefix.
func servicePath(path, query string) string {
	const parts = 4
	p := strings.SplitN(path, "/", parts)
	rest := "/"
	if len(p) == parts {
		rest += p[parts-1]
	}
	if query != "" {
		rest += "?" + query
	}
	return rest
}

// ticketedPrompt runs a prompt at most once for its idempotency key. The node that
// runs the ticket's call collects the complete answer, so a streamed answer has one
// chunk of text.
func (s *Server) ticketedPrompt(c echo.Context, key string, body *common, req *runs.Request, object string) error {
	info := requestOf(c)
	fp := ticket.FingerprintOf(fingerprintParts(req, object)...)
	data, err := s.redeem(c, key, &calls.TicketedCall{Prompt: req, TimeLeft: time.Until(req.Deadline)}, fp)
	if err != nil {
		return err
	}
	var answer calls.TicketedPromptAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return result.Wrap(err, result.Internal, result.WithRunState(result.Ran))
	}
	info.summary = answer.Summary
	if !body.Stream {
		return c.JSON(http.StatusOK, newCompletion(body.Model, object, answer.Summary, answer.Text, info.startedAt))
	}
	sink := newStreamSink(c, body.Model, chunkObject(object), info.startedAt)
	if err := sink.Started(answer.Summary.Start); err != nil {
		return err
	}
	if err := sink.Tokens(answer.Summary.Run, answer.Summary.OutputTokens, answer.Text); err != nil {
		return err
	}
	return sink.finish(answer.Summary, body.includesUsage())
}

// fingerprintParts returns the parts of a prompt that must be equal when its ticket is
// used again.
func fingerprintParts(req *runs.Request, object string) [][]byte {
	sampling, _ := json.Marshal([]any{req.MaxTokens, req.Temperature, req.Seed, req.PromptIDs}) // can't fail: all values are numbers
	return [][]byte{[]byte(object), []byte(req.Model), []byte(req.Adapter), []byte(req.Prompt), sampling}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
