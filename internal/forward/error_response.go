package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

const (
	// retryAfterOtherNode is the Retry-After time for a caller whose next connection should reach
	// another node: almost at once, with a small delay to spread simultaneous refusals.
	retryAfterOtherNode = 20 * time.Millisecond
	// retryAfterNoEndpoint is the Retry-After time for a caller for which no endpoint had capacity:
	// about half of a typical run.
	retryAfterNoEndpoint = 800 * time.Millisecond
)

// writeError answers with an error of this node.
func (h *Handler) writeError(w http.ResponseWriter, id string, e *result.Error) {
	body := result.Body{Error: result.BodyError{
		Message:      e.Message,
		Type:         e.Code.Type(),
		Code:         e.Code.String(),
		Number:       e.Code,
		RunState:     e.RunState,
		RequestID:    id,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
	data, err := json.Marshal(body)
	if err != nil {
		h.Log.Error().Str("event", "encode_error").Err(err).Send()
		data = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	if e.RetryAfter > 0 {
		h.Dialect.SetRetryAfter(header, e.RetryAfter)
	}
	w.WriteHeader(statusOf(e))
	if _, err := w.Write(data); err != nil {
		h.Log.Debug().Str("event", "answer_unread").Str("id", id).Err(err).Send()
	}
}

// statusOf returns the HTTP status of an error. A status that promises that the request has not run
// is replaced by 502 if it may have run.
func statusOf(e *result.Error) int {
	status := e.Status()
	if e.RunState == result.NotRun {
		return status
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return status
}
