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
	if !x.hasBody() {
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
	data, err := x.bufferBody(body, x.r.ContentLength)
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		return overloaded()
	case errors.As(err, &tooLong):
		return result.New(result.BodyTooLarge)
	case err != nil:
		return result.Wrap(err, result.BodyTimeout)
	}
	x.limitReading(time.Time{})
	x.body, x.bodyRead = data, true
	return nil
}

// hasBody reports whether the request has a body.
func (x *exchange) hasBody() bool { return x.r.Body != nil && x.r.Body != http.NoBody }

// limitReading sets the time at which reads from the caller's connection fail; the zero time sets no limit.
func (x *exchange) limitReading(until time.Time) {
	// Without support for deadlines, as in tests, reading has no time limit.
	_ = http.NewResponseController(x.w).SetReadDeadline(until)
}

// limitUnreadBody bounds the time for which an answer waits for the rest of a body that was not read. A body whose
// time is over gets no more.
func (x *exchange) limitUnreadBody(err *result.Error) {
	if x.bodyRead || !x.hasBody() {
		return
	}
	if err.Code == result.BodyTimeout {
		x.w.Header().Set("Connection", "close")
		return
	}
	x.limitReading(time.Now().Add(unreadBodyTimeout))
}

// errNoRoom is the error of a body for which the node has no memory left.
var errNoRoom = errors.New("no room for the request body")

// bufferBody reads a body to its end. size is what the request states, or -1. The memory is reserved as the body
// arrives, and released at the end of the request.
func (x *exchange) bufferBody(r io.Reader, size int64) ([]byte, error) {
	x.bodyMemory.Pool = x.Buffers.requests()
	var data []byte
	for size < 0 || int64(len(data)) < size {
		if len(data) == cap(data) {
			grown, ok := x.grow(data, size)
			if !ok {
				return nil, errNoRoom
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF) && size < 0:
			return data, nil
		case errors.Is(err, io.EOF) && int64(len(data)) < size:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return data, nil
}

// grow returns data with twice the capacity, or with that of the stated size, and reserves its memory.
func (x *exchange) grow(data []byte, size int64) (_ []byte, ok bool) {
	wanted := max(2*int64(cap(data)), firstBlockBytes)
	if size >= 0 {
		wanted = min(wanted, size)
	}
	return x.bodyMemory.Grow(data, int(wanted))
}

// releaseBody releases the memory of the body.
func (x *exchange) releaseBody() { x.bodyMemory.Resize(0) }
