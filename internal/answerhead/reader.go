package answerhead

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cherryward/cherryward/internal/hostplan"
)

// maxLines bounds the lines of the heads that come for one request. A parsed line takes far more memory than its bytes.
const maxLines = 256

var (
	// ErrTooLong reports that heads have more bytes or lines than they may.
	ErrTooLong = fmt.Errorf("heads of an answer have more than %d bytes or %d lines", MaxBytes, maxLines)
	// ErrNoMemory reports that this host has no memory for the heads now.
	ErrNoMemory = errors.New("no memory for the heads of an answer")
)

// Reader reads a connection and checks the heads in it. It passes on the bytes of a head, and none after it until they
// are read as the body. It is not safe for concurrent use.
type Reader struct {
	source  io.Reader
	heads   checker
	inHead  bool
	size    hostplan.HeadSize // of all heads for the request
	memory  hostplan.Reservation
	pending []byte // read from source and not passed on
	failed  error  // of a head, and of all reads after it
}

// NewReader returns a Reader that passes everything on until a head is due. What heads take beyond the size of ordinary
// ones is reserved of a pool, which may be nil.
func NewReader(source io.Reader, pool *hostplan.Pool) *Reader {
	return &Reader{source: source, memory: hostplan.Reservation{Pool: pool}}
}

// Release gives back the memory of the heads that were read for a request. Further calls have no effect.
func (r *Reader) Release() {
	r.size = hostplan.HeadSize{}
	r.memory.Resize(0)
}

// ExpectAnswer has the next bytes checked as the head of the answer to a new request, after those of its interim
// responses. early are bytes that were read from the connection already and belong before what the Reader would read
// next.
func (r *Reader) ExpectAnswer(early []byte) {
	r.Release()
	r.ExpectAnother(early)
}

// ExpectAnother is ExpectAnswer for a further answer that comes for the same request. Its head has what the heads before
// have left of the bounds.
func (r *Reader) ExpectAnother(early []byte) {
	if len(early) > 0 {
		r.pending = slices.Concat(early, r.pending)
	}
	r.heads, r.inHead = checker{}, true
}

// Pending returns the number of bytes that were received and not passed on.
func (r *Reader) Pending() int { return len(r.pending) }

// passesOn reports whether the next read passes on what source has, unchecked.
func (r *Reader) passesOn() bool { return !r.inHead && len(r.pending) == 0 && r.failed == nil }

// Err returns the error of a head, which a parser may have taken for the end of a line.
func (r *Reader) Err() error { return r.failed }

// Read implements io.Reader. Within a head it fails with a MalformedError, ErrTooLong or ErrNoMemory.
func (r *Reader) Read(p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	if !r.inHead {
		return r.readBody(p)
	}
	if len(r.pending) > 0 {
		n := copy(p, r.pending)
		used, err := r.check(p[:n])
		r.drop(used)
		return used, err
	}
	n, err := r.source.Read(p)
	if n == 0 {
		return 0, err
	}
	used, err := r.check(p[:n])
	if used < n && err == nil {
		r.pending = bytes.Clone(p[used:n])
	}
	return used, err
}

func (r *Reader) readBody(p []byte) (int, error) {
	if len(r.pending) == 0 {
		return r.source.Read(p)
	}
	n := copy(p, r.pending)
	r.drop(n)
	return n, nil
}

// drop drops pending bytes, and their memory with the last ones: an idle connection needs none.
func (r *Reader) drop(n int) {
	if r.pending = r.pending[n:]; len(r.pending) == 0 {
		r.pending = nil
	}
}

// check checks bytes of heads and returns how many of them belong there.
func (r *Reader) check(b []byte) (used int, err error) {
	used, complete, err := r.heads.scan(b)
	if err == nil {
		err = r.grow(b[:used])
	}
	if err != nil {
		r.failed = err
		return 0, err
	}
	r.inHead = !complete
	return used, nil
}

// grow adds a text to the size of the heads.
func (r *Reader) grow(text []byte) error {
	r.size = r.size.Plus(hostplan.HeadSizeOf(text))
	switch {
	case r.size.Bytes > MaxBytes || r.size.Lines > maxLines:
		return ErrTooLong
	case !r.memory.Resize(r.size.Cost()):
		return ErrNoMemory
	}
	return nil
}
