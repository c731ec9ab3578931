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
	// headerAttempt is the caller's count of its sends of a ticket, from 1.
	headerAttempt = "X-Attempt"
	firstAttempt  = "1"

	headerContentType = "Content-Type"
	headerAccept      = "Accept"
)

// Calls makes calls of plain services and ticketed calls.
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
	if err := s.takesWork(); err != nil {
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
	if err := s.takesWork(); err != nil {
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

// serviceCall reads the whole request: part of one is never sent on.
func (s *Server) serviceCall(c echo.Context) (*calls.ServiceCall, error) {
	info := requestOf(c)
	r := c.Request()
	deadline, err := s.deadline(c, info.begun)
	if err != nil {
		return nil, err
	}
	defer readBy(c, time.Time{})
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
		if passedOn(name) {
			call.Header[name] = r.Header.Get(name)
		}
	}
	return call, nil
}

// passedOn tells the headers that reach the service: what describes the body,
// and the callers' own. Keys and what steers this system stay here.
func passedOn(name string) bool {
	switch name {
	case headerContentType, headerAccept:
		return true
	case headerPriority, headerTimeout, headerAttempt, headerRequestID:
		return false
	}
	return strings.HasPrefix(name, "X-") && !strings.HasPrefix(name, "X-Forwarded-")
}

// servicePath cuts "/services/{service}" off a path.
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

// ticketedPrompt answers a prompt at most once. Its executor collects the whole
// answer, so a stream of it comes in one piece.
func (s *Server) ticketedPrompt(c echo.Context, key string, body *common, req *runs.Request, object string) error {
	info := requestOf(c)
	fp := ticket.FingerprintOf(promptParts(req, object)...)
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
		return c.JSON(http.StatusOK, wholeAnswer(body.Model, object, answer.Summary, answer.Text, info.begun))
	}
	sink := newStreamSink(c, body.Model, chunkObject(object), info.begun)
	if err := sink.Started(answer.Summary.Start); err != nil {
		return err
	}
	if err := sink.Tokens(answer.Summary.Run, answer.Summary.OutputTokens, answer.Text); err != nil {
		return err
	}
	return sink.finish(answer.Summary, body.wantsUsage())
}

// promptParts is all of a prompt that decides its answer.
func promptParts(req *runs.Request, object string) [][]byte {
	sampling, _ := json.Marshal([]any{req.MaxTokens, req.Temperature, req.Seed, req.PromptIDs}) // numbers always encode
	return [][]byte{[]byte(object), []byte(req.Model), []byte(req.Adapter), []byte(req.Prompt), sampling}
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
