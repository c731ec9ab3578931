package operator

import (
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/result"
)

// HeaderResult is the header with the number of an error's result code.
const HeaderResult = "Cherryward-Result"

// toConnectError returns err as a Connect error with its result code attached.
func toConnectError(err error) *connect.Error {
	e := result.From(err)
	connectErr := connect.NewError(connectCode(e.Code), e)
	connectErr.Meta().Set(HeaderResult, strconv.Itoa(int(e.Code)))
	detail, detailErr := connect.NewErrorDetail(&pb.ResultDetail{
		Number:       int32(e.Code),
		Name:         e.Code.String(),
		RunState:     string(e.RunState),
		Field:        e.Field,
		Revision:     e.Revision,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Message:      e.Message,
	})
	if detailErr == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}

// connectCode returns the RPC status that corresponds to a result code.
func connectCode(code result.Code) connect.Code {
	switch code {
	case result.RevisionConflict:
		return connect.CodeAborted
	case result.StillReferenced:
		return connect.CodeFailedPrecondition
	}
	switch code.Info().Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return connect.CodeInvalidArgument
	case http.StatusUnauthorized:
		return connect.CodeUnauthenticated
	case http.StatusForbidden:
		return connect.CodePermissionDenied
	case http.StatusNotFound:
		return connect.CodeNotFound
	case http.StatusGone:
		return connect.CodeOutOfRange
	case http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return connect.CodeResourceExhausted
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return connect.CodeUnavailable
	case http.StatusGatewayTimeout:
		return connect.CodeDeadlineExceeded
	}
	return connect.CodeInternal
}

// resultCodeWriter adds HeaderResult to the errors that the RPC library sends itself,
// such as the one for a malformed body.
type resultCodeWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w resultCodeWriter) WriteHeader(status int) {
	if code, ok := libraryCodes[status]; ok && w.Header().Get(HeaderResult) == "" {
		w.Header().Set(HeaderResult, strconv.Itoa(int(code)))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w resultCodeWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Unwrap returns the underlying writer; http.ResponseController calls it.
func (w resultCodeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// libraryCodes has the result codes, by HTTP status, of the errors that the RPC library
// sends itself. It sends TooManyRequests for a message that exceeds the size limit.
var libraryCodes = map[int]result.Code{
	http.StatusBadRequest:           result.MalformedBody,
	http.StatusNotFound:             result.UnknownPath,
	http.StatusMethodNotAllowed:     result.MethodNotAllowed,
	http.StatusUnsupportedMediaType: result.MalformedBody,
	http.StatusTooManyRequests:      result.BodyTooLarge,
	http.StatusInternalServerError:  result.Internal,
}
