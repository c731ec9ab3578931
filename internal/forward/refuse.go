package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

const (
	// retryElsewhere is when a caller may come back whose next connection should
	// reach another node: at once, but for a spread of simultaneous refusals.
	retryElsewhere = 20 * time.Millisecond
	// retryNoEndpoint is when a caller may come back that found no room at any
	// endpoint: after about half of a usual run.
	retryNoEndpoint = 800 * time.Millisecond
)

// writeError answers with an error of this node. Only errors whose run state is
// not_run may have a status that promises it.
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

// statusOf returns the status of an error. The statuses that promise "not run"
// are replaced where the request may have run.
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
