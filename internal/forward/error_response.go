package forward

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/callerconn"
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
	data := errorResponse(h.Dialect, h.Log, w.Header(), id, e)
	w.WriteHeader(statusOf(e))
	if _, err := w.Write(data); err != nil {
		h.Log.Debug().Str("event", "answer_unread").Str("id", logged(id)).Err(err).Send()
	}
}

// errorResponse sets the header of a response that states an error, and returns its body.
func errorResponse(d Dialect, log zerolog.Logger, header http.Header, id string, e *result.Error) []byte {
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
		log.Error().Str("event", "encode_error").Err(err).Send()
		data = []byte("{}")
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	if e.RetryAfter > 0 {
		d.SetRetryAfter(header, e.RetryAfter)
	}
	return data
}

// RefuseOverloaded answers that the node has no memory for the request, which has not run.
func (h *Handler) RefuseOverloaded(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, h.Dialect.ReadRequest(r.Header).ID, overloaded())
}

// Refusals returns the complete responses to requests whose heads are not read to their end.
func Refusals(d Dialect, log zerolog.Logger) callerconn.Refusals {
	return callerconn.Refusals{
		TooLarge: rawError(d, log, result.New(result.HeaderTooLarge)),
		NoRoom:   rawError(d, log, overloaded()),
	}
}

// rawError returns a complete response that states an error and the end of the connection.
func rawError(d Dialect, log zerolog.Logger, e *result.Error) []byte {
	header := make(http.Header)
	data := errorResponse(d, log, header, "", e)
	response := http.Response{
		StatusCode: statusOf(e), ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		Body: io.NopCloser(bytes.NewReader(data)), ContentLength: int64(len(data)),
	}
	var raw bytes.Buffer
	if err := response.Write(&raw); err != nil {
		log.Error().Str("event", "encode_error").Err(err).Send()
	}
	return raw.Bytes()
}

// overloaded returns the error of a request for which the node has no memory now.
func overloaded() *result.Error {
	return result.New(result.Overloaded, result.WithRetryAfter(retryAfterOtherNode))
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
