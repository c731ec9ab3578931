package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/result"
)

const (
	streamBufferBytes = 1 << 10
	maxFrameBytes     = 1 << 20
)

var dataPrefix = []byte("data:")

// Stream reads the frames of one run. It is not safe for concurrent use.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	decoder frameDecoder
}

// NewStream returns a stream of the frames in body. Close closes body.
func NewStream(body io.ReadCloser) *Stream {
	s := &Stream{body: body, scanner: bufio.NewScanner(body)}
	s.scanner.Buffer(make([]byte, 0, streamBufferBytes), maxFrameBytes)
	return s
}

// Next decodes the next frame into frame. It returns io.EOF when the stream has ended; the answer
// is complete only if an end frame came before.
func (s *Stream) Next(frame *enginewire.Frame) error {
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if err := s.decoder.decode(data, frame); err != nil {
			return result.Wrap(err, result.AnswerMalformed)
		}
		return nil
	}
	err := s.scanner.Err()
	if err == nil {
		return io.EOF
	}
	if errors.Is(err, bufio.ErrTooLong) {
		return result.Wrap(err, result.AnswerMalformed)
	}
	return result.Wrap(err, result.EndpointFailed)
}

// Close ends the stream. The engine keeps the run, so that it can be resumed.
func (s *Stream) Close() error { return s.body.Close() }
