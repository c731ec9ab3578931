package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

// unreadBodyTimeout is how long the rest of a body that is not needed may take to arrive. The HTTP server reads up to
// 256 KB of it before it writes an answer, so that the caller's connection can be reused.
const unreadBodyTimeout = 500 * time.Millisecond

// readBody reads the complete body, so that it can be sent more than once. It fails if the body
// exceeds the limit or the route's timeout.
func (x *exchange) readBody() *result.Error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.config.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return result.New(result.BodyTooLarge)
	}
	body := io.Reader(x.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	x.limitReading(x.monotonicTime(x.arrived.Add(x.route.Timeout)))
	data, err := readAll(body, x.r.ContentLength)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return result.New(result.BodyTooLarge)
	case err != nil:
		return result.Wrap(err, result.BodyTimeout)
	}
	x.limitReading(time.Time{})
	x.body, x.bodyRead = data, true
	return nil
}

// limitReading sets the time at which reads from the caller's connection fail; the zero time sets no limit.
func (x *exchange) limitReading(until time.Time) {
	// Without support for deadlines, as in tests, reading has no time limit.
	_ = http.NewResponseController(x.w).SetReadDeadline(until)
}

// limitUnreadBody bounds the time for which an answer waits for the rest of a body that was not read. A body whose
// time is over gets no more.
func (x *exchange) limitUnreadBody(err *result.Error) {
	if x.bodyRead || x.r.Body == nil || x.r.Body == http.NoBody {
		return
	}
	if err.Code == result.BodyTimeout {
		x.w.Header().Set("Connection", "close")
		return
	}
	x.limitReading(time.Now().Add(unreadBodyTimeout))
}

// readAll reads a body into a buffer of its declared size, if one is declared.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size <= 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}
